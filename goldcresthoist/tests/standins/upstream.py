"""Stand-in for an upstream: an HTTP/1.1 server with faults.

Run it with ``python -m goldcresthoist.tests.standins.upstream --port N``.

Query parameters of a request determine its response:

- ``ms``: service time in milliseconds; ``size``: body length in bytes; ``chunked``:
  send this body in chunks;
- ``status``: status of the response; ``echo``: respond with the request body;
- ``fault``: ``crash`` (the process ends), ``close`` (no response), ``truncate``,
  ``longer`` (more bytes after the response), ``garbage`` (not HTTP), ``no-length``,
  ``conflict`` (ambiguous framing), ``early`` (responds before the body is received),
  ``reset-body`` (closes the connection while the body is received);
- ``repeat_ms``: repeat the id of the request in the response, and send the response a
  second time after that many milliseconds.

``POST /-/faults`` sets faults for all requests as JSON: ``delay_ms``, ``status``,
``fault`` and ``crash_on`` (a text; a request whose target contains it ends the
process). ``GET /-/calls`` returns counts, also of the requests by ``Idempotency-Key``.
"""

import argparse
import asyncio
import json
import os
import signal
from collections import Counter
from urllib.parse import parse_qsl

import httptools

__all__ = ["UpstreamStandIn", "main"]

CHUNK = bytes(64 * 1024)
CRASH_STATUS = 70
TRUNCATE_DELAY_S = 0.02


