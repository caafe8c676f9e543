"""Tests of the connection pool and the encoding of requests."""

import asyncio
import unittest

from goldcresthoist.links.frames import Open
from goldcresthoist.tests.cluster import STEP_TIMEOUT_S, eventually
from goldcresthoist.upstreams import (
    ConnectionLimitReached,
    ConnectionPool,
    RequestWriter,
    UpstreamBroken,
    UpstreamUnreachable,
)
from goldcresthoist.upstreams.connection import MAX_UNREAD_BODY_BYTES

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def make_open(headers=(), body=b"", end=True, method="PUT"):
    """Return an `Open` message with these headers and this body."""
    return Open(1, "s", "w", method, "/", headers, 1, "", b"", 0, body, end)


class PoolCase(unittest.IsolatedAsyncioTestCase):
    """Provides a TCP server whose responses the tests write as raw bytes."""

    async def asyncSetUp(self):
        self.writers = asyncio.Queue()
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.pool = ConnectionPool("127.0.0.1", port)
        self.open_writers = []
        self.readers = set()
        self.addAsyncCleanup(self.end_readers)
        self.addAsyncCleanup(self.pool.close)

    async def accept(self, reader, writer):
        """Queue the writer of a connection for each request received on it."""
        self.open_writers.append(writer)
        self.readers.add(asyncio.current_task())
        while await reader.read(65536):
            self.writers.put_nowait(writer)
        writer.close()

    async def start_exchange(self):
        """Send a request; return the connection and the server's writer."""
        connection = self.pool.acquire_idle() or await self.pool.acquire()
        connection.send(REQUEST, False)
        return connection, await asyncio.wait_for(self.writers.get(), STEP_TIMEOUT_S)

    async def end_readers(self):
        """Close the server and wait for the tasks that read from connections."""
        self.end_upstream()
        await asyncio.gather(*self.readers, return_exceptions=True)

    def end_upstream(self):
        """Close the listener and every connection, as a crash does."""
        self.server.close()
        for writer in self.open_writers:
            writer.transport.abort()


