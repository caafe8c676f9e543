"""Slopes of the call path: cost of each link and of each call.

``python -m goldcresthoist.bench.slopes`` prints JSON. Memory is the growth of the
resident set of a process that holds only links; bytes are frames without TCP and IP
headers; processor time includes the kernel's.
"""

import asyncio
import json
import multiprocessing
import os
import time

import psutil

from goldcresthoist.links import LinkPool, LinkServer
from goldcresthoist.links.frames import LoadReport
from goldcresthoist.tests.fakes import PlainCounters
from goldcresthoist.tests.processes import (
    Processes,
    make_member,
    make_plan,
    make_service,
)

__all__ = ["measure_calls", "measure_links"]

KEY = b"k" * 32
LINKS = (50, 200, 500)
IDLE_S = 10.0
SETTLE_S = 1.0
CALLS = 20_000
CONNECTIONS = 16


class IdleService:
    """A daemon without calls."""

    draining = False

    def load_report(self):
        """Return an empty load."""
        return LoadReport(0, 0, 12, 0, False)

    def load_for_pong(self):
        """Return no load, as a daemon without calls does."""
        return None


def _accept(count, pipe):
    """Run the accepting ends of links in a process of their own."""

    async def run():
        servers = []
        for number in range(count):
            server = LinkServer(f"m{number}", KEY, IdleService(), PlainCounters())
            await server.listen("127.0.0.1", 0)
            servers.append(server)
        pipe.send([server.port for server in servers])
        await asyncio.to_thread(pipe.recv)

    import uvloop

    uvloop.run(run())


def _open(count, ports, pipe):
    """Open links, let them idle, and report what they cost."""

    async def run():
        process = psutil.Process()
        counters = PlainCounters()
        pool = LinkPool("opener", KEY, counters)
        await asyncio.sleep(SETTLE_S)
        before = process.memory_info().rss
        for number, port in enumerate(ports):
            member = make_member(f"m{number}", "lookup")
            fields = {**{f: getattr(member, f) for f in member.__struct_fields__}}
            fields["link_address"] = f"127.0.0.1:{port}"
            pool.peer(type(member)(**fields), lambda load: None)
        for peer in pool.peers.values():
            await peer.first_attempt.wait()
        await asyncio.sleep(SETTLE_S)
        memory = process.memory_info().rss - before
        cpu, start = sum(process.cpu_times()[:2]), time.monotonic()
        await asyncio.sleep(IDLE_S)
        spent = sum(process.cpu_times()[:2]) - cpu
        pipe.send((memory / count, spent / (time.monotonic() - start)))
        await pool.close()

    import uvloop

    uvloop.run(run())


def measure_links(count):
    """Return memory and processor share of idle links at the opening end."""
    context = multiprocessing.get_context("spawn")
    accept_pipe, accept_end = context.Pipe()
    open_pipe, open_end = context.Pipe()
    acceptor = context.Process(target=_accept, args=(count, accept_end))
    acceptor.start()
    ports = accept_pipe.recv()
    opener = context.Process(target=_open, args=(count, ports, open_end))
    opener.start()
    memory, cpu = open_pipe.recv()
    opener.join()
    accept_pipe.send("stop")
    acceptor.join()
    return {
        "links": count,
        "bytes_per_link": round(memory),
        "core_percent": round(100 * cpu, 3),
    }


def measure_calls():
    """Return calls a second and processor time per call of both daemons."""
    with Processes() as processes:
        _, upstream_port = processes.start_upstream(slots=64)
        entry = make_member("entry", "front")
        target = make_member("target", "lookup")
        services = [make_service("lookup", slots=64)]
        plans = [
            make_plan(member, upstream_port, [entry, target], services)
            for member in (entry, target)
        ]
        daemons = [psutil.Process(processes.start_node(p).pid) for p in plans]
        port = int(plans[0].caller_address.rpartition(":")[2])
        asyncio.run(_call_many(port, CALLS // 10))
        before = [sum(daemon.cpu_times()[:2]) for daemon in daemons]
        start = time.monotonic()
        asyncio.run(_call_many(port, CALLS))
        elapsed = time.monotonic() - start
        spent = [sum(d.cpu_times()[:2]) - b for d, b in zip(daemons, before)]
    return {
        "calls_per_s": round(CALLS / elapsed),
        "entry_us_per_call": round(1e6 * spent[0] / CALLS, 1),
        "target_us_per_call": round(1e6 * spent[1] / CALLS, 1),
        "calls_per_core_s": round(CALLS / sum(spent)),
    }


async def _call_many(port, calls):
    from goldcresthoist.bench.request_path import TARGET, Client

    loop = asyncio.get_running_loop()

    async def repeat():
        _, client = await loop.create_connection(
            lambda: Client(TARGET), "127.0.0.1", port
        )
        for _ in range(calls // CONNECTIONS):
            await client.call()
        client.transport.close()

    await asyncio.gather(*(repeat() for _ in range(CONNECTIONS)))


def main():
    """Print all slopes as JSON."""
    os.environ["UV_USE_IO_URING"] = "0"
    document = {
        "links": [measure_links(count) for count in LINKS],
        "calls": measure_calls(),
    }
    print(json.dumps(document, indent=2))


if __name__ == "__main__":
    main()
