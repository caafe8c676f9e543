"""Measures the latency that the request path adds to a direct call.

The caller (this process), an entry daemon, a serving daemon and the upstream stand-in
are processes that communicate over the loopback interface. Direct and routed calls
alternate in the same run, so that the load of the machine affects both alike.

Run it with ``python -m goldcresthoist.bench.request_path``.
"""

import argparse
import asyncio
import json
import os
import time
from dataclasses import dataclass

__all__ = ["PathLatencies", "measure"]

OPEN_LOOP_RATE = 100.0
OPEN_LOOP_CONNECTIONS = 16
WARM_UP_CALLS = 500
TARGET = "/lookup/items/7"


@dataclass(frozen=True, slots=True)
class PathLatencies:
    """Percentiles of latency in milliseconds.

    ``calls`` is the number of calls of each kind, direct and routed. The ``added``
    latency is the difference between the percentiles of the two kinds.
    """

    direct_p50_ms: float
    direct_p99_ms: float
    routed_p50_ms: float
    routed_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    calls: int

    @classmethod
    def from_latencies(cls, direct, routed):
        """Compute the percentiles from latencies in seconds."""
        direct, routed = sorted(direct), sorted(routed)
        values = [_percentile_ms(direct, 0.5), _percentile_ms(direct, 0.99)]
        values += [_percentile_ms(routed, 0.5), _percentile_ms(routed, 0.99)]
        added = [values[2] - values[0], values[3] - values[1]]
        return cls(*(round(value, 3) for value in values + added), len(direct))

    def as_dict(self):
        """Return the fields as a dict for JSON."""
        return {name: getattr(self, name) for name in self.__slots__}


class Client(asyncio.Protocol):
    """HTTP client that sends one request at a time on one connection."""

    def __init__(self, target):
        self.request = f"GET {target} HTTP/1.1\r\nHost: bench\r\n\r\n".encode()
        self.loop = asyncio.get_running_loop()
        self.buffer = b""
        self.waiter = None

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, exc):
        """Fail the call in progress."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(ConnectionError("connection lost"))

    def data_received(self, data):
        """Collect the response until its body is complete."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        if not head.startswith(b"HTTP/1.1 200"):
            self.waiter.set_exception(RuntimeError(self.buffer.decode()))
            return
        _, _, rest = head.lower().partition(b"content-length:")
        if len(body) >= int(rest.split(b"\r\n", 1)[0]):
            self.buffer = b""
            self.waiter.set_result(None)

    async def call(self):
        """Make a call and return its latency in seconds."""
        self.waiter = self.loop.create_future()
        # The clock of the uvloop event loop has a resolution of only 1 ms.
        start = time.perf_counter()
        self.transport.write(self.request)
        await self.waiter
        return time.perf_counter() - start


async def _connect(port, target):
    loop = asyncio.get_running_loop()
    _, client = await loop.create_connection(lambda: Client(target), "127.0.0.1", port)
    return client


async def closed_loop(direct_port, routed_port, calls):
    """Make direct and routed calls in turn, each after the end of the one before."""
    direct = await _connect(direct_port, "/items/7")
    routed = await _connect(routed_port, TARGET)
    for _ in range(WARM_UP_CALLS):
        await direct.call()
        await routed.call()
    direct_s, routed_s = [], []
    for _ in range(calls):
        direct_s.append(await direct.call())
        routed_s.append(await routed.call())
    return PathLatencies.from_latencies(direct_s, routed_s)


async def open_loop(direct_port, routed_port, calls):
    """Make ``OPEN_LOOP_RATE`` calls per second, direct and routed ones in turn."""
    pools = {}
    for kind, port, target in (
        ("direct", direct_port, "/items/7"),
        ("routed", routed_port, TARGET),
    ):
        connects = (_connect(port, target) for _ in range(OPEN_LOOP_CONNECTIONS))
        pools[kind] = list(await asyncio.gather(*connects))
    latencies = {"direct": [], "routed": []}
    loop = asyncio.get_running_loop()

    async def make_call(kind):
        pool = pools[kind]
        client = pool.pop() if pool else None
        if client is None:
            raise RuntimeError(f"more than {OPEN_LOOP_CONNECTIONS} calls at once")
        latencies[kind].append(await client.call())
        pool.append(client)

    tasks = []
    start = loop.time() + 0.1
    for number in range(2 * calls):
        await asyncio.sleep(start + number / OPEN_LOOP_RATE - loop.time())
        tasks.append(
            asyncio.create_task(make_call("routed" if number % 2 else "direct"))
        )
    await asyncio.gather(*tasks)
    return PathLatencies.from_latencies(latencies["direct"], latencies["routed"])


def measure(closed_calls=10_000, open_calls=1_000):
    """Start the processes, measure, and return the latencies by kind of load.

    The calls of ``closed_own_upstream`` go directly to the serving daemon.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    from goldcresthoist.tests import processes as build

    service = build.make_service("lookup")
    with build.Processes() as processes:
        _, upstream_port = processes.start_upstream()
        entry = build.make_member("entry", "front")
        target = build.make_member("target", "lookup")
        plans = [
            build.make_plan(member, upstream_port, [entry, target], [service])
            for member in (entry, target)
        ]
        for plan in plans:
            processes.start_node(plan)
        entry_port = int(plans[0].caller_address.rpartition(":")[2])
        own_port = int(plans[1].caller_address.rpartition(":")[2])
        runs = {
            "closed": closed_loop(upstream_port, entry_port, closed_calls),
            "closed_own_upstream": closed_loop(upstream_port, own_port, closed_calls),
            "open": open_loop(upstream_port, entry_port, open_calls),
        }
        return {name: uvloop.run(run) for name, run in runs.items()}


def _percentile_ms(ordered, share):
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return ordered[index] * 1000.0


def main():
    """Print the latencies as JSON."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--closed-calls", type=int, default=10_000)
    parser.add_argument("--open-calls", type=int, default=1_000)
    arguments = parser.parse_args()
    latencies = measure(arguments.closed_calls, arguments.open_calls)
    document = {name: item.as_dict() for name, item in latencies.items()}
    print(json.dumps(document, indent=2))


if __name__ == "__main__":
    main()
