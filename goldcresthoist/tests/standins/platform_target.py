"""Stand-in for an upstream on the users' platform.

It processes a request for the milliseconds given by ``ms`` in the query, signs the
response (longer by ``size`` bytes), reports its load and records each execution in
`PlatformTarget.runs`, so that a test can compare the responses to callers with what was
executed. ``fault`` in the query selects a fault: ``status`` (status 500), ``close`` (no
response after the execution), ``truncate`` (half of the body), ``extra`` and ``late``
(a second response, at once or 0.1 s later), ``garbage`` (no HTTP), ``unframed`` (no
length), ``shed`` (status 503 without execution), ``late-refusal`` (``shed``, and once
more 0.1 s later), ``crash`` (the upstream stops until it is started again),
``half-head`` (the connection ends in the head), ``unsealed`` (no
signature) or one of `ENDLESS_FAULTS` and `ENDLESS_STARTS` (bytes until the connection
ends). It responds to
``/health`` at once, unless ``health_hangs`` is set.
"""

import asyncio
import json
import time
from urllib.parse import parse_qsl

import httptools

__all__ = [
    "ENDLESS_BODIES",
    "ENDLESS_FAULTS",
    "ENDLESS_STARTS",
    "PlatformTarget",
    "response_seal",
]

_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
_CHUNK = b"8\r\naaaaaaaa\r\n"
# Responses with the seal, which reach the caller.
ENDLESS_BODIES = {
    "endless-body": (b"\r\n", b"a"),
    "endless-length": (b"Content-Length: 1000000000\r\n\r\n", b"a"),
    "endless-chunks": (b"Transfer-Encoding: chunked\r\n\r\n", _CHUNK),
}
# What follows the status line and the request id, and what is repeated after it.
ENDLESS_FAULTS = {
    "endless-head": (b"", b"x: 1234\r\n"),
    "endless-line": (b"x: ", b"a"),
    "endless-interim": (b"\r\n", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "endless-trailer": (_CHUNKED + b"0\r\nx: ", b"a"),
    "endless-extension": (_CHUNKED + b"1;x=", b"a"),
    "endless-other": (b"Content-Length: 1000000000\r\n\r\n", b"a"),
    "endless-refusal": (
        b"Not-Executed: 1\r\n" + ENDLESS_BODIES["endless-chunks"][0],
        _CHUNK,
    ),
    "endless-tiny-chunks": (_CHUNKED, b"1\r\na\r\n"),
    **ENDLESS_BODIES,
}
# The same without a status line and request id.
ENDLESS_STARTS = {
    "endless-garbage": (b"", b"\x00\xff"),
    "endless-line-ends": (b"", b"\r\n"),
    "endless-reason": (b"HTTP/1.1 200 ", b"a"),
    "endless-status": (b"HTTP/1.1 ", b"2"),
}
ENDLESS_PIECE_BYTES = 64 * 1024
# Delay of the second response of the fault ``late``.
LATE_COPY_S = 0.1


def response_seal(identity, request_id, body):
    """Return the value of the header Response-Seal of a response.

    ``identity`` is the upstream's, ``body`` the bytes of the response. The text only
    identifies the response; it is not cryptographic.
    """
    return f"{identity}.{request_id}.{len(body)}"


class PlatformTarget:
    """One upstream; announces itself to its serving daemon.

    Parameters
    ----------
    identity, service : str
    address : str
        ``"ip:port"`` to listen on.
    announcement_address : str
        The daemon's address for announcements.
    slots : int
        Number of requests that are processed at the same time; others are rejected.
    """

    def __init__(self, identity, service, address, announcement_address, slots=4):
        self.identity = identity
        self.service = service
        self.address = address
        self.announcement_address = announcement_address
        self.slots = slots
        # Start of this upstream, in milliseconds since the epoch.
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        # Processing time in percent of the usual time, as reported in Server-Load.
        self.pace = 100
        self.health_hangs = False
        # One of `ENDLESS_FAULTS` or `ENDLESS_STARTS` for each health check, or empty.
        self.health_fault = ""
        self.healthy = True
        # Header fields that every response has besides the usual ones.
        self.extra_fields = []
        # Monotonic time until which the upstream warms up; responses to health checks
        # and announcements give the time that is left.
        self.cold_until = 0.0
        # Monotonic arrival time of each request, health checks included.
        self.arrivals = []
        # Number of further responses that break off.
        self.breaks = 0
        # Number of health checks received.
        self.probes = 0
        # (request id, monotonic time, target, body) of every execution.
        self.runs = []
        # Header fields of every execution, by name in lower case.
        self.received = []
        # Number of requests refused without execution, with status 503.
        self.rejected = 0
        # Monotonic time at which the daemon acknowledged the state "draining".
        self.acknowledged_at = None
        self.connections = set()
        self.listener = None
        self.heartbeat_task = None

    async def start(self):
        """Start to listen and to send heartbeats."""
        host, port = self.address.split(":")
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: _Connection(self), host, int(port)
        )
        self.heartbeat_task = loop.create_task(self._send_heartbeats())

    async def stop(self):
        """Close the listener and all connections at once, as a crash does."""
        self.heartbeat_task.cancel()
        self.listener.close()
        for connection in tuple(self.connections):
            connection.transport.abort()
        await asyncio.sleep(0)

    async def drain(self):
        """Announce the state ``draining`` until the daemon acknowledges it."""
        self.state = "draining"
        while not await self.announce():  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        self.acknowledged_at = time.monotonic()

    def cold_left_s(self):
        """Return the remaining time of the warm-up in seconds."""
        return max(0.0, self.cold_until - time.monotonic())

    async def announce(self):
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps(
            {
                "address": self.address,
                "info": {"service": self.service, "slots": self.slots, "zone": "a"},
                "status": {
                    "state": self.state,
                    "sequence": self.sequence,
                    "cold_left_s": self.cold_left_s(),
                },
                "born": self.born_ms,
            }
        ).encode()
        path = f"/Instances.Heartbeat/{self.identity}"
        return await self._post(path, body)

    async def _send_heartbeats(self):
        while True:
            await self.announce()
            await asyncio.sleep(0.2)

    async def _post(self, path, body):
        host, port = self.announcement_address.split(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    head = f"POST {path} HTTP/1.1\r\nHost: x\r\n"
                    head += f"Content-Length: {len(body)}\r\n\r\n"
                    writer.write(head.encode() + body)
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return line.startswith(b"HTTP/1.1 2")


class _Connection(asyncio.Protocol):
    def __init__(self, target):
        self.target = target
        self.transport = None
        self.parser = httptools.HttpRequestParser(self)
        self.headers = {}
        self.url = b""
        self.body = b""
        self.task = None
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport):
        self.transport = transport
        self.target.connections.add(self)

    def connection_lost(self, exc):
        self.target.connections.discard(self)
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self):
        self.writable.clear()

    def resume_writing(self):
        self.writable.set()

    def data_received(self, data):
        self.parser.feed_data(data)

    def on_message_begin(self):
        self.headers = {}
        self.url = self.body = b""

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self):
        target = self.target
        request_id = self.headers.get("request-id", "")
        query = dict(parse_qsl(self.url.decode().partition("?")[2]))
        fault = query.get("fault", "")
        target.arrivals.append(time.monotonic())
        if self.url == b"/health":
            target.probes += 1
            if target.health_fault:
                await self._send_without_end(target.health_fault, "")
            elif not target.health_hangs:
                status = 200 if target.healthy else 503
                cold_ms = str(int(target.cold_left_s() * 1000))
                fields = [("Instance-Id", target.identity)]
                self._write(status, b"", [*fields, ("Cold-Remaining-Ms", cold_ms)])
            return
        if self.headers.get("expect-instance") != target.identity:
            self._write(421, b"", [("Not-Executed", "1")])
            return
        if fault in ("shed", "late-refusal") or target.running >= target.slots:
            target.rejected += 1
            refusal = (503, b"", [("Not-Executed", "1")])
            self._write(*refusal)
            if fault == "late-refusal":
                self._repeat_later(*refusal)
            return
        run = (request_id, time.monotonic(), self.url.decode(), self.body)
        target.runs.append(run)
        target.received.append(self.headers)
        target.running += 1
        try:
            await asyncio.sleep(float(query.get("ms", 0)) / 1000)
        finally:
            target.running -= 1
        if fault == "crash":
            await target.stop()
            return
        if fault in ENDLESS_FAULTS or fault in ENDLESS_STARTS:
            await self._send_without_end(fault, request_id)
            return
        body = b"%b of %b" % (target.identity.encode(), request_id.encode())
        body += bytes(int(query.get("size", 0)))
        self._answer(fault, request_id, body)

    async def _send_without_end(self, fault, request_id):
        if fault in ENDLESS_STARTS:
            start, repeated = ENDLESS_STARTS[fault]
        else:
            start, repeated = ENDLESS_FAULTS[fault]
            status = {"endless-interim": 100, "endless-refusal": 503}.get(fault, 200)
            named = "another" if fault == "endless-other" else request_id
            head = f"HTTP/1.1 {status} X\r\nRequest-Id: {named}\r\n"
            if fault in ENDLESS_BODIES or fault == "endless-tiny-chunks":
                seal = response_seal(self.target.identity, request_id, b"")
                head += f"Response-Seal: {seal}\r\n"
            start = head.encode() + start
        self.transport.write(start)
        while not self.transport.is_closing():
            self.transport.write(repeated * (ENDLESS_PIECE_BYTES // len(repeated)))
            await self.writable.wait()
            await asyncio.sleep(0.001)

    def _answer(self, fault, request_id, body):
        if self.target.breaks:
            self.target.breaks -= 1
            fault = "truncate"
        seal = response_seal(self.target.identity, request_id, body)
        headers = [] if fault == "unsealed" else [("Response-Seal", seal)]
        if fault == "close":
            self.transport.abort()
        elif fault == "half-head":
            head = f"HTTP/1.1 200 X\r\nRequest-Id: {request_id}\r\n"
            head += f"Response-Seal: {seal}\r\nContent-Len"
            self.transport.write(head.encode())
            self.transport.close()
        elif fault == "garbage":
            self.transport.write(bytes(range(256)))
        elif fault == "truncate":
            half = body[: len(body) // 2]
            self._write(200, half, headers, length=len(body))
            self.transport.close()
        elif fault == "unframed":
            self._write(200, body, headers, length=None)
            self.transport.close()
        elif fault == "status":
            self._write(500, body, headers)
        else:
            self._write(200, body, headers)
            if fault == "extra":
                self._write(200, b"junk", headers)
            elif fault == "late":
                self._repeat_later(200, body, headers)

    def _repeat_later(self, status, body, headers):
        request_id = self.headers.get("request-id", "")

        def repeat():
            now = self.headers.get("request-id")
            self.headers["request-id"] = request_id
            self._write(status, body, headers)
            self.headers["request-id"] = now or ""

        asyncio.get_running_loop().call_later(LATE_COPY_S, repeat)

    def _write(self, status, body, headers, length=-1):
        target = self.target
        lines = [
            f"HTTP/1.1 {status} X",
            # Running and waiting requests, slots and pace.
            f"Server-Load: {target.running},0,4,{target.pace}",
        ]
        if "request-id" in self.headers:
            lines.append(f"Request-Id: {self.headers['request-id']}")
        fields = (*headers, *target.extra_fields)
        lines.extend(f"{name}: {value}" for name, value in fields)
        if length is not None:
            lines.append(f"Content-Length: {len(body) if length < 0 else length}")
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