class ReuseTest(PoolCase):
    """Guards against a response that is taken for that of another request.

    This happens when a connection is reused although bytes of an earlier exchange may
    still arrive on it, or when the end of a response is not clear.
    """

    async def test_complete_exchange_is_reused(self):
        """Guards against a new connection for each request."""
        connection, writer = await self.start_exchange()
        writer.write(OK)
        answer = await connection.head()
        self.assertEqual((answer.status, await answer.body.read()), (200, b"ok"))
        self.pool.release(connection)
        self.assertIn(connection, self.pool.idle)

    async def test_unexpected_bytes_end_the_connection(self):
        """Guards against bytes that arrive between two requests."""
        connection, writer = await self.start_exchange()
        writer.write(OK)
        await connection.head()
        self.pool.release(connection)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged")
        await eventually(lambda: connection.closed)
        self.assertNotIn(connection, self.pool.idle)

    async def test_unread_bytes_prevent_reuse(self):
        """Guards against such bytes that are still in the socket's receive buffer."""
        connection, writer = await self.start_exchange()
        writer.write(OK)
        await connection.head()
        self.pool.release(connection)
        # With reading paused, the event loop does not read the bytes before the next
        # acquire.
        connection.transport.pause_reading()
        writer.write(b"surplus")
        await writer.drain()
        await eventually(lambda: not connection.is_clean())
        self.pool.idle[:] = [connection]
        self.assertIsNone(self.pool.acquire_idle())

    async def test_cancelled_exchange_is_closed(self):
        """Guards against the late response to a request that was cancelled."""
        connection, writer = await self.start_exchange()
        self.pool.release(connection)
        await eventually(lambda: connection.closed)
        self.assertNotIn(connection, self.pool.idle)

    async def test_malformed_or_ambiguous_responses(self):
        """Guards against responses whose end or whose meaning is not clear."""
        head = b"HTTP/1.1 200 OK\r\n"
        for data in (
            b"not http\r\n\r\n",
            head + b"\r\nuntil close",
            head + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
            head + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
            head + b"Transfer-Encoding: gzip\r\n\r\n",
            head + b"X: " + b"x" * 100_000,
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        ):
            with self.subTest(data=data[:60]):
                connection, writer = await self.start_exchange()
                writer.write(data)
                with self.assertRaises(UpstreamBroken):
                    await asyncio.wait_for(connection.head(), STEP_TIMEOUT_S)
                self.pool.release(connection)
                self.assertNotIn(connection, self.pool.idle)

    async def test_bytes_without_end_fail_the_exchange(self):
        """Guards against bytes that the parser keeps or skips without a limit."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
        cases = {
            "header line": (b"HTTP/1.1 200 OK\r\nx: ", b"a" * 4096),
            "header lines": (b"HTTP/1.1 200 OK\r\n", b"x: 1\r\n" * 700),
            "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 200),
            "line ends": (b"", b"\r\n" * 2048),
            "trailer line": (head + b"0\r\nx: ", b"a" * 4096),
            "trailer lines": (head + b"0\r\n", b"x: 1\r\n" * 700),
            "chunk extension": (head + b"1;x=", b"a" * 4096),
        }
        for name, (start, repeated) in cases.items():
            with self.subTest(name):
                connection, writer = await self.start_exchange()
                writer.write(start)
                for _ in range(64):
                    writer.write(repeated)
                    await asyncio.sleep(0.001)
                await eventually(lambda: connection.closed)
                with self.assertRaises(UpstreamBroken):
                    answer = await connection.head()
                    while await answer.body.read():
                        pass
                self.pool.release(connection)

    async def test_surplus_bytes_do_not_spoil_a_complete_response(self):
        """Guards against a response that is lost because a long second copy follows."""
        connection, writer = await self.start_exchange()
        second = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + bytes(60_000)
        writer.write(OK + second)
        answer = await connection.head()
        self.assertEqual(await answer.body.read(), b"ok")
        self.assertTrue(answer.body.exhausted)
        self.pool.release(connection)
        self.assertNotIn(connection, self.pool.idle)

    async def test_connection_with_an_unread_body_reads_on(self):
        """Guards against a connection that stays paused after a body was not read."""
        connection, writer = await self.start_exchange()
        size = 2 * MAX_UNREAD_BODY_BYTES
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        writer.write(bytes(size))
        answer = await connection.head()
        while not answer.body.ended:
            # Reading resumes when half of the body was consumed, and stops again.
            if answer.body.size > MAX_UNREAD_BODY_BYTES:
                await answer.body.read()
            await asyncio.sleep(0)
        self.pool.release(connection)
        again, writer = await self.start_exchange()
        self.assertIs(again, connection)
        writer.write(OK)
        self.assertEqual((await asyncio.wait_for(again.head(), 5)).status, 200)

    async def test_interim_response_is_skipped(self):
        """Guards against a 1xx response that is taken for the final one."""
        connection, writer = await self.start_exchange()
        writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK)
        answer = await connection.head()
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers, [(b"content-length", b"2")])

    async def test_trailer_fields_are_dropped(self):
        """Guards against trailer fields that are added to the headers."""
        connection, writer = await self.start_exchange()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"2\r\nok\r\n0\r\nSet-Cookie: forged\r\n\r\n")
        answer = await connection.head()
        self.assertEqual(await answer.body.read(), b"ok")
        await eventually(lambda: answer.body.ended)
        self.assertEqual(answer.headers, [(b"transfer-encoding", b"chunked")])
        self.pool.release(connection)
        self.assertIn(connection, self.pool.idle)

    async def test_connection_close_prevents_reuse(self):
        """Guards against a request on a connection that the upstream closes."""
        connection, writer = await self.start_exchange()
        writer.write(OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        await connection.head()
        self.pool.release(connection)
        self.assertNotIn(connection, self.pool.idle)

    async def test_truncated_body_is_an_error(self):
        """Guards against a truncated body that is passed on as complete."""
        connection, writer = await self.start_exchange()
        writer.write(OK[:-1])
        answer = await connection.head()
        writer.close()
        with self.assertRaises(UpstreamBroken):
            while await answer.body.read():
                pass


class CrashTest(PoolCase):
    """Guards against missed crashes, and closed connections reported as crashes."""

    async def test_loss_of_all_connections_is_a_crash(self):
        """Guards against a crash reported as a broken connection.

        The listener and all connections end at once, as when the process ends.
        """
        connection, _ = await self.start_exchange()
        await eventually(lambda: len(self.open_writers) > 1)
        self.end_upstream()
        await eventually(lambda: connection.closed)
        self.assertTrue(connection.closed_by_peer)
        self.assertTrue(await self.pool.crashed(connection))

    async def test_loss_of_one_connection_is_no_crash(self):
        """Guards against a request that counts as the cause of a crash.

        The upstream ended only its connection and accepts others.
        """
        connection, writer = await self.start_exchange()
        writer.transport.abort()
        await eventually(lambda: connection.closed)
        self.assertFalse(await self.pool.crashed(connection))

    async def test_unreachable_upstream(self):
        """Guards against a refused connection that raises another error."""
        self.end_upstream()
        await self.server.wait_closed()
        with self.assertRaises(UpstreamUnreachable):
            await self.pool.acquire()

    async def test_full_pool_is_no_crash(self):
        """Guards against a request blamed for a crash when no connection is free.

        The connection that was lost is older than the other one, so that only a new one
        would show that the upstream is up.
        """
        self.pool.limit = 1
        connection, writer = await self.start_exchange()
        writer.transport.abort()
        await eventually(lambda: connection.closed)
        await self.pool.acquire()
        self.assertFalse(await self.pool.crashed(connection))
        with self.assertRaises(ConnectionLimitReached):
            await self.pool.acquire()
        self.assertFalse(self.pool.down)

    async def test_connections_are_limited(self):
        """Guards against more connections than the limit."""
        self.pool.limit = 2
        await self.pool.acquire()
        await self.pool.acquire()
        with self.assertRaises(UpstreamUnreachable):
            await self.pool.acquire()


class RequestWriterTest(unittest.TestCase):
    """Guards against bodies whose length differs from the one that is sent."""

    def test_surplus_and_missing_bytes(self):
        """Guards against a body that is longer or shorter than its Content-Length.

        The upstream would parse surplus bytes as the next request.
        """
        length = ((b"content-length", b"3"),)
        for call in (make_open(length, b"1234"), make_open(length, b"12")):
            with self.assertRaises(UpstreamBroken):
                RequestWriter(call, 1).start()

    def test_unknown_length_is_chunked(self):
        """Guards against a body without a length and without chunked coding."""
        writer = RequestWriter(make_open((), b"ab", end=False), 1)
        self.assertTrue(writer.start().endswith(b"chunked\r\n\r\n2\r\nab\r\n"))
        self.assertEqual(writer.frame(b"c"), b"1\r\nc\r\n")
        self.assertEqual(writer.finish(), b"0\r\n\r\n")

    def test_known_length_is_sent(self):
        """Guards against a complete body that is sent without its length."""
        data = RequestWriter(make_open((), b"ab"), 1).start()
        self.assertIn(b"content-length: 2\r\n", data)


if __name__ == "__main__":
    unittest.main()
