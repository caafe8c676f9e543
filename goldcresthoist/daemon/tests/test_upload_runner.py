"""Tests of uploads whose stored body cannot be sent to the upstream."""

import asyncio
import unittest
from types import SimpleNamespace

from goldcresthoist.daemon.upload_runner import UploadRunner
from goldcresthoist.links.frames import Open
from goldcresthoist.objects import ObjectsError
from goldcresthoist.operations import MissingPart
from goldcresthoist.table import TableError
from goldcresthoist.tests.cluster import eventually
from goldcresthoist.upstreams import ConnectionPool, UpstreamError

LENGTH = 100_000


class FakeReceiver:
    """Stands in for `UploadReceiver`; the body fails after its first half."""

    def __init__(self, error):
        self.error = error

    async def body(self, token):
        """Iterate over the stored body."""
        yield bytes(LENGTH // 2)
        raise self.error


class FakeRecords:
    """Stands in for `OperationRecords` and records the calls."""

    def __init__(self):
        self.released = []
        self.unknown = []

    async def release(self, token):
        """Record that the operation has not run."""
        self.released.append(token)

    async def finish_unknown(self, token):
        """Record that it is unknown whether the operation has run."""
        self.unknown.append(token)


class FakeCall:
    """Has the interface of `UpstreamCall` that the runner uses."""

    def __init__(self, connection):
        message = Open(1, "desk", "up", "PUT", "/", (), 1, "k", b"", 0, b"", True)
        self.call = SimpleNamespace(open=message, refuse=self._refuse)
        self.connection = connection
        self.deadline = asyncio.get_running_loop().time() + 10.0
        self.server = SimpleNamespace(active_calls=set(), load_report=lambda: None)
        self.sender = None
        self.refused = []

    def _refuse(self, code, *_):
        self.refused.append(code)


class UploadRunnerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = await asyncio.start_server(self._read, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.received = 0
        self.readers = []
        self.addAsyncCleanup(self._wait_for_readers)
        port = self.server.sockets[0].getsockname()[1]
        self.pool = ConnectionPool("127.0.0.1", port)
        self.addAsyncCleanup(self.pool.close)

    async def _wait_for_readers(self):
        await asyncio.gather(*self.readers)

    async def _read(self, reader, writer):
        self.readers.append(asyncio.current_task())
        try:
            while data := await reader.read(65536):
                self.received += len(data)
        except ConnectionError:
            # The pool aborts the connection of a request that it cannot complete.
            pass
        writer.close()

    async def test_body_that_cannot_be_read_is_reported_as_not_run(self):
        """Guards against an upload that hangs, or is unknown, when its body fails.

        The upstream has received fewer bytes than the request states, so that it has
        not run, and the connection must not be used again.
        """
        token = SimpleNamespace(upload=SimpleNamespace(length=LENGTH))
        for error in (MissingPart("gone"), TableError("down"), ObjectsError("down")):
            with self.subTest(error=error):
                records = FakeRecords()
                runner = UploadRunner("desk", self.pool, records, FakeReceiver(error))
                call = FakeCall(await self.pool.acquire())
                with self.assertRaises(UpstreamError) as caught:
                    async with asyncio.timeout(10.0):
                        await runner.send(call, token)
                await runner.on_failure(call, token, caught.exception)
                self.assertEqual(records.released, [token])
                self.assertEqual(records.unknown, [])
                self.assertEqual(call.refused, ["store-unavailable"])
                self.pool.release(call.connection)
                self.assertNotIn(call.connection, self.pool.idle)
                await eventually(lambda: call.connection.closed)
        self.assertLess(self.received, 3 * LENGTH)
