"""HTTP server with injectable faults, the base of the platform service stand-ins."""

import argparse
import asyncio
import json
from collections import Counter
from dataclasses import dataclass, fields

from aiohttp import web

__all__ = ["FaultyServer", "Faults", "run"]

MAX_REQUEST_BYTES = 64 * 1024 * 1024


@dataclass
class Faults:
    """Faults of a stand-in. Each call that a counted fault applies to decrements it.

    Attributes
    ----------
    down : bool
        Respond to every call with `down_status` and without effect.
    delay_ms : float
        Delay in milliseconds before each call is processed.
    throttle : int
        Refuse this many calls with the error for an exceeded provisioned rate.
    expired : int
        Refuse this many calls with the error for an expired signature.
    lose_answers : int
        Apply this many writes, then close their connection without a response.
    late_writes : int
        Hold this many writes without a response. They take effect after `late_ms` or,
        if that is 0, when they are released.
    late_close : bool
        Whether to close the connection of a held write at once, so that the client
        does not have to wait for a timeout.
    refuse_ms : float
        Refuse connections for this time in milliseconds, then listen again.
    """

    down: bool = False
    down_status: int = 503
    delay_ms: float = 0
    throttle: int = 0
    expired: int = 0
    lose_answers: int = 0
    late_writes: int = 0
    late_ms: float = 0
    late_close: bool = False
    refuse_ms: float = 0

    def change(self, document):
        """Set the given faults; raise ValueError for an unknown name."""
        names = {field.name for field in fields(self)}
        if unknown := set(document) - names:
            raise ValueError(f"unknown faults {sorted(unknown)}, known {sorted(names)}")
        for name, value in document.items():
            setattr(self, name, value)

    def consume(self, name):
        """Decrement a counted fault; return whether it was greater than 0."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class FaultyServer:
    """Base of the stand-ins for the platform services.

    A subclass defines `operation_of`, `is_write`, `throttled`, `expired` and `process`,
    which applies an operation at once and returns its response. The control paths are
    ``POST /-/faults``, ``GET /-/calls`` and ``POST /-/release``.
    """

    def __init__(self):
        self.faults = Faults()
        self.calls = Counter()
        self.released = asyncio.Event()
        self.tasks = set()
        self.runner = None
        self.host = "127.0.0.1"
        self.port = 0

    @property
    def url(self):
        """URL at which clients reach the server."""
        return f"http://{self.host}:{self.port}"

    async def __aenter__(self):
        await self.start()
        return self

    async def __aexit__(self, *exc_info):
        await self.stop()

    async def start(self, port=0, host="127.0.0.1"):
        """Start to listen; port 0 selects a free port."""
        self.host = host
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.router.add_post("/-/faults", self._set_faults)
        app.router.add_get("/-/calls", self._send_call_counts)
        app.router.add_post("/-/release", self._release)
        app.router.add_route("*", "/{path:.*}", self._handle)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        self.port = port
        await self.listen()

    async def stop(self):
        """Stop listening and drop held writes."""
        for task in list(self.tasks):
            task.cancel()
        await self.runner.cleanup()

    async def listen(self):
        """Accept connections; after `refuse_connections`, on the previous port."""
        site = web.TCPSite(self.runner, self.host, self.port, reuse_address=True)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def refuse_connections(self):
        """Close all connections and refuse new ones."""
        for site in list(self.runner.sites):
            await site.stop()
        for connection in list(self.runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def release_held_writes(self):
        """Let the held writes take effect."""
        self.released.set()
        self.released = asyncio.Event()

    async def _set_faults(self, request):
        try:
            self.faults.change(await request.json())
        except ValueError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        if self.faults.refuse_ms:
            self._spawn(self._refuse_for(self.faults.refuse_ms / 1000))
            self.faults.refuse_ms = 0
        return web.json_response({})

    async def _send_call_counts(self, request):
        return web.json_response(dict(self.calls))

    async def _release(self, request):
        self.release_held_writes()
        return web.json_response({})

    async def _refuse_for(self, seconds):
        # The response to POST /-/faults is sent before its connection is closed.
        await asyncio.sleep(0.01)
        await self.refuse_connections()
        await asyncio.sleep(seconds)
        await self.listen()

    async def _handle(self, request):
        body = await request.read()
        operation = self.operation_of(request)
        self.calls[operation] += 1
        self.calls["total"] += 1
        faults = self.faults
        if faults.down:
            return web.Response(status=faults.down_status, text="down")
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.consume("throttle"):
            return self.throttled()
        if faults.consume("expired"):
            return self.expired()
        if not self.is_write(operation):
            return self.process(operation, request, body)
        return await self._write(operation, request, body)

    async def _write(self, operation, request, body):
        if self.faults.consume("late_writes"):
            late = self._spawn(self._write_late(operation, request, body))
            if not self.faults.late_close:
                return await late
            request.transport.abort()
            return web.Response()
        answer = self.process(operation, request, body)
        if self.faults.consume("lose_answers"):
            request.transport.abort()
        return answer

    async def _write_late(self, operation, request, body):
        if self.faults.late_ms:
            await asyncio.sleep(self.faults.late_ms / 1000)
        else:
            await self.released.wait()
        return self.process(operation, request, body)

    def _spawn(self, coroutine):
        # A separate task continues after the client has closed the connection.
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


def run(server_class, description):
    """Run a stand-in until its process receives a signal.

    It prints ``listening on`` and its URL once it accepts connections.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--faults", default="{}", help="JSON as for POST /-/faults")
    arguments = parser.parse_args()

    async def serve():
        server = server_class()
        server.faults.change(json.loads(arguments.faults))
        await server.start(arguments.port, arguments.host)
        print(f"listening on {server.url}", flush=True)
        await asyncio.Event().wait()

    try:
        asyncio.run(serve())
    except KeyboardInterrupt:
        pass
