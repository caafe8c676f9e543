"""Table and object store in this process, with faults, on virtual time."""

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


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the loop's time instead of waiting for a timer."""

    now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            return super().select(None)
        events = super().select(0)
        if not events:
            self.now += timeout
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers fire at once, in order."""

    def __init__(self):
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self):
        """Return the virtual time in seconds."""
        return self.jumping.now


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case whose verdict does not depend on how fast the machine is."""

    def _setupAsyncioRunner(self):
        # unittest of Python 3.11 has no public way to choose the loop.
        self._asyncioRunner = asyncio.Runner(loop_factory=VirtualTimeLoop)


class Host:
    """The process that a fake client runs in; it can be paused and killed.

    Attributes
    ----------
    faults : list of str
        For the next table writes, in order: ``"lose"`` takes effect and is not
        answered, ``"late"`` is held until `FakeTable.release` and not answered,
        ``"vanish"`` has no effect and is not answered; ``"lose-and-pause"`` is as
        ``"lose"`` and pauses the host.
    """

    def __init__(self, name):
        self.name = name
        self.dead = False
        self.faults = []
        self.running = asyncio.Event()
        self.running.set()

    async def step(self):
        """Pass a point where the process may stand still or end."""
        await asyncio.sleep(0)
        while not self.running.is_set():
            await self.running.wait()
        if self.dead:
            await asyncio.get_running_loop().create_future()


class FakeTable:
    """Items by (partition, sort), and faults.

    Attributes
    ----------
    down : bool
        Refuse all calls without effect.
    slow_s : float
        Time of each call.
    faults : list of str
        As `Host.faults`, for the next writes of hosts that have none of their own.
    on_write : callable or None
        Called with each `Put` that takes effect.
    """

    def __init__(self):
        self.items = {}
        self.down = False
        self.slow_s = 0
        self.faults = []
        self.held = []
        self.on_write = None

    def client(self, host):
        """Return a client with the interface of `TableClient`."""
        return FakeTableClient(self, host)

    def release(self):
        """Let the held writes take effect in order."""
        held, self.held = self.held, []
        for change in held:
            try:
                change()
            except ConditionFailed:
                pass

    def holds(self, key, condition):
        """Return whether a condition holds now."""
        item = self.items.get((key.partition, key.sort))
        match condition:
            case Always():
                return True
            case Absent():
                return item is None
            case Equals(attribute, value):
                return item is not None and item.get(attribute) == value

    def put_all(self, puts):
        """Write all items or none."""
        if not all(self.holds(put.key, put.condition) for put in puts):
            raise ConditionFailed("fake table")
        for put in puts:
            key = put.key
            place = {"pk": key.partition, "sk": key.sort}
            self.items[key.partition, key.sort] = put.item | place
            if self.on_write is not None:
                self.on_write(put)

    def remove(self, key, condition):
        """Delete one item."""
        if not self.holds(key, condition):
            raise ConditionFailed("fake table")
        self.items.pop((key.partition, key.sort), None)


class FakeTableClient:
    """Calls a fake table from one host."""

    def __init__(self, table, host):
        self.table = table
        self.host = host

    async def get(self, key):
        """As `TableClient.get`."""
        await self._arrive()
        item = self.table.items.get((key.partition, key.sort))
        item = dict(item) if item else None
        await self.host.step()
        return item

    async def query(self, partition, prefix="", limit=100, after=""):
        """As `TableClient.query`."""
        await self._arrive()
        keys = sorted(
            key
            for key in self.table.items
            if key[0] == partition and key[1].startswith(prefix) and key[1] > after
        )
        found = [dict(self.table.items[key]) for key in keys[:limit]]
        await self.host.step()
        return found

    async def put(self, put):
        """As `TableClient.put`."""
        await self._write(lambda: self.table.put_all([put]))

    async def transact(self, puts):
        """As `TableClient.transact`."""
        await self._write(lambda: self.table.put_all(puts))

    async def delete(self, key, condition):
        """As `TableClient.delete`."""
        await self._write(lambda: self.table.remove(key, condition))

    async def _arrive(self):
        await self.host.step()
        if self.table.slow_s:
            await asyncio.sleep(self.table.slow_s)
        if self.table.down:
            raise TableUnavailable("fake table is down")

    async def _write(self, change):
        await self._arrive()
        queue = self.host.faults or self.table.faults
        fault = queue.pop(0) if queue else None
        refusal = None
        if fault == "late":
            self.table.held.append(change)
        elif fault != "vanish":
            try:
                change()
            except ConditionFailed as exc:
                refusal = exc
        if fault == "lose-and-pause":
            self.host.running.clear()
        await self.host.step()
        if fault is not None:
            raise OutcomeUnknown(f"fake table: {fault}")
        if refusal is not None:
            raise refusal


class FakeObjects:
    """Objects by name; `down` refuses all calls."""

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
        """As `ObjectClient.put`."""
        await self._arrive()
        self.store.objects[name] = bytes(data)
        await self.host.step()

    async def get(self, name):
        """As `ObjectClient.get`."""
        await self._arrive()
        if name not in self.store.objects:
            raise ObjectMissing(name)
        return self.store.objects[name]

    async def stream(self, name):
        """As `ObjectClient.stream`."""
        data = await self.get(name)
        for start in range(0, len(data), 3):
            yield data[start : start + 3]

    async def delete(self, name):
        """As `ObjectClient.delete`."""
        await self._arrive()
        self.store.objects.pop(name, None)

    async def list(self, prefix):
        """As `ObjectClient.list`."""
        await self._arrive()
        return sorted(name for name in self.store.objects if name.startswith(prefix))

    async def _arrive(self):
        await self.host.step()
        if self.store.down:
            raise ObjectsUnavailable("fake object store is down")
