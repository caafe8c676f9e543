"""In-process table and object store with faults; event loop on virtual time."""

import asyncio
import selectors
import unittest

from goldcresthoist.objects import ObjectMissing, ObjectsUnavailable
from goldcresthoist.table import (
    Absent,
    Always,
    ConditionFailed,
    Equals,
    OutcomeUnknown,
    TableUnavailable,
)

__all__ = ["FakeObjects", "FakeTable", "Host", "VirtualTimeLoop", "VirtualTimeTestCase"]


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the virtual time instead of waiting for a timer."""

    now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            return super().select(None)
        events = super().select(0)
        if not events:
            self.now += timeout
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time: timers fire in order, without real delays."""

    def __init__(self):
        self.virtual_time = _VirtualTimeSelector()
        super().__init__(self.virtual_time)

    def time(self):
        """Return the virtual time in seconds."""
        return self.virtual_time.now


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case on virtual time; its result does not depend on the machine's speed."""

    def _setupAsyncioRunner(self):
        # unittest of Python 3.11 has no public way to choose the loop.
        self._asyncioRunner = asyncio.Runner(loop_factory=VirtualTimeLoop)


class Host:
    """A simulated process that a fake client runs in; it can be paused and killed.

    Attributes
    ----------
    faults : list of str
        Faults of the next table writes, in order. None of these writes gets a
        response, so each raises `OutcomeUnknown`: ``"lose"`` takes effect, ``"late"``
        takes effect at the next `FakeTable.release`, ``"vanish"`` has no effect, and
        ``"lose-and-pause"`` takes effect and pauses the process.
    """

    def __init__(self, name):
        self.name = name
        self.dead = False
        self.faults = []
        self.running = asyncio.Event()
        self.running.set()

    async def checkpoint(self):
        """Yield, and wait while the process is paused; never return after a kill."""
        await asyncio.sleep(0)
        while not self.running.is_set():
            await self.running.wait()
        if self.dead:
            await asyncio.get_running_loop().create_future()


class FakeTable:
    """Items by (partition, sort key), with faults.

    Attributes
    ----------
    down : bool
        Whether all calls fail without effect.
    slow_s : float
        Duration of each call in seconds.
    faults : list of str
        As `Host.faults`, for the next writes of hosts without faults of their own.
    on_write : callable or None
        Called with each `Put` that takes effect.
    held_writes : list of callable
        Writes with the fault ``"late"`` that have not taken effect yet.
    """

    def __init__(self):
        self.items = {}
        self.down = False
        self.slow_s = 0
        self.faults = []
        self.held_writes = []
        self.on_write = None

    def client(self, host):
        """Return a client with the interface of `TableClient`."""
        return FakeTableClient(self, host)

    def release(self):
        """Apply the held writes in order, except those whose condition fails."""
        held_writes, self.held_writes = self.held_writes, []
        for change in held_writes:
            try:
                change()
            except ConditionFailed:
                pass

    def holds(self, key, condition):
        """Return whether a condition holds for the stored item of a key."""
        item = self.items.get((key.partition, key.sort))
        match condition:
            case Always():
                return True
            case Absent():
                return item is None
            case Equals(attribute, value):
                return item is not None and item.get(attribute) == value

    def put_all(self, puts):
        """Write all items, or raise `ConditionFailed` and write none."""
        if not all(self.holds(put.key, put.condition) for put in puts):
            raise ConditionFailed("fake table")
        for put in puts:
            key = put.key
            key_attributes = {"pk": key.partition, "sk": key.sort}
            self.items[key.partition, key.sort] = put.item | key_attributes
            if self.on_write is not None:
                self.on_write(put)

    def remove(self, key, condition):
        """Delete one item, or raise `ConditionFailed`."""
        if not self.holds(key, condition):
            raise ConditionFailed("fake table")
        self.items.pop((key.partition, key.sort), None)


class FakeTableClient:
    """Calls a fake table from one host."""

    def __init__(self, table, host):
        self.table = table
        self.host = host

    async def get(self, key):
        """Behave as `TableClient.get`."""
        await self._begin_call()
        item = self.table.items.get((key.partition, key.sort))
        item = dict(item) if item else None
        await self.host.checkpoint()
        return item

    async def query(self, partition, prefix="", limit=100, after=""):
        """Behave as `TableClient.query`."""
        await self._begin_call()
        keys = sorted(
            key
            for key in self.table.items
            if key[0] == partition and key[1].startswith(prefix) and key[1] > after
        )
        found = [dict(self.table.items[key]) for key in keys[:limit]]
        await self.host.checkpoint()
        return found

    async def put(self, put):
        """Behave as `TableClient.put`."""
        await self._write(lambda: self.table.put_all([put]))

    async def transact(self, puts):
        """Behave as `TableClient.transact`."""
        await self._write(lambda: self.table.put_all(puts))

    async def delete(self, key, condition):
        """Behave as `TableClient.delete`."""
        await self._write(lambda: self.table.remove(key, condition))

    async def _begin_call(self):
        await self.host.checkpoint()
        if self.table.slow_s:
            await asyncio.sleep(self.table.slow_s)
        if self.table.down:
            raise TableUnavailable("fake table is down")

    async def _write(self, change):
        await self._begin_call()
        queue = self.host.faults or self.table.faults
        fault = queue.pop(0) if queue else None
        refusal = None
        if fault == "late":
            self.table.held_writes.append(change)
        elif fault != "vanish":
            try:
                change()
            except ConditionFailed as exc:
                refusal = exc
        if fault == "lose-and-pause":
            self.host.running.clear()
        await self.host.checkpoint()
        if fault is not None:
            raise OutcomeUnknown(f"fake table: {fault}")
        if refusal is not None:
            raise refusal


class FakeObjects:
    """Objects by name; all calls fail while `down` is true."""

    def __init__(self):
        self.objects = {}
        self.down = False

    def client(self, host):
        """Return a client with the interface of `ObjectClient`."""
        return FakeObjectClient(self, host)


class FakeObjectClient:
    """Calls a fake object store from one host."""

    def __init__(self, store, host):
        self.store = store
        self.host = host

    async def put(self, name, data):
        """Behave as `ObjectClient.put`."""
        await self._begin_call()
        self.store.objects[name] = bytes(data)
        await self.host.checkpoint()

    async def get(self, name):
        """Behave as `ObjectClient.get`."""
        await self._begin_call()
        if name not in self.store.objects:
            raise ObjectMissing(name)
        return self.store.objects[name]

    async def stream(self, name):
        """Behave as `ObjectClient.stream`, in pieces of 3 bytes."""
        data = await self.get(name)
        for start in range(0, len(data), 3):
            yield data[start : start + 3]

    async def delete(self, name):
        """Behave as `ObjectClient.delete`."""
        await self._begin_call()
        self.store.objects.pop(name, None)

    async def list(self, prefix):
        """Behave as `ObjectClient.list`."""
        await self._begin_call()
        return sorted(name for name in self.store.objects if name.startswith(prefix))

    async def _begin_call(self):
        await self.host.checkpoint()
        if self.store.down:
            raise ObjectsUnavailable("fake object store is down")