class UpstreamStandIn:
    """Server with the state that its connections share.

    Parameters
    ----------
    slots : int
        Number of requests that are processed at the same time; others wait.
    service_ms : float
        Service time in milliseconds of a request without ``ms``.
    """

    def __init__(self, slots=12, service_ms=0.0):
        self.service_ms = service_ms
        self.slots = asyncio.Semaphore(slots)
        self.faults = {}
        self.counts = Counter()
        # Number of requests by their Idempotency-Key header.
        self.runs = Counter()
        # Number of requests by their X-Attempt header, which identifies an attempt.
        self.attempts = Counter()
        self.listener = None
        self.connections = set()
        # Tests that run the server in their own process replace this with
        # `abort_all`.
        self.crash = lambda: os._exit(CRASH_STATUS)

    async def listen(self, host, port):
        """Start to listen; return the port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: Connection(self), host, port, backlog=1024
        )
        return self.listener.sockets[0].getsockname()[1]

    def abort_all(self):
        """Close the listener and all connections, as a crash of the process does."""
        self.listener.close()
        for connection in tuple(self.connections):
            connection.transport.abort()

    def report(self):
        """Return the counts in the form of ``GET /-/calls``."""
        return {"counts": dict(self.counts), "runs": dict(self.runs)}


class Request:
    """One request with its body."""

    def __init__(self, method, target, headers):
        self.method = method
        self.path, _, query = target.partition("?")
        self.target = target
        self.options = dict(parse_qsl(query))
        self.headers = headers
        self.size = 0
        self.parts = []
        self.complete = asyncio.Event()

    def add(self, data):
        """Count body bytes; keep them only if they are echoed or are for control."""
        self.size += len(data)
        if "echo" in self.options or self.path.startswith("/-/"):
            self.parts.append(data)


class Connection(asyncio.Protocol):
    """Responds to the requests of one connection in order."""

    def __init__(self, standin):
        self.standin = standin
        self.parser = httptools.HttpRequestParser(self)
        self.requests = asyncio.Queue()
        self.writable = asyncio.Event()
        self.writable.set()
        self.request = None
        self.running = False

    def connection_made(self, transport):
        """Start the task that processes the requests."""
        self.transport = transport
        self.standin.counts["connections"] += 1
        self.standin.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self._run())

    def connection_lost(self, exc):
        """Count a request that is in progress as cancelled."""
        self.standin.connections.discard(self)
        if self.running:
            self.standin.counts["cancelled"] += 1
        self.task.cancel()

    def pause_writing(self):
        """Suspend streaming until the write buffer has drained."""
        self.writable.clear()

    def resume_writing(self):
        """Resume streaming."""
        self.writable.set()

    def data_received(self, data):
        """Parse received bytes; close the connection if they are not valid HTTP."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.standin.counts["invalid"] += 1
            self.transport.abort()

    def on_message_begin(self):
        self.headers = {}
        self.url = b""

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers[name.lower().decode()] = (value or b"").decode("latin-1")

    def on_headers_complete(self):
        """Queue the request; its body may still be incomplete."""
        method = self.parser.get_method().decode()
        self.request = Request(method, self.url.decode(), self.headers)
        self.requests.put_nowait(self.request)

    def on_body(self, data):
        self.request.add(data)
        if self.request.options.get("fault") == "reset-body":
            self.transport.abort()

    def on_message_complete(self):
        """Mark the body as complete."""
        self.request.complete.set()

    async def _run(self):
        while True:
            request = await self.requests.get()
            self.running = True
            if request.path.startswith("/-/"):
                await self._handle_control(request)
            else:
                await self._serve(request)
            self.running = False

    async def _handle_control(self, request):
        await request.complete.wait()
        standin = self.standin
        if request.path == "/-/faults" and request.method == "POST":
            standin.faults = json.loads(b"".join(request.parts) or b"{}")
        body = json.dumps(standin.report() | {"faults": standin.faults}).encode()
        self._write_head(200, len(body), body)

    async def _serve(self, request):
        standin = self.standin
        faults = standin.faults
        standin.counts["started"] += 1
        standin.attempts[request.headers.get("x-attempt")] += 1
        if key := request.headers.get("idempotency-key"):
            standin.runs[key] += 1
        crash_marker = faults.get("crash_on")
        if crash_marker and crash_marker in request.target:
            standin.crash()
            return
        async with standin.slots:
            delay_ms = float(request.options.get("ms", standin.service_ms))
            delay_ms += faults.get("delay_ms", 0.0)
            if delay_ms:
                await asyncio.sleep(delay_ms / 1000.0)
            fault = request.options.get("fault") or faults.get("fault")
            if fault == "early":
                self._write_head(413, 0)
                standin.counts["completed"] += 1
                return
            await request.complete.wait()
            if fault:
                self._send_faulty_response(fault)
            else:
                await self._respond(request, faults)
        standin.counts["completed"] += 1

    async def _respond(self, request, faults):
        status = int(request.options.get("status", faults.get("status", 200)))
        if "echo" in request.options:
            body = b"".join(request.parts)
        elif "size" in request.options:
            await self._stream(status, request)
            return
        else:
            body = self._request_description(request)
        if "repeat_ms" in request.options:
            self._respond_twice(request, status, body)
            return
        self._write_head(status, len(body), b"" if request.method == "HEAD" else body)

    def _respond_twice(self, request, status, body):
        name = "goldcrest-request-id"
        head = f"HTTP/1.1 {status} Stand-in\r\n{name}: {request.headers.get(name)}\r\n"
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        self.transport.write(data)
        delay_s = float(request.options["repeat_ms"]) / 1000.0
        asyncio.get_running_loop().call_later(delay_s, self.transport.write, data)

    async def _stream(self, status, request):
        remaining = int(request.options["size"])
        chunked = "chunked" in request.options
        self._write_head(status, None if chunked else remaining)
        while remaining:
            piece = CHUNK[: min(remaining, len(CHUNK))]
            remaining -= len(piece)
            if chunked:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            self.transport.write(piece)
            await self.writable.wait()
        if chunked:
            self.transport.write(b"0\r\n\r\n")

    def _request_description(self, request):
        headers = request.headers
        answer = {
            "method": request.method,
            "target": request.target,
            "received": request.size,
            "headers": headers,
            "pid": os.getpid(),
        }
        return json.dumps(answer).encode()

    def _write_head(self, status, length, body=b""):
        framing = "Transfer-Encoding: chunked"
        if length is not None:
            framing = f"Content-Length: {length}"
        head = f"HTTP/1.1 {status} Stand-in\r\nContent-Type: application/json\r\n"
        self.transport.write(f"{head}{framing}\r\n\r\n".encode() + body)

    def _send_faulty_response(self, fault):
        write = self.transport.write
        if fault == "crash":
            self.standin.crash()
            return
        elif fault == "truncate":
            write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")
            loop = asyncio.get_running_loop()
            loop.call_later(TRUNCATE_DELAY_S, self.transport.close)
            return
        elif fault == "longer":
            write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n")
            write(b"Content-Length: 6\r\n\r\nforged")
            return
        elif fault == "garbage":
            write(b"\x00\xff this is not HTTP\r\n\r\n")
        elif fault == "no-length":
            write(b"HTTP/1.1 200 OK\r\n\r\nends with the connection")
        elif fault == "conflict":
            write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n")
            write(b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
        self.transport.close()


async def _serve_until_stopped(arguments):
    standin = UpstreamStandIn(arguments.slots, arguments.service_ms)
    port = await standin.listen(arguments.host, arguments.port)
    print(f"listening on {arguments.host}:{port}", flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


def main():
    """Run one stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description="Stand-in for an upstream.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--service-ms", type=float, default=0.0)
    arguments = parser.parse_args()
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    uvloop.run(_serve_until_stopped(arguments))


if __name__ == "__main__":
    main()
