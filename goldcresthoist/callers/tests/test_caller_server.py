"""Tests of the HTTP server for callers."""

import asyncio
import unittest

from goldcresthoist.callers import CallerServer, ConnectionLimits
from goldcresthoist.callers.server import MAX_DISCARDED_BYTES
from goldcresthoist.tests.cluster import RawCaller, eventually
from goldcresthoist.tests.fakes import PlainCounters

HOST = b"Host: a\r\n"
GET = b"GET /a HTTP/1.1\r\n" + HOST


class CallerServerTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a `CallerServer` whose handler echoes target and body.

    The handler waits until ``read_allowed`` is set before it reads the body.
    """

    async def asyncSetUp(self):
        self.counters = PlainCounters()
        self.handled = []
        self.read_allowed = asyncio.Event()
        self.read_allowed.set()
        self.errors = []
        self.server = CallerServer(self.handle, self.counters)
        await self.server.listen("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request, exchange):
        """Respond with the request target followed by the request body."""
        self.handled.append(request)
        await self.read_allowed.wait()
        parts = [request.target.encode()]
        try:
            while data := await request.body.read():
                parts.append(data)
        except Exception as exc:
            self.errors.append(exc)
            raise
        exchange.start(200, (), b"".join(parts), True)

    async def connect(self):
        """Return a new connection to the server."""
        caller = await RawCaller.connect(f"127.0.0.1:{self.server.port}")
        self.addAsyncCleanup(caller.close)
        return caller


class StopTest(CallerServerTestCase):
    """Guards against requests and responses that a planned stop cuts off."""

    async def test_response_that_is_not_received_yet_counts(self):
        """Guards against a stop after the handler has ended, before the caller reads.

        The rest of the response is only in the buffer of the connection then.
        """
        body = bytes(16 * 1024 * 1024)

        async def handle(request, exchange):
            exchange.start(200, (), body, True)

        self.server.handler = handle
        caller = await self.connect()
        caller.write(GET + b"\r\n")
        await eventually(lambda: self.server.unsent_bytes() > 0)
        self.server.start_draining()
        self.assertEqual(len((await caller.answer()).body), len(body))
        await eventually(lambda: self.server.unsent_bytes() == 0)

    async def test_request_that_was_not_read_yet_is_answered(self):
        """Guards against a reset for a request that arrived just before the stop."""
        caller = await self.connect()
        caller.write(GET + b"\r\n")
        await caller.answer()
        # This is sent at once, and the server cannot read it before it starts to drain.
        caller.write(GET + b"\r\n")
        self.server.start_draining()
        answer = await caller.answer()
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["connection"], "close")


class UnexpectedErrorTest(CallerServerTestCase):
    async def test_caller_gets_an_answer_and_the_server_goes_on(self):
        """Guards against a request that ends the process, or hangs, by an error."""

        async def fail(request, exchange):
            raise KeyError(request.target)

        handle, self.server.handler = self.server.handler, fail
        seen = []
        self.server.on_error = seen.append
        caller = await self.connect()
        caller.write(GET + b"\r\n")
        answer = await caller.answer()
        self.assertEqual((answer.status, answer.outcome), (500, "unknown"))
        self.assertEqual([type(error) for error in seen], [KeyError])
        self.server.handler = handle
        caller.write(GET + b"\r\n")
        self.assertEqual((await caller.answer()).status, 200)


class MalformedRequestTest(CallerServerTestCase):
    """Guards against request smuggling, crashes and ambiguous refusals."""

    async def check_refused(self, data, status=400):
        """Check that the bytes get one refusal and that the connection is closed."""
        caller = await self.connect()
        caller.write(data)
        answer = await caller.answer()
        self.assertEqual(answer.status, status)
        self.assertEqual(answer.headers["connection"], "close")
        self.assertEqual(answer.json()["outcome"], "not-run")
        self.assertEqual(await caller.read_until_closed(), b"")

    async def test_malformed_requests_are_refused(self):
        chunked = b"Transfer-Encoding: chunked\r\n"
        cases = [
            b"\x00\x01\x02\x03\r\n\r\n",
            b"GET /a HTTP/9.9\r\n\r\n",
            b"GET /a HTTP/1.1\r\n\r\n",
            GET + HOST + b"\r\n",
            b"GET a HTTP/1.1\r\n" + HOST + b"\r\n",
            b"GET /a#b HTTP/1.1\r\n" + HOST + b"\r\n",
            b"GET /\x7f HTTP/1.1\r\n" + HOST + b"\r\n",
            b"CONNECT a:1 HTTP/1.1\r\n" + HOST + b"\r\n",
            GET + b"Upgrade: h2c\r\nConnection: upgrade\r\n\r\n",
            GET + b"bad header\r\n\r\n",
            GET + b"a : b\r\n\r\n",
            GET + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
            GET + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
            GET + b"Content-Length: -1\r\n\r\n",
            GET + b"Content-Length: +1\r\n\r\nx",
            GET + b"Content-Length: 1, 1\r\n\r\nx",
            GET + b"Content-Length: 99999999999999999999999\r\n\r\n",
            GET + b"Content-Length: 3\r\n" + chunked + b"\r\n0\r\n\r\n",
            GET + chunked + b"Content-Length: 3\r\n\r\n0\r\n\r\n",
            GET + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            GET + b"Transfer-Encoding: identity\r\n\r\n",
            GET + chunked + chunked + b"\r\n0\r\n\r\n",
            b"POST /a HTTP/1.0\r\n" + chunked + b"\r\n0\r\n\r\n",
            GET + b"Expect: something\r\n\r\n",
        ]
        for data in cases:
            with self.subTest(data=data):
                await self.check_refused(data)
        self.assertEqual(self.handled, [])
        refused = self.counters.values["refusals", ("code", "bad-request")]
        self.assertEqual(refused, len(cases))

    async def test_headers_too_large(self):
        long_line = GET + b"X: " + b"x" * 40_000 + b"\r\n\r\n"
        many_lines = GET + b"X: 1\r\n" * 10_000 + b"\r\n"
        endless = GET + b"X: " + b"x" * 200_000
        long_target = b"GET /" + b"a" * 40_000 + b" HTTP/1.1\r\n" + HOST + b"\r\n"
        for data in (long_line, many_lines, endless, long_target):
            with self.subTest(data=data[:40]):
                caller = await self.connect()
                caller.write(data)
                answer = await caller.answer()
                self.assertEqual(answer.status, 431)
                self.assertEqual(answer.code, "headers-too-large")

    async def test_bytes_without_end_are_refused(self):
        """Guards against bytes that the parser keeps or skips without a limit.

        A parser library keeps a trailer line until it ends, so one connection could
        use all memory of the daemon.
        """
        head = b"POST /a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"2\r\nok\r\n"
        cases = {
            "trailer line": (head + chunk + b"0\r\nx: ", b"a" * 4096),
            "trailer lines": (head + chunk + b"0\r\n", b"x: 1\r\n" * 700),
            "chunk extension": (head + chunk + b"1;x=", b"a" * 4096),
            "line ends": (b"", b"\r\n" * 2048),
        }
        for name, (start, repeated) in cases.items():
            with self.subTest(name):
                caller = await self.connect()
                caller.write(start)
                answer = asyncio.create_task(caller.answer())
                sent = 0
                while not answer.done():
                    self.assertLess(sent, 64 * len(repeated))
                    caller.write(repeated)
                    await asyncio.wait((answer,), timeout=0.01)
                    sent += len(repeated)
                self.assertEqual((await answer).status, 431)
                self.assertEqual(await caller.read_until_closed(), b"")
        self.assertEqual(
            self.counters.values["caller_input_errors", ("code", "headers-too-large")],
            len(cases),
        )

    async def test_caller_that_goes_on_sending_is_cut_off(self):
        """Guards against a connection that stays open as long as bytes arrive."""
        caller = await self.connect()
        caller.write(b"broken\r\n\r\n")
        self.assertEqual((await caller.answer()).status, 400)
        with self.assertRaises(ConnectionError):
            for _ in range(4 * MAX_DISCARDED_BYTES // 65536):
                caller.writer.write(bytes(65536))
                await caller.writer.drain()
                await asyncio.sleep(0.001)

    async def test_framing_of_many_chunks_is_no_surplus(self):
        """Guards against a permitted body that is refused for its chunks or pipelining.

        Each chunk has 5 bytes of framing, more than the limit of other bytes in all.
        """
        caller = await self.connect()
        body = b"1\r\nx\r\n" * 20_000
        head = b"POST /a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        caller.write(head + body + b"0\r\n\r\n" + (GET + b"\r\n") * 10)
        self.assertEqual(len((await caller.answer()).body), 20_002)
        for _ in range(10):
            self.assertEqual((await caller.answer()).status, 200)

    async def test_body_limit_holds_for_chunks(self):
        """Guards against a body limit that only a stated length is checked against."""
        self.server.set_limits(ConnectionLimits(max_body_bytes=1000))
        caller = await self.connect()
        head = b"POST /a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        caller.write(head + b"3e8\r\n" + bytes(1000) + b"\r\n0\r\n\r\n")
        self.assertEqual((await caller.answer()).status, 200)
        self.server.set_limits(ConnectionLimits(max_body_bytes=999))
        caller.write(head + b"3e8\r\n" + bytes(1000) + b"\r\n0\r\n\r\n")
        self.assertEqual((await caller.answer()).status, 413)

    async def test_trailer_fields_are_ignored(self):
        caller = await self.connect()
        caller.write(b"POST /a HTTP/1.1\r\n" + HOST)
        caller.write(b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n")
        caller.write(b"Idempotency-Key: forged\r\nX-Late: 1\r\n\r\n")
        self.assertEqual((await caller.answer()).body, b"/aok")
        (request,) = self.handled
        self.assertEqual((request.key, len(request.headers)), ("", 1))

    async def test_invalid_chunk_fails_the_request_body(self):
        caller = await self.connect()
        caller.write(b"POST /a HTTP/1.1\r\n" + HOST)
        caller.write(b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n")
        await caller.read_until_closed()
        self.assertEqual(len(self.errors), 1)

    async def test_request_after_a_malformed_one_is_not_handled(self):
        caller = await self.connect()
        caller.write(GET + b"\r\n" + b"broken\r\n\r\n" + GET + b"\r\n")
        self.assertEqual((await caller.answer()).status, 200)
        self.assertEqual((await caller.answer()).status, 400)
        await caller.read_until_closed()
        self.assertEqual(len(self.handled), 1)


class ConnectionTest(CallerServerTestCase):
    """Guards against responses out of order and unbounded memory per connection."""

    async def test_pipelined_bodies_are_not_mixed(self):
        caller = await self.connect()
        for number in range(50):
            caller.send("POST", f"/{number}-", (), b"x" * number)
        for number in range(50):
            answer = await caller.answer()
            self.assertEqual(answer.body, b"/%d-" % number + b"x" * number)

    async def test_request_received_byte_by_byte(self):
        caller = await self.connect()
        data = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz"
        for index in range(len(data)):
            caller.write(data[index : index + 1])
            await caller.writer.drain()
            await asyncio.sleep(0)
        self.assertEqual((await caller.answer()).body, b"/axyz")

    async def test_reading_pauses_while_a_body_is_not_consumed(self):
        self.read_allowed.clear()
        caller = await self.connect()
        size = 8 * 1024 * 1024
        caller.send("POST", "/a", (), bytes(size))
        await eventually(lambda: self.handled)
        (connection,) = self.server.connections
        await eventually(lambda: connection.read_paused)
        self.assertLess(self.handled[0].body.size, 1024 * 1024)
        self.read_allowed.set()
        self.assertEqual(len((await caller.answer()).body), size + 2)

    async def test_caller_that_reads_no_responses_is_paused(self):
        async def handle(request, exchange):
            self.handled.append(request)
            exchange.start(200, (), answer, True)

        answer = bytes(256 * 1024)
        count = 200
        self.server.handler = handle
        caller = await self.connect()
        for _ in range(count):
            caller.send("GET", "/a")
        await eventually(lambda: self.server.connections)
        (connection,) = self.server.connections
        await eventually(lambda: connection.write_paused)
        self.assertLess(len(self.handled), count)
        buffered = connection.transport.get_write_buffer_size()
        self.assertLess(buffered, 2 * len(answer))
        for _ in range(count):
            self.assertEqual(len((await caller.answer()).body), len(answer))

    async def test_disconnected_caller_fails_the_body(self):
        caller = await self.connect()
        caller.write(b"POST /a HTTP/1.1\r\n" + HOST + b"Content-Length: 9\r\n\r\nxy")
        await eventually(lambda: self.handled)
        await caller.close()
        await eventually(lambda: not self.server.connections)
        self.assertFalse(self.handled[0].body.exhausted)

    async def test_continue_is_sent_when_it_is_expected(self):
        async def handle(request, exchange):
            exchange.send_continue()
            body = await request.body.read()
            exchange.start(200, (), body, True)

        self.server.handler = handle
        caller = await self.connect()
        caller.write(b"PUT /a HTTP/1.1\r\n" + HOST + b"Expect: 100-continue\r\n")
        caller.write(b"Content-Length: 2\r\n\r\n")
        head = await caller.reader.readuntil(b"\r\n\r\n")
        self.assertEqual(head, b"HTTP/1.1 100 Continue\r\n\r\n")
        caller.write(b"ok")
        self.assertEqual((await caller.answer()).body, b"ok")

    async def test_http10_and_connection_close_end_the_connection(self):
        for data in (
            b"GET /a HTTP/1.0\r\n\r\n",
            GET + b"Connection: close\r\n\r\n",
        ):
            caller = await self.connect()
            caller.write(data)
            answer = await caller.answer()
            self.assertEqual(answer.headers["connection"], "close")
            self.assertEqual(await caller.read_until_closed(), b"")

    async def test_overdue_connections_are_closed(self):
        idle = await self.connect()
        slow = await self.connect()
        slow.write(b"GET /a HT")
        await eventually(lambda: len(self.server.connections) == 2)
        connections = self.server.connections
        await eventually(lambda: any(c.parser.in_head for c in connections))
        now = asyncio.get_running_loop().time()
        for connection in tuple(self.server.connections):
            connection.close_if_overdue(now + 20.0)
        self.assertEqual(await slow.read_until_closed(), b"")
        await idle.call("GET", "/a")
        self.assertEqual(self.counters.total("caller_connections_timed_out"), 1)

    async def test_incomplete_response_closes_the_connection(self):
        async def handle(request, exchange):
            exchange.start(200, ((b"content-length", b"10"),), b"half")

        self.server.handler = handle
        caller = await self.connect()
        caller.write(GET + b"\r\n")
        with self.assertRaises((EOFError, ConnectionError)):
            await caller.answer()


if __name__ == "__main__":
    unittest.main()
