"""Fixtures for the tests of operations and uploads."""

import asyncio
import hashlib

from goldcresthoist.operations import OperationLedger, UploadReceiver
from goldcresthoist.tests.fake_platform import FakeObjects, FakeTable, Host

__all__ = ["Daemon", "Platform", "chunks_of", "deadline_in", "sha256_of"]


class Platform:
    """A fake table and a fake object store, shared by any number of daemons."""

    def __init__(self):
        self.table = FakeTable()
        self.objects = FakeObjects()

    def daemon(self, name="daemon-1", **receiver):
        """Create a daemon; the keyword arguments are those of `UploadReceiver`."""
        return Daemon(self, name, **receiver)


class Daemon:
    """The operation ledger and the upload receiver of one daemon."""

    def __init__(self, platform, name, **receiver):
        self.host = Host(name)
        self.table = platform.table.client(self.host)
        self.objects = platform.objects.client(self.host)
        self.ledger = OperationLedger(self.table, self.objects)
        self.receiver = UploadReceiver(self.ledger, **receiver)

    @property
    def name(self):
        """Name of the daemon, used as the owner in operation records."""
        return self.host.name


def deadline_in(seconds=5.0):
    """Return a deadline on the clock of the running event loop."""
    return asyncio.get_running_loop().time() + seconds


async def chunks_of(data, size=1 << 16, then=None):
    """Iterate over data in chunks, then raise `then` unless it is None."""
    for start in range(0, len(data), size):
        yield data[start : start + size]
    if then is not None:
        raise then


def sha256_of(data):
    """Return the SHA-256 digest in hex."""
    return hashlib.sha256(data).hexdigest()
