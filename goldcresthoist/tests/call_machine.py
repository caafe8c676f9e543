"""Stateful test of calls through several daemons.

The daemons run the real call path and ledger in one event loop on a fake table with
faults. The oracle is the record of the requests that the upstreams received.
"""

import asyncio
from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from goldcresthoist.config import AtMostOnce, Repeatable
from goldcresthoist.daemon.operation_paths import OperationPaths
from goldcresthoist.daemon.owners import owner_name
from goldcresthoist.daemon.records import OperationRecords
from goldcresthoist.operations import OperationLedger
from goldcresthoist.tests.cluster import RawCaller
from goldcresthoist.tests.fake_platform import FakeObjects, FakeTable, Host
from goldcresthoist.tests.fakes import PlainCounters
from goldcresthoist.tests.pathnode import PathNode
from goldcresthoist.tests.processes import (
    make_member,
    make_plan,
    make_rule,
    make_service,
)
from goldcresthoist.tests.standins.upstream import UpstreamStandIn

__all__ = ["CallMachine"]

# All calls are for the service "ledger"; the daemon front-1 only forwards them.
NODES = ("front-1", "ledger-1", "ledger-2", "ledger-3")
UPSTREAM_NODES = NODES[1:]
KEYS = tuple(f"key-{number}" for number in range(4))
CALL_TIMEOUT_S = 20.0
SERVICE_MS = 15

nodes = st.sampled_from(NODES)
upstream_nodes = st.sampled_from(UPSTREAM_NODES)
keys = st.sampled_from(KEYS)
write_faults = st.sampled_from(("lose", "late", "vanish"))


def ledger_service():
    """Return a service with read, repeatable and at-most-once work."""
    # `longest_s` is short, so that a call to a paused daemon times out soon.
    times = {"usual_s": 0.02, "longest_s": 1.0}
    return make_service(
        "ledger",
        make_rule("read", "GET", "/entries", **times),
        make_rule("put", "PUT", "/notes", Repeatable(), **times),
        make_rule("grant", "POST", "/grants", AtMostOnce(), **times),
    )


class Cluster:
    """The daemons and their upstreams, one of each per node name."""

    def __init__(self):
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.members = [make_member(name, name.rpartition("-")[0]) for name in NODES]
        self.services = [ledger_service()]
        self.standins = {}
        self.ports = {}
        self.nodes = {}
        self.hosts = {}
        self.starts = Counter()
        self.ended_owners = set()

    async def start(self):
        """Start every upstream and daemon."""
        for name in NODES:
            standin = UpstreamStandIn(service_ms=SERVICE_MS)
            standin.crash = standin.abort_all
            self.standins[name] = standin
            self.ports[name] = await standin.listen("127.0.0.1", 0)
            await self.start_node(name)

    async def start_node(self, name):
        """Start a daemon with a new owner name, as each new process has."""
        self.starts[name] += 1
        host = self.hosts[name] = Host(name)
        owner = owner_name(name, self.starts[name])
        ledger = OperationLedger(self.table.client(host), self.objects.client(host))
        owner_has_ended = self.ended_owners.__contains__
        records = OperationRecords(ledger, owner, owner_has_ended, PlainCounters())
        member = next(item for item in self.members if item.instance == name)
        plan = make_plan(member, self.ports[name], self.members, self.services)
        node = self.nodes[name] = PathNode(plan, ledger=records)
        node.owner = owner
        node.router.operation_paths = OperationPaths(records)
        await node.start()

    async def kill_node(self, name):
        """Kill a daemon, so that it writes nothing more to the stores."""
        node = self.nodes.pop(name)
        self.hosts[name].dead = True
        self.ended_owners.add(node.owner)
        await node.close()

    async def stop(self):
        """Stop everything."""
        for name in tuple(self.nodes):
            await self.kill_node(name)
        for standin in self.standins.values():
            standin.abort_all()
        await asyncio.sleep(0)

    def runs(self, key):
        """Return how often the upstreams received an idempotency key."""
        return sum(standin.runs[key] for standin in self.standins.values())

    def runs_of_attempt(self, attempt):
        """Return how often the upstreams received an attempt."""
        return sum(standin.attempts[attempt] for standin in self.standins.values())


