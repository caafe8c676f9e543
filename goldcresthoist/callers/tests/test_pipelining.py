"""Tests of pipelined requests that run concurrently on one connection."""

import asyncio
import unittest
from collections import defaultdict
from urllib.parse import parse_qsl

from goldcresthoist.callers import CallerServer
from goldcresthoist.callers.pipeline import MAX_CONCURRENT_REQUESTS, MAX_HELD_BYTES
from goldcresthoist.callers.server import MAX_PIPELINED_REQUESTS
from goldcresthoist.tests.cluster import RawCaller, eventually
from goldcresthoist.tests.fakes import PlainCounters

STREAM_PIECE = bytes(16 * 1024)


class PipeliningTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a server whose handler does what the query says.

    ``hold`` waits for the event in ``gates``, ``close`` closes the connection
    with the response, ``stream`` sends that many pieces, ``cut`` breaks off after them.
    Requests to paths below ``/write`` may not run beside others.
    """

    async def asyncSetUp(self):
        self.counters = PlainCounters()
        self.dropped = []
        self.gates = defaultdict(asyncio.Event)
        # Paths of started, ended and cancelled requests, in this order of events.
        self.events = []
        # Whether the handler leaves out the end of streams.
        self.cut_streams = False
        # What `runs_beside` says of all requests but those below ``/write``.
        self.reads_run_beside = True
        self.server = CallerServer(
            self.handle, self.counters, runs_beside=self.runs_beside
        )
        self.server.on_dropped = lambda *numbers: self.dropped.append(numbers)
        await self.server.listen("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close)

    def runs_beside(self, request):
        """Return whether a request may run while others of its connection do."""
        return self.reads_run_beside and not request.target.startswith("/write")

    async def handle(self, request, exchange):
        """Respond with the path and the body of the request."""
        path, _, query = request.target.partition("?")
        options = dict(parse_qsl(query, keep_blank_values=True))
        self.events.append(("start", path))
        try:
            exchange.send_continue()
            body = b""
            while data := await request.body.read():
                body += data
            if "hold" in options:
                await self.gates[path].wait()
            if "close" in options:
                exchange.keep_alive = False
            if "stream" in options:
                await self.stream(exchange, int(options["stream"]))
            if "cut" in options:
                exchange.abort()
            elif not exchange.started:
                exchange.start(200, (), path.encode() + body, True)
        except asyncio.CancelledError:
            self.events.append(("cancel", path))
            raise
        self.events.append(("end", path))

    async def stream(self, exchange, count):
        """Send a response of ``count`` pieces in chunks, without its end."""
        exchange.start(200, ())
        for _ in range(count):
            await exchange.send(STREAM_PIECE)
        if not self.cut_streams:
            exchange.finish()

    async def pipeline(self, *targets):
        """Send ``GET`` requests on a new connection and return the caller."""
        caller = await RawCaller.connect(f"127.0.0.1:{self.server.port}")
        self.addAsyncCleanup(caller.close)
        for target in targets:
            caller.send("GET", target)
        return caller

    def release(self, *paths):
        """Let the handlers of requests with ``hold`` go on."""
        for path in paths:
            self.gates[path].set()

    def paths(self, event):
        """Return the paths of the requests with an event, in its order."""
        return [path for kind, path in self.events if kind == event]

    async def started(self, count):
        """Wait until ``count`` requests have started."""
        await eventually(lambda: len(self.paths("start")) == count)

    async def check_bodies(self, caller, *bodies):
        """Check that the next responses have these bodies."""
        for body in bodies:
            self.assertEqual((await caller.answer()).body, body)


class OrderTest(PipeliningTestCase):
    async def test_slow_first_response(self):
        """Guards against responses out of order, and requests that wait in vain."""
        caller = await self.pipeline("/a?hold", "/b", "/c")
        await eventually(lambda: self.paths("end") == ["/b", "/c"])
        self.assertGreater(self.server.held_bytes(), 0)
        self.release("/a")
        await self.check_bodies(caller, b"/a", b"/b", b"/c")
        self.assertEqual(self.server.held_bytes(), 0)
        self.assertEqual(self.counters.total("pipelined_requests"), 2)

    async def test_request_that_must_not_be_repeated_runs_alone(self):
        """Guards against a write beside reads, or one lost behind a broken response."""
        caller = await self.pipeline("/a?hold", "/write?hold", "/b")
        await self.started(1)
        await asyncio.sleep(0.02)
        self.assertEqual(self.paths("start"), ["/a"])
        self.release("/a")
        await self.started(2)
        await asyncio.sleep(0.02)
        self.assertEqual(self.paths("start"), ["/a", "/write"])
        self.release("/write")
        await self.check_bodies(caller, b"/a", b"/write", b"/b")

    async def test_rule_that_changes_between_two_requests(self):
        """Guards against the use of routes that are no longer in force."""
        caller = await self.pipeline("/a?hold")
        await self.started(1)
        self.reads_run_beside = False
        caller.send("GET", "/b")
        await asyncio.sleep(0.02)
        self.assertEqual(self.paths("start"), ["/a"])
        self.release("/a")
        await self.check_bodies(caller, b"/a", b"/b")

    async def test_rule_holds_until_the_handler_starts(self):
        """Guards against a change between the decision and the start of a handler."""

        async def handle(request, exchange):
            self.assertEqual(decided.pop(), request.target)
            self.events.append(("start", request.target))
            await asyncio.sleep(0)
            exchange.start(200, (), b"", True)

        def decide(request):
            # Whatever runs between the decision and the handler finds no decision.
            decided[:] = [request.target]
            asyncio.get_running_loop().call_soon(decided.clear)
            return True

        decided = []
        self.server.handler, self.server.runs_beside = handle, decide
        caller = await self.pipeline("/a", "/b", "/c")
        await self.check_bodies(caller, b"", b"", b"")

    async def test_bodies_and_methods(self):
        """Guards against bodies, HEAD and 100-continue mixed up between requests."""
        caller = await self.pipeline("/a?hold")
        caller.send("POST", "/b", (), b"one")
        caller.send("HEAD", "/c")
        caller.write(b"POST /d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n")
        caller.write(b"\r\n3\r\ntwo\r\n0\r\n\r\n")
        caller.send("PUT", "/e", (("Expect", "100-continue"),), b"three")
        await self.started(5)
        self.release("/a")
        await self.check_bodies(caller, b"/a", b"/bone")
        self.assertEqual((await caller.answer(bodyless=True)).status, 200)
        await self.check_bodies(caller, b"/dtwo")
        line = await caller.reader.readuntil(b"\r\n\r\n")
        self.assertEqual(line, b"HTTP/1.1 100 Continue\r\n\r\n")
        await self.check_bodies(caller, b"/ethree")

    async def test_incomplete_body_runs_alone(self):
        """Guards against a request that runs beside others before it is all there."""
        caller = await self.pipeline("/a?hold")
        caller.write(b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
        await self.started(1)
        await asyncio.sleep(0.02)
        self.assertEqual(self.paths("start"), ["/a"])
        self.release("/a")
        await self.started(2)
        caller.write(b"y")
        caller.send("GET", "/c")
        await self.check_bodies(caller, b"/a", b"/bxy", b"/c")


class BoundsTest(PipeliningTestCase):
    async def test_number_of_requests(self):
        """Guards against one caller that occupies a daemon."""
        targets = [f"/{number}?hold" for number in range(4 * MAX_PIPELINED_REQUESTS)]
        caller = await self.pipeline()
        for target in targets:
            caller.send("GET", target)
            await caller.writer.drain()
            await asyncio.sleep(0.001)
        (connection,) = self.server.connections
        await eventually(lambda: connection.read_paused)
        self.assertEqual(len(self.paths("start")), MAX_CONCURRENT_REQUESTS)
        self.assertLess(len(connection.pending_requests), len(targets) - 8)
        paths = [target.partition("?")[0] for target in targets]
        self.release(*paths)
        await self.check_bodies(caller, *(path.encode() for path in paths))

    async def test_held_bytes(self):
        """Guards against streams that fill the memory behind a slow response."""
        caller = await self.pipeline("/a?hold", "/b?stream=40", "/c?stream=40", "/d")
        await eventually(lambda: self.server.held_bytes() > MAX_HELD_BYTES)
        await asyncio.sleep(0.02)
        limit = MAX_HELD_BYTES + 4 * len(STREAM_PIECE)
        self.assertLess(self.server.held_bytes(), limit)
        self.release("/a")
        stream = 40 * STREAM_PIECE
        await self.check_bodies(caller, b"/a", stream, stream, b"/d")

    async def test_caller_that_does_not_read(self):
        """Guards against unbounded memory for a caller that reads no response."""
        caller = await self.pipeline(*(f"/{n}?stream=200" for n in range(10)))
        await eventually(lambda: self.server.connections)
        (connection,) = self.server.connections
        await eventually(lambda: connection.write_paused)
        await asyncio.sleep(0.05)
        limit = 2 * MAX_HELD_BYTES + 8 * len(STREAM_PIECE)
        self.assertLess(self.server.unsent_bytes(), limit)
        await self.check_bodies(caller, *[200 * STREAM_PIECE] * 10)


class EndTest(PipeliningTestCase):
    async def test_response_that_closes(self):
        """Guards against responses after the last one, and a reset that destroys it."""
        targets = ["/a?hold", "/b?hold&close", "/c", "/d?hold", "/write"]
        caller = await self.pipeline(*targets)
        await eventually(lambda: self.paths("end") == ["/c"])
        self.release("/a", "/b")
        await self.check_bodies(caller, b"/a")
        # Input that the server does not read would reset the connection.
        caller.send("GET", "/late")
        last = await caller.answer()
        self.assertEqual((last.body, last.headers["connection"]), (b"/b", "close"))
        self.assertEqual(await caller.read_until_closed(), b"")
        await caller.close()
        await eventually(lambda: self.dropped)
        self.assertEqual(self.dropped, [(2, 1)])
        self.assertEqual(self.paths("cancel"), ["/d"])
        self.assertNotIn("/write", self.paths("start"))
        self.assertNotIn("/late", self.paths("start"))
        self.assertEqual(self.counters.total("pipelined_dropped"), 3)

    async def test_request_that_asks_to_close(self):
        """Guards against requests behind ``Connection: close``."""
        caller = await self.pipeline("/a?hold")
        caller.send("GET", "/b", (("Connection", "close"),))
        caller.send("GET", "/c")
        await self.started(2)
        self.release("/a")
        await self.check_bodies(caller, b"/a", b"/b")
        self.assertEqual(await caller.read_until_closed(), b"")
        self.assertEqual(self.paths("start"), ["/a", "/b"])

    async def test_abort_in_the_middle(self):
        """Guards against part of a response, and lost ones in front of it."""
        self.cut_streams = True
        caller = await self.pipeline(
            "/a?hold", "/b?hold&stream=2&cut", "/c?hold", "/write"
        )
        await self.started(3)
        self.release("/b")
        await eventually(lambda: self.paths("cancel") == ["/c"])
        self.release("/a")
        await self.check_bodies(caller, b"/a")
        self.assertEqual(await caller.read_until_closed(), b"")
        self.assertNotIn("/write", self.paths("start"))

    async def test_abort_of_the_first(self):
        """Guards against a truncated response that looks complete."""
        self.cut_streams = True
        caller = await self.pipeline("/a?stream=2&cut&hold", "/b", "/c?hold")
        await self.started(3)
        self.release("/a")
        with self.assertRaises((EOFError, ConnectionError)):
            await caller.answer()
        await eventually(lambda: self.paths("cancel") == ["/c"])
        await eventually(lambda: self.dropped == [(2, 0)])

    async def test_handler_error_behind_another(self):
        """Guards against an error that takes the responses around it along."""
        handle = self.server.handler

        async def fail_b(request, exchange):
            if request.target == "/b":
                raise KeyError(request.target)
            await handle(request, exchange)

        self.server.handler = fail_b
        caller = await self.pipeline("/a?hold", "/b", "/c")
        await self.started(2)
        self.release("/a")
        await self.check_bodies(caller, b"/a")
        self.assertEqual((await caller.answer()).status, 500)
        await self.check_bodies(caller, b"/c")

    async def test_caller_that_leaves(self):
        """Guards against work that goes on for a caller that left."""
        caller = await self.pipeline(*(f"/{n}?hold" for n in range(12)))
        await self.started(MAX_CONCURRENT_REQUESTS)
        await caller.close()
        await eventually(lambda: len(self.paths("cancel")) == MAX_CONCURRENT_REQUESTS)
        self.assertEqual(len(self.paths("start")), MAX_CONCURRENT_REQUESTS)
        self.assertFalse(self.server.connections)

    async def test_invalid_request_behind_valid_ones(self):
        """Guards against a refusal that overtakes or replaces a response."""
        caller = await self.pipeline("/a?hold", "/b")
        caller.write(b"broken\r\n\r\n")
        await self.started(2)
        self.release("/a")
        await self.check_bodies(caller, b"/a", b"/b")
        refusal = await caller.answer()
        self.assertEqual((refusal.status, refusal.outcome), (400, "not-run"))
        self.assertEqual(await caller.read_until_closed(), b"")

    async def test_drain_with_several_waiting(self):
        """Guards against requests under way that a planned stop cuts off."""
        targets = [f"/{number}?hold" for number in range(12)]
        caller = await self.pipeline(*targets)
        await self.started(MAX_CONCURRENT_REQUESTS)
        self.server.start_draining()
        self.release(*(f"/{number}" for number in range(12)))
        for number in range(MAX_CONCURRENT_REQUESTS + 1):
            answer = await caller.answer()
            self.assertEqual(answer.body, b"/%d" % number)
            closes = answer.headers.get("connection") == "close"
            self.assertEqual(closes, number == MAX_CONCURRENT_REQUESTS)
        self.assertEqual(await caller.read_until_closed(), b"")
        await caller.close()
        await eventually(lambda: self.dropped == [(0, 3)])

    async def test_connection_with_requests_is_neither_idle_nor_overdue(self):
        """Guards against a connection that is closed while requests are under way."""
        caller = await self.pipeline("/a?hold", "/b", "/write")
        await eventually(lambda: self.paths("end") == ["/b"])
        (connection,) = self.server.connections
        connection.close_if_overdue(connection.loop.time() + 1000.0)
        connection.close_if_idle()
        self.release("/a")
        await self.check_bodies(caller, b"/a", b"/b", b"/write")
        await eventually(lambda: not connection.busy)
        connection.close_if_idle()
        self.assertEqual(await caller.read_until_closed(), b"")


if __name__ == "__main__":
    unittest.main()
