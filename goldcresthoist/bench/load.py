"""Open-loop load generator for HTTP/1.1."""

import asyncio
import random
import time
from dataclasses import dataclass

import httptools

from goldcresthoist.bench.sites import is_long_work
from goldcresthoist.bench.upstream import STRAGGLER_FACTOR
from goldcresthoist.config.model import AtMostOnce, WorkRule

__all__ = ["Arrival", "LoadGenerator", "Result", "make_arrivals"]

# The daemon responds at the deadline at the latest. A caller without a response closes
# the connection this long after it.
CALLER_MARGIN_S = 1.0
CONNECT_ATTEMPTS = 5
# A response that arrives later than this after the caller's deadline counts as late.
LATE_TOLERANCE_S = 0.05
# Service times are uniform between these multiples of the usual time.
SERVICE_TIME_RANGE = (0.5, 1.5)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One call to send.

    Parameters
    ----------
    at_s : float
        Intended send time since the start.
    rule : WorkRule
        Rule of the work.
    service : str
        Name of the service.
    service_ms : float
        Time for which the call occupies a slot of the upstream.
    number : int
        Random number that makes the path and the idempotency key unique.
    """

    at_s: float
    rule: WorkRule
    service: str
    service_ms: float
    number: int


@dataclass(slots=True)
class Result:
    """Result of one call.

    Parameters
    ----------
    arrival : Arrival
        The call.
    outcome : str
        ``ok``, ``late``, ``wrong-answer``, a refusal code, another HTTP status, or
        ``lost`` if there was no response.
    latency_s : float
        Time from the intended send time to the end of the call.
    """

    arrival: Arrival
    outcome: str
    latency_s: float


def make_arrivals(service, rate_at, duration_s, rng, long_work=1.0, stragglers=0.0):
    """Draw the calls of one service from a Poisson process.

    Parameters
    ----------
    service : BenchService
        The service to call.
    rate_at : callable
        Returns the calls per second at a time, in seconds since the start.
    duration_s : float
        Time in which calls arrive.
    rng : random.Random
        Source of all random numbers.
    long_work : float
        Factor by which the rate of long work is multiplied.
    stragglers : float
        Share of calls that take ``STRAGGLER_FACTOR`` times longer on every upstream.
    """
    arrivals = []
    name = service.configuration.name
    for rule in service.work:
        share = service.mix[rule.name] * (long_work if is_long_work(rule) else 1.0)
        if not share:
            continue
        at_s = rng.expovariate(rate_at(0.0) * share)
        while at_s < duration_s:
            service_ms = rule.usual_s * 1000.0 * rng.uniform(*SERVICE_TIME_RANGE)
            if rng.random() < stragglers:
                service_ms *= STRAGGLER_FACTOR
            number = rng.getrandbits(48)
            arrivals.append(Arrival(at_s, rule, name, service_ms, number))
            at_s += rng.expovariate(rate_at(at_s) * share)
    return arrivals


class _Connection(asyncio.Protocol):
    """One persistent connection, with one call at a time."""

    def __init__(self):
        self.waiter = None
        self.parser = httptools.HttpResponseParser(self)
        self.refusal = None
        self.body = b""
        self.closed = False

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, exc):
        self.closed = True
        self._finish(("lost", b""))

    def data_received(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name, value):
        if name.lower() == b"goldcrest-refusal":
            self.refusal = value.decode()

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        status = self.parser.get_status_code()
        if not self.parser.should_keep_alive():
            self.closed = True
        self._finish((self.refusal or str(status), self.body))

    def _finish(self, answer):
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(answer)

    async def call(self, request, timeout_s):
        self.waiter = asyncio.get_running_loop().create_future()
        self.refusal, self.body = None, b""
        self.parser = httptools.HttpResponseParser(self)
        self.transport.write(request)
        try:
            async with asyncio.timeout(timeout_s):
                return await self.waiter
        except TimeoutError:
            self.closed = True
            self.transport.abort()
            return "lost", b""


class LoadGenerator:
    """Sends calls at their intended times, each to a random daemon."""

    def __init__(self, ports, seed):
        self.ports = tuple(ports)
        self.random = random.Random(seed)
        self.idle = {port: [] for port in self.ports}
        self.results = []

    async def run(self, arrivals):
        """Send all calls and return their results."""
        self.results = []
        tasks = set()
        start = time.perf_counter()
        for arrival in sorted(arrivals, key=lambda item: item.at_s):
            delay_s = start + arrival.at_s - time.perf_counter()
            if delay_s > 0.001:
                await asyncio.sleep(delay_s)
            task = asyncio.create_task(self._call(arrival, start + arrival.at_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(set(tasks))
        return self.results

    async def _call(self, arrival, intended):
        target = f"{arrival.rule.path_prefix}/{arrival.number}?ms={arrival.service_ms}"
        outcome, body = await self._send(arrival, target)
        if outcome == "200":
            outcome = "ok" if body.strip() == target.encode() else "wrong-answer"
        latency_s = time.perf_counter() - intended
        if outcome == "ok" and latency_s > arrival.rule.longest_s + LATE_TOLERANCE_S:
            outcome = "late"
        self.results.append(Result(arrival, outcome, latency_s))

    async def _send(self, arrival, target):
        try:
            port, connection = await self._connect_to_any()
        except OSError:
            return "lost", b""
        request = _request(arrival, target)
        answer = await connection.call(
            request, arrival.rule.longest_s + CALLER_MARGIN_S
        )
        if not connection.closed:
            self.idle[port].append(connection)
        return answer

    async def _connect_to_any(self):
        """Return a connection to a random daemon, and its port.

        Daemons that refuse the connection are skipped.
        """
        for port in self.random.sample(self.ports, CONNECT_ATTEMPTS):
            try:
                return port, await self._connection(port)
            except OSError:
                continue
        raise ConnectionRefusedError(f"{CONNECT_ATTEMPTS} daemons cannot be reached")

    async def _connection(self, port):
        idle = self.idle[port]
        while idle:
            connection = idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(_Connection, "127.0.0.1", port)
        return connection

    def close(self):
        """Close the idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.transport.abort()


def _request(arrival, target):
    rule = arrival.rule
    key = ""
    if isinstance(rule.kind, AtMostOnce):
        key = f"Idempotency-Key: {arrival.number}\r\n"
    return (
        f"{rule.method} /{arrival.service}{target} HTTP/1.1\r\nHost: bench\r\n"
        f"Goldcrest-Deadline-Ms: {int(rule.longest_s * 1000)}\r\n{key}"
        "Content-Length: 0\r\n\r\n"
    ).encode()
