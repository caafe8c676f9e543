"""Pool of persistent connections to the local upstream."""

import asyncio
from collections import deque

from goldcresthoist.upstreams.connection import UpstreamConnection
from goldcresthoist.upstreams.errors import (
    ConnectionLimitReached,
    UpstreamUnreachable,
)

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 1.0
# Number of idle connections that the pool keeps open for further requests.
MIN_IDLE_CONNECTIONS = 4
# Interval between attempts to connect to an upstream that accepts no connections.
RECOVERY_INTERVAL_S = 0.1
# Time between the loss of a connection and the check whether the upstream crashed.
# Connections lost within this time of each other count as lost simultaneously.
CRASH_DETECTION_S = 0.02
# A connection that is lost sooner than this after a request was sent is taken to have
# been closed by the upstream's idle timeout, before the request arrived.
IDLE_CLOSE_RACE_S = 0.005


class ConnectionPool:
    """Keeps connections open, since opening a connection takes about 1 ms.

    Parameters
    ----------
    host, port : str, int
        Address of the upstream.
    limit : int
        Largest number of connections at the same time.
    make_connection : callable
        ``make_connection(on_lost)`` returns an `UpstreamConnection`.

    Attributes
    ----------
    down : bool
        Whether the upstream accepts no connections. Attempts to connect are repeated in
        the background.
    on_change : callable or None
        ``on_change()`` is called at each change of ``down``.
    recently_lost : deque of UpstreamConnection
        The last connections that ended.
    serial : int
        Number of connections opened so far. Each connection stores the value after it
        was opened as its ``serial`` and the value when it was last acquired as its
        ``serial_at_checkout``.
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
        self.refill_task = None
        self.down = False
        self.on_change = None
        self.recovery_task = None
        self.closed = False

    def acquire_idle(self):
        """Return an idle connection that is still clean, or None."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_clean():
                return self._check_out(connection)
            connection.close()
        return None

    async def acquire(self):
        """Open and return a new connection.

        Raises
        ------
        ConnectionLimitReached
            When ``limit`` connections are open.
        UpstreamUnreachable
            When no connection can be made in `CONNECT_TIMEOUT_S`.
        """
        return self._check_out(await self._connect())

    def release(self, connection):
        """Return a connection to the pool; it is closed unless it can be reused."""
        if connection.release() and not self.closed:
            self.idle.append(connection)

    async def crashed(self, connection):
        """Return whether ``connection`` was lost because the upstream's process ended.

        A process that ends closes all its connections at once and refuses new ones,
        while an upstream that drops a single request keeps its other connections.
        """
        await asyncio.sleep(CRASH_DETECTION_S)
        # A crash also ends the connections that were opened before this one was
        # acquired. Later ones may belong to the next process.
        if any(
            other.serial <= connection.serial_at_checkout for other in self.connections
        ):
            return False
        try:
            self.idle.append(await self._connect())
        except ConnectionLimitReached:
            # The open connections are later than this one, so the upstream accepts
            # connections.
            pass
        except UpstreamUnreachable:
            return True
        # The upstream accepts connections, so it may have restarted. An idle timeout
        # also closes many connections at once, but then this connection is lost
        # immediately after the request was sent.
        ran_s = connection.lost_at - connection.sent_at
        return ran_s > IDLE_CLOSE_RACE_S and self._lost_simultaneously(connection)

    def _lost_simultaneously(self, connection):
        for other in self.recently_lost:
            gap_s = abs(other.lost_at - connection.lost_at)
            if other is not connection and gap_s < CRASH_DETECTION_S:
                return True
        return False

    async def close(self):
        """Close all connections."""
        self.closed = True
        for task in (self.refill_task, self.recovery_task):
            if task is not None:
                task.cancel()
        for connection in tuple(self.connections):
            connection.close()
        # This lets the event loop call `connection_lost` of each connection.
        await asyncio.sleep(0)

    def _check_out(self, connection):
        connection.serial_at_checkout = self.serial
        # Idle connections are opened in advance. `crashed` also depends on them: their
        # simultaneous loss indicates a crash.
        if len(self.idle) < MIN_IDLE_CONNECTIONS and (
            self.refill_task is None or self.refill_task.done()
        ):
            self.refill_task = asyncio.create_task(self._refill())
        return connection

    async def _connect(self):
        if len(self.connections) >= self.limit:
            raise ConnectionLimitReached(f"all {self.limit} connections are open")
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
            self._notify_change()
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
        self.recovery_task = asyncio.create_task(self._recover())
        self._notify_change()

    def _notify_change(self):
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
        while len(self.idle) < MIN_IDLE_CONNECTIONS and not self.closed:
            try:
                connection = await self._connect()
            except UpstreamUnreachable:
                return
            self.idle.append(connection)
