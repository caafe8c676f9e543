"""A daemon reduced to the call path, for tests and the request path benchmark.

``python -m goldcresthoist.tests.pathnode <json>`` runs one; the JSON has the fields of
`NodePlan`. It prints ``ready`` once it accepts calls.
"""

import asyncio
import os
import signal
import sys

import msgspec

from goldcresthoist.balance import (
    Admission,
    Chooser,
    CrashSuspects,
    RetryBudget,
    get_policy,
)
from goldcresthoist.callers import CallerServer
from goldcresthoist.config import ServiceConfiguration, split_address
from goldcresthoist.daemon.collector import tune_garbage_collector
from goldcresthoist.daemon.routing import CallRouter
from goldcresthoist.daemon.serving import CallServer
from goldcresthoist.gossip.member import Member
from goldcresthoist.links import LinkPool, LinkServer
from goldcresthoist.tests.fakes import (
    FakeLedger,
    FixedConfigurations,
    FixedDirectory,
    PlainCounters,
)
from goldcresthoist.upstreams import ConnectionPool, make_echoed_id_connection

__all__ = ["NodePlan", "PathNode"]

SHARED_KEY = b"k" * 32


class NodePlan(msgspec.Struct, frozen=True):
    """Configuration of one node.

    Attributes
    ----------
    member : Member
        The node itself; its `link_address` is the one to listen on.
    caller_address, upstream_address : str
        Address ``"ip:port"`` to listen on for callers, and that of the local upstream.
    members : list of Member
        All nodes, this one included.
    services : list of ServiceConfiguration
    policy : str
        Name of the load balancing policy.
    """

    member: Member
    caller_address: str
    upstream_address: str
    members: list[Member]
    services: list[ServiceConfiguration]
    policy: str = "default"


class PathNode:
    """A node with the real call path and fakes of everything else.

    Parameters
    ----------
    plan : NodePlan
    ledger : OperationRecorder, optional
        Records of at-most-once operations; by default a `FakeLedger` of its own.
    """

    def __init__(self, plan, ledger=None):
        member = plan.member
        self.plan = plan
        self.counters = PlainCounters()
        self.directory = FixedDirectory(plan.members)
        self.configurations = FixedConfigurations(plan.services)
        self.ledger = ledger or FakeLedger()
        policy = get_policy(plan.policy)
        self.chooser = Chooser(policy)
        self.links = LinkPool(member.instance, SHARED_KEY, self.counters)
        self.upstream = ConnectionPool(
            *split_address(plan.upstream_address),
            make_connection=make_echoed_id_connection,
        )
        self.server = CallServer(
            member.service,
            member.instance,
            self.configurations,
            lambda configuration: Admission(configuration, policy),
            self.upstream,
            CrashSuspects(),
            self.ledger,
            self.counters,
        )
        self.router = CallRouter(
            member,
            self.directory,
            self.configurations,
            self.chooser,
            lambda configuration: RetryBudget.from_configuration(configuration, policy),
            self.links,
            self.server,
            self.counters,
        )
        self.link_server = LinkServer(
            member.instance, SHARED_KEY, self.server, self.counters
        )
        self.caller_server = CallerServer(
            self.router.handle, self.counters, self.router.begin
        )

    async def start(self):
        """Listen for links and callers."""
        await self.link_server.listen(*split_address(self.plan.member.link_address))
        await self.caller_server.listen(*split_address(self.plan.caller_address))

    def start_draining(self):
        """Refuse new work, announce this on the links and close idle connections."""
        self.server.start_draining()
        self.link_server.announce_load()
        self.caller_server.start_draining()

    async def close(self):
        """Close all servers and connections."""
        await self.caller_server.close()
        await self.links.close()
        await self.link_server.close()
        await self.server.close()
        await self.upstream.close()


async def _run(plan):
    node = PathNode(plan)
    await node.start()
    tune_garbage_collector()
    print("ready", flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    await node.close()


def main():
    """Run one node until SIGTERM."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    plan = msgspec.json.decode(sys.argv[1].encode(), type=NodePlan)
    uvloop.run(_run(plan))


if __name__ == "__main__":
    main()
