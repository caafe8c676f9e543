"""Measures the latency of pipelined requests with concurrency on and off.

``python -m goldcresthoist.bench.pipelining`` prints JSON. All daemons, upstreams and
callers run in this process, on loopback addresses. On and off alternate. ``off`` is a
caller server without ``runs_beside``.
"""

import asyncio
import json
import random
import time

import uvloop

from goldcresthoist.callers import CallerServer
from goldcresthoist.node.tests.loopback_cluster import LoopbackCluster, read_answer
from goldcresthoist.tests.fakes import PlainCounters

__all__ = ["measure_batches", "measure_overhead", "measure_stream"]

# Work and deadline of loan-summary of the banking deployment, in ms; see
# docs/design/demands.md. In a slow phase the work takes seven times as long.
WORK_MS = 48
SLOW_MS = 7 * WORK_MS
DEADLINE_MS = 622
SLOW_SHARE = 0.05
BATCH_SIZES = (1, 2, 4, 8, 16)
BATCHES = 10
# Requests a second of the stream. One after the other they would keep the connection
# busy for 0.75 of the time.
STREAM_PER_S = 12.0
STREAM_REQUESTS = 300
OVERHEAD_REQUESTS = 5000
OVERHEAD_ROUNDS = 4
SEED = 4


def _request(number, work_ms):
    head = f"GET /read/{number}?ms={work_ms} HTTP/1.1\r\nHost: site.example\r\n"
    head += f"Request-Id: b{number}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n"
    return head.encode()


def _percentile_ms(latencies_s, share):
    ordered = sorted(latencies_s)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1e3, 1)


async def measure_batches(address, size):
    """Send batches on one connection; return the mean time of one in ms."""
    reader, writer = await asyncio.open_connection(*address)
    started = time.perf_counter()
    for _ in range(BATCHES):
        writer.write(b"".join(_request(n, WORK_MS) for n in range(size)))
        for _ in range(size):
            assert (await read_answer(reader)).status == 200
    writer.close()
    return round((time.perf_counter() - started) / BATCHES * 1e3, 1)


async def measure_stream(address, seed):
    """Send requests at random times on one connection.

    Returns
    -------
    dict
        Percentiles of the time to the response in ms, and the number of responses
        without status 200.
    """
    generator = random.Random(seed)
    reader, writer = await asyncio.open_connection(*address)
    sent = []
    latencies = []
    failed = 0

    async def receive():
        nonlocal failed
        for number in range(STREAM_REQUESTS):
            answer = await read_answer(reader)
            failed += answer.status != 200
            latencies.append(time.perf_counter() - sent[number])

    receiving = asyncio.create_task(receive())
    for number in range(STREAM_REQUESTS):
        await asyncio.sleep(generator.expovariate(STREAM_PER_S))
        work_ms = SLOW_MS if generator.random() < SLOW_SHARE else WORK_MS
        sent.append(time.perf_counter())
        writer.write(_request(number, work_ms))
    await receiving
    writer.close()
    shares = {"p50_ms": 0.5, "p90_ms": 0.9, "p99_ms": 0.99}
    result = {name: _percentile_ms(latencies, share) for name, share in shares.items()}
    return result | {"failed": failed}


async def measure_overhead(runs_beside):
    """Return the microseconds of one request to a handler that responds at once."""

    async def handle(request, exchange):
        exchange.start(200, (), b"ok", True)

    server = CallerServer(handle, PlainCounters(), runs_beside=runs_beside)
    await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    data = _request(1, 0)
    started = time.perf_counter()
    for _ in range(OVERHEAD_REQUESTS):
        writer.write(data)
        await read_answer(reader)
    elapsed_s = time.perf_counter() - started
    writer.close()
    await server.close()
    return round(elapsed_s / OVERHEAD_REQUESTS * 1e6, 1)


async def _measure():
    site = LoopbackCluster(["listen"] * 4)
    await site.start()
    address = (site.ips[0], 8629)
    node = site.nodes[site.ips[0]]
    modes = {"on": node.entry.runs_beside, "off": None}
    result = {mode: {"batch_ms": {}, "stream": []} for mode in modes}
    for size in BATCH_SIZES:
        for mode, rule in modes.items():
            node.caller_server.runs_beside = rule
            result[mode]["batch_ms"][size] = await measure_batches(address, size)
    for seed in (SEED, SEED + 1):
        for mode, rule in modes.items():
            node.caller_server.runs_beside = rule
            result[mode]["stream"].append(await measure_stream(address, seed))
    await site.stop()
    rules = {"on": lambda request: True, "off": None}
    rounds = [
        (mode, rule) for _ in range(OVERHEAD_ROUNDS) for mode, rule in rules.items()
    ]
    for mode, rule in rounds:
        figures = result[mode].setdefault("overhead_us", [])
        figures.append(await measure_overhead(rule))
    return result


def main():
    """Run all measurements and print them."""
    print(json.dumps(uvloop.run(_measure()), indent=1))


if __name__ == "__main__":
    main()
