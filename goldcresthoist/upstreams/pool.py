"""Persistent connections to the own upstream."""

import asyncio
from collections import deque

from goldcresthoist.upstreams.connection import UpstreamConnection
from goldcresthoist.upstreams.errors import UpstreamUnreachable

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 1.0
KEEP_OPEN = 4
RECOVERY_INTERVAL_S = 0.1
CRASH_EVIDENCE_WAIT_S = 0.02
IDLE_CLOSE_RACE_S = 0.005


class ConnectionPool:
    """Keeps connections open, since a new one costs about 1 ms.

    Parameters
    ----------
    host, port : str, int
        Address of the upstream.
    limit : int
        Most connections at the same time.
    make_connection : callable
        ``make_connection(on_lost)`` returns an `UpstreamConnection`.

    Attributes
    ----------
    down : bool
        Whether the upstream accepts no connections. It is tried again in the
        background, and ``on_change()`` is called at each change.
    """

    def __init__(self, host, port, limit=220, make_connection=UpstreamConnection):
        self.make_connection = make_connection
        self.host = host
        self.port = port
        self.limit = limit
        self.idle = []
        self.connections = set()
        self.recently_lost = deque(maxlen=16)
        self.serial = 0
        self.refill = None
        self.down = False
        self.on_change = None
        self.recovery = None
        self.closed = False

    def acquire_idle(self):
        """Return an idle connection without unexpected bytes, or None."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_clean():
                return self._hand_out(connection)
            connection.close()
        return None

    async def acquire(self):
        """Return a new connection.

        Raises
        ------
        UpstreamUnreachable
            When no connection can be made in `CONNECT_TIMEOUT_S`.
        """
        return self._hand_out(await self._connect())

    def release(self, connection):
        """Take a connection back; it is closed unless it is surely clean."""
        if connection.release() and not self.closed:
            self.idle.append(connection)

    async def crashed(self, connection):
        """Return whether the loss of ``connection`` was the end of the upstream.

        A process that ends closes all its connections at once and refuses new ones,
        while an upstream that only drops a request keeps its other connections.
        """
        await asyncio.sleep(CRASH_EVIDENCE_WAIT_S)
        if any(other.serial <= connection.call_serial for other in self.connections):
            return False
        try:
            self.idle.append(await self._connect())
        except UpstreamUnreachable:
            return True
        # An idle timeout of the upstream also closes many connections at once, but
        # then the loss follows the request immediately.
        ran_s = connection.lost_at - connection.sent_at
        return ran_s > IDLE_CLOSE_RACE_S and self._lost_with(connection)

    def _lost_with(self, connection):
        for other in self.recently_lost:
            gap_s = abs(other.lost_at - connection.lost_at)
            if other is not connection and gap_s < CRASH_EVIDENCE_WAIT_S:
                return True
        return False

    async def close(self):
        """Close all connections."""
        self.closed = True
        for task in (self.refill, self.recovery):
            if task is not None:
                task.cancel()
        for connection in tuple(self.connections):
            connection.close()
        await asyncio.sleep(0)

    def _hand_out(self, connection):
        connection.call_serial = self.serial
        # Connections are opened ahead of need; they are also the evidence of a crash.
        if len(self.idle) < KEEP_OPEN and (self.refill is None or self.refill.done()):
            self.refill = asyncio.create_task(self._refill())
        return connection

    async def _connect(self):
        if len(self.connections) >= self.limit:
            raise UpstreamUnreachable(f"all {self.limit} connections are in use")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: self.make_connection(self._on_lost), self.host, self.port
                )
        except (OSError, TimeoutError) as exc:
            self._mark_down()
            address = f"{self.host}:{self.port}"
            raise UpstreamUnreachable(f"cannot connect to {address}: {exc}") from exc
        self.serial += 1
        connection.serial = self.serial
        self.connections.add(connection)
        if self.down:
            self.down = False
            self._tell_change()
        return connection

    def _on_lost(self, connection):
        self.connections.discard(connection)
        self.recently_lost.append(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def _mark_down(self):
        if self.down or self.closed:
            return
        self.down = True
        self.recovery = asyncio.create_task(self._recover())
        self._tell_change()

    def _tell_change(self):
        if self.on_change is not None:
            self.on_change()

    async def _recover(self):
        while self.down:
            await asyncio.sleep(RECOVERY_INTERVAL_S)
            try:
                self.idle.append(await self._connect())
            except UpstreamUnreachable:
                continue

    async def _refill(self):
        while len(self.idle) < KEEP_OPEN and not self.closed:
            try:
                connection = await self._connect()
            except UpstreamUnreachable:
                return
            self.idle.append(connection)