class CallMachine(RuleBasedStateMachine):
    """Calls, faults and the invariants that are checked after each step."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.cluster = Cluster()
        self.attempts = 0
        # Body of the first response with status 200 by idempotency key.
        self.answers = {}
        self.refused_attempts = set()
        self.cancelled = set()
        self.run(self.cluster.start())

    def run(self, coroutine):
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(coroutine)

    def teardown(self):
        """End all faults, check the recorded responses and the invariants, and stop.

        If an operation has a recorded response, it must be the one that the first
        successful call received.
        """
        try:
            self.run(self._clear_faults())
            for key, answer in self.answers.items():
                recorded = self.run(self._wait_for_recorded_answer(key))
                assert recorded == answer, f"{key}: first {answer}, later {recorded}"
            self.keys_run_at_most_once()
            self.refused_attempts_did_not_run()
        finally:
            self.run(self.cluster.stop())
            self.loop.close()

    @rule(entry=nodes, number=st.integers(0, 50))
    def read(self, entry, number):
        """Send a read; a response with status 200 must be the one to this request."""
        target = f"/entries/{number}?attempt={self._next_attempt()}"
        answer = self.run(self._call(entry, "GET", target))
        if answer is not None and answer.status == 200:
            assert answer.json()["target"] == target

    @rule(entry=nodes, body=st.binary(max_size=2000))
    def put(self, entry, body):
        """Send repeatable work; a response with status 200 must echo its body."""
        target = f"/notes/1?echo=1&attempt={self._next_attempt()}"
        answer = self.run(self._call(entry, "PUT", target, body))
        if answer is not None and answer.status == 200:
            assert answer.body == body

    @rule(entry=nodes, key=keys)
    def grant(self, entry, key):
        """Send at-most-once work, possibly with a key that was used before."""
        self.run(self._grant(entry, key))

    @rule(first=nodes, second=nodes, key=keys)
    def grant_twice_at_once(self, first, second, key):
        """Send the same operation through two daemons at the same time."""

        async def both():
            await asyncio.gather(self._grant(first, key), self._grant(second, key))

        self.run(both())

    @rule(entry=nodes, key=keys, delay=st.floats(0, 0.03), victim=upstream_nodes)
    def grant_while_a_daemon_is_killed(self, entry, key, delay, victim):
        """Kill a daemon while an operation runs, possibly on that daemon."""

        async def race():
            grant = asyncio.create_task(self._grant(entry, key))
            await asyncio.sleep(delay)
            if victim in self.cluster.nodes:
                await self.cluster.kill_node(victim)
                await self.cluster.start_node(victim)
            await grant

        self.run(race())

    @rule(entry=nodes, key=keys, delay=st.floats(0, 0.03), victim=upstream_nodes)
    def grant_while_a_daemon_is_paused(self, entry, key, delay, victim):
        """Pause the store calls of a daemon while an operation is sent twice."""

        async def race():
            host = self.cluster.hosts[victim]
            host.running.clear()
            grant = asyncio.create_task(self._grant(entry, key))
            await asyncio.sleep(delay)
            await self._grant("front-1", key)
            host.running.set()
            await grant

        self.run(race())

    @rule(entry=nodes, key=keys)
    def cancel(self, entry, key):
        """Cancel an operation; it must not be executed afterwards."""
        path = f"/-/operations/{key}/cancel"
        answer = self.run(self._call(entry, "POST", path))
        if answer is not None and answer.status == 200:
            assert answer.outcome == "not-run", f"cancel of {key}: {answer.body}"
            assert self.cluster.runs(key) == 0, f"{key} ran and was reported as not run"
            self.cancelled.add(key)

    @rule(name=upstream_nodes)
    def drain(self, name):
        """Drain a daemon and start its successor."""

        async def replace():
            node = self.cluster.nodes[name]
            node.start_draining()
            await node.server.wait_until_idle()
            await self.cluster.kill_node(name)
            await self.cluster.start_node(name)

        self.run(replace())

    @rule(name=upstream_nodes)
    def crash_upstream(self, name):
        """Crash an upstream and start it again on its port."""

        async def restart():
            standin = self.cluster.standins[name]
            standin.abort_all()
            await asyncio.sleep(0.01)
            await standin.listen("127.0.0.1", self.cluster.ports[name])

        self.run(restart())

    @rule(faults=st.lists(write_faults, max_size=3))
    def write_faults(self, faults):
        """Make the next table writes fail, arrive late or lose their responses."""
        self.cluster.table.faults[:] = faults

    @rule()
    def late_writes_arrive(self):
        """Let the held writes take effect."""
        self.cluster.table.release()

    @rule(down=st.booleans())
    def table_outage(self, down):
        """Begin or end an outage of the table."""
        self.cluster.table.down = down

    @invariant()
    def keys_run_at_most_once(self):
        """Check that no operation ran twice and that no cancelled one ran."""
        for key in KEYS:
            runs = self.cluster.runs(key)
            assert runs <= 1, f"{key} ran {runs} times"
            assert key not in self.cancelled or not runs, f"{key} was cancelled and ran"

    @invariant()
    def refused_attempts_did_not_run(self):
        """Check that no request that was refused as not run reached an upstream."""
        for attempt in self.refused_attempts:
            runs = self.cluster.runs_of_attempt(attempt)
            assert not runs, f"attempt {attempt} was refused as not run and ran"

    def _next_attempt(self):
        self.attempts += 1
        return str(self.attempts)

    async def _grant(self, entry, key):
        attempt = self._next_attempt()
        headers = [("Idempotency-Key", key), ("X-Attempt", attempt)]
        answer = await self._call(entry, "POST", "/grants", b"grant", headers)
        if answer is None:
            return None
        if answer.status == 200:
            first = self.answers.setdefault(key, answer.body)
            assert answer.body == first, f"{key}: two different responses"
        elif answer.outcome == "not-run":
            self.refused_attempts.add(attempt)
            if answer.json()["scope"] == "operation":
                assert self.cluster.runs(key) == 0, (
                    f"{key} ran and was reported as not-run"
                )
                self.cancelled.add(key)
        return answer

    async def _call(self, entry, method, target, body=b"", headers=()):
        node = self.cluster.nodes.get(entry)
        if node is None:
            return None
        try:
            caller = await RawCaller.connect(node.plan.caller_address)
        except OSError:
            return None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await caller.call(method, f"/ledger{target}", headers, body)
        except (EOFError, ConnectionError):
            return None
        finally:
            await caller.close()

    async def _clear_faults(self):
        table = self.cluster.table
        table.faults.clear()
        table.down = False
        table.release()
        for name in NODES:
            self.cluster.hosts[name].running.set()

    async def _wait_for_recorded_answer(self, key):
        """Return the recorded response, which a caller must be able to fetch."""
        for _ in range(200):
            answer = await self._call("front-1", "GET", f"/-/operations/{key}")
            if answer is not None and answer.status == 200:
                return answer.body
            if answer is not None and answer.code == "operation-unknown":
                # The owner was killed after it had sent the response and before it had
                # recorded it.
                return self.answers[key]
            await asyncio.sleep(0.05)
        raise AssertionError(f"{key}: no recorded answer")
