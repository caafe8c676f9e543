"""Builders for tests of operations and uploads."""

import asyncio
import hashlib

from goldcresthoist.operations import OperationLedger, UploadReceiver
from goldcresthoist.tests.fake_platform import FakeObjects, FakeTable, Host

__all__ = ["Daemon", "Platform", "chunks_of", "deadline_in", "sha256_of"]


class Platform:
    """A fake table and object store, and daemons that use them."""

    def __init__(self):
        self.table = FakeTable()
        self.objects = FakeObjects()

    def daemon(self, name="daemon-1", **receiver):
        """Return a new daemon."""
        return Daemon(self, name, **receiver)


class Daemon:
    """The parts of one daemon that this package is about."""

    def __init__(self, platform, name, **receiver):
        self.host = Host(name)
        self.table = platform.table.client(self.host)
        self.objects = platform.objects.client(self.host)
        self.ledger = OperationLedger(self.table, self.objects)
        self.receiver = UploadReceiver(self.ledger, **receiver)

    @property
    def name(self):
        """Name of the owner in records."""
        return self.host.name


def deadline_in(seconds=5.0):
    """Return a deadline of the running loop's clock."""
    return asyncio.get_running_loop().time() + seconds


async def chunks_of(data, size=1 << 16, then=None):
    """Iterate over data in chunks, then raise an exception if one is given."""
    for start in range(0, len(data), size):
        yield data[start : start + size]
    if then is not None:
        raise then


def sha256_of(data):
    """Return the SHA-256 in hex."""
    return hashlib.sha256(data).hexdigest()
