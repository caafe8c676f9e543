"""Fixtures for tests of links."""

import asyncio
import unittest

from goldcresthoist.links import LinkServer, open_link
from goldcresthoist.links.frames import LoadReport, Open
from goldcresthoist.tests.cluster import STEP_TIMEOUT_S
from goldcresthoist.tests.fakes import PlainCounters

__all__ = ["KEY", "LinkTestCase", "RecordingService", "make_open"]

KEY = b"k" * 32


class RecordingService:
    """A service that records its calls; the tests respond to them."""

    def __init__(self):
        self.draining = False
        self.calls = []
        self.suspects = []
        self.cancelled = 0
        self.arrived = asyncio.Event()

    def load_report(self):
        """Return a load report with fixed values that tests can compare."""
        return LoadReport(3, 1, 12, 2.5, self.draining)

    def load_for_pong(self):
        """Return the load, as a daemon with unlimited measuring budget does."""
        return self.load_report()

    def add_suspect(self, fingerprint, count, instance):
        """Record a crash suspect."""
        self.suspects.append((fingerprint, count, instance))

    def begin(self, call):
        """Do nothing; `serve` handles every call."""

    async def serve(self, call):
        """Record the call, then wait until it is cancelled."""
        self.calls.append(call)
        self.arrived.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


def make_open(call_id, body=b"", end=True):
    """Return an `Open` message with a request for ``/items``."""
    return Open(
        call_id,
        "lookup",
        "read",
        "GET",
        "/items",
        ((b"host", b"a"),),
        1_000_000,
        "",
        b"f" * 16,
        0,
        body,
        end,
    )


class LinkTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a `LinkServer` and links to it."""

    async def asyncSetUp(self):
        self.counters = PlainCounters()
        self.service = RecordingService()
        self.loads = []
        self.server = LinkServer("lookup-1", KEY, self.service, self.counters)
        await self.server.listen("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close)

    async def open_link(self, key=KEY, peer="lookup-1"):
        """Open a link to the server, as the daemon ``front-1``."""
        link = await open_link(
            "127.0.0.1",
            self.server.port,
            "front-1",
            peer,
            key,
            self.counters,
            self.loads.append,
        )
        self.addCleanup(link.close, "test-end")
        return link

    async def open_call(self, **changes):
        """Return a link and both ends of a call on it."""
        link = await self.open_link()
        outgoing = link.call(lambda call_id: make_open(call_id, **changes))
        await asyncio.wait_for(self.service.arrived.wait(), STEP_TIMEOUT_S)
        return link, outgoing, self.service.calls[-1]
