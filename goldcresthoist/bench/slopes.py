"""Measures the cost of each additional link and of each additional call.

``python -m goldcresthoist.bench.slopes`` prints JSON. The memory of links is the growth
of the resident set of a process that holds nothing else; bytes are those of frames,
without TCP and IP headers. Processor time includes that in the kernel.
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
LINK_COUNTS = (50, 200, 500)
IDLE_S = 10.0
SETTLE_S = 1.0
CALLS = 20_000
CONNECTIONS = 16


class IdleService:
    """Service of a daemon that has no calls."""

    draining = False

    def load_report(self):
        """Return the load report of 12 free slots."""
        return LoadReport(0, 0, 12, 0, False)

    def load_for_pong(self):
        """Return None, as a daemon without calls does."""
        return None


def _run_acceptors(count, pipe):
    """Accept the links; the main function of a process of its own."""

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


def _run_opener(count, ports, pipe):
    """Open links and send their cost while idle; main function of a process."""

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
            await peer.first_attempt_done.wait()
        await asyncio.sleep(SETTLE_S)
        memory = process.memory_info().rss - before
        cpu_before, start = sum(process.cpu_times()[:2]), time.monotonic()
        await asyncio.sleep(IDLE_S)
        cpu_used_s = sum(process.cpu_times()[:2]) - cpu_before
        pipe.send((memory / count, cpu_used_s / (time.monotonic() - start)))
        await pool.close()

    import uvloop

    uvloop.run(run())


def measure_links(count):
    """Return the memory and processor time of idle links on the opening side."""
    context = multiprocessing.get_context("spawn")
    acceptor_pipe, acceptor_pipe_end = context.Pipe()
    opener_pipe, opener_pipe_end = context.Pipe()
    acceptor = context.Process(target=_run_acceptors, args=(count, acceptor_pipe_end))
    acceptor.start()
    ports = acceptor_pipe.recv()
    opener = context.Process(target=_run_opener, args=(count, ports, opener_pipe_end))
    opener.start()
    memory, cpu = opener_pipe.recv()
    opener.join()
    acceptor_pipe.send("stop")
    acceptor.join()
    return {
        "links": count,
        "bytes_per_link": round(memory),
        "core_percent": round(100 * cpu, 3),
    }


def measure_calls():
    """Return the rate of calls and the processor time per call of both daemons."""
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
        asyncio.run(_make_calls(port, CALLS // 10))
        before = [sum(daemon.cpu_times()[:2]) for daemon in daemons]
        start = time.monotonic()
        asyncio.run(_make_calls(port, CALLS))
        elapsed = time.monotonic() - start
        cpu_used_s = [sum(d.cpu_times()[:2]) - b for d, b in zip(daemons, before)]
    return {
        "calls_per_s": round(CALLS / elapsed),
        "entry_us_per_call": round(1e6 * cpu_used_s[0] / CALLS, 1),
        "target_us_per_call": round(1e6 * cpu_used_s[1] / CALLS, 1),
        "calls_per_core_s": round(CALLS / sum(cpu_used_s)),
    }


async def _make_calls(port, calls):
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
    """Print the cost of links and of calls as JSON."""
    os.environ["UV_USE_IO_URING"] = "0"
    document = {
        "links": [measure_links(count) for count in LINK_COUNTS],
        "calls": measure_calls(),
    }
    print(json.dumps(document, indent=2))


if __name__ == "__main__":
    main()
