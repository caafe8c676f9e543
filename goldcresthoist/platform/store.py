"""Client of the platform's store."""

import asyncio
import base64
import binascii
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from goldcresthoist.access.errors import CallFailed, CallNotSent
from goldcresthoist.access.gate import CallGate, GateLimits
from goldcresthoist.addresses import split_address
from goldcresthoist.clock import monotonic
from goldcresthoist.http_fields import header_value
from goldcresthoist.platform.errors import (
    HistoryGone,
    InvalidMessage,
    OutcomeUnknown,
    StoreRefused,
    StoreUnavailable,
    WriteConflict,
)
from goldcresthoist.sockets import detect_dead_peer
from goldcresthoist.upstreams import (
    UpstreamBroken,
    UpstreamConnection,
    UpstreamError,
)

__all__ = ["Row", "RowPage", "StoreClient", "StorePosition"]

CONNECT_TIMEOUT_S = 1.0
# The kernel closes a connection whose peer has acknowledged nothing for about this
# long, because a peer that loses power sends neither FIN nor RST. Calls with a shorter
# timeout have ended by then; any other call on the connection fails with
# `OutcomeUnknown`.
PEER_TIMEOUT_S = 3.0
# The site's data sheet says that the store responds within 4 ms, but at times it takes
# up to 60 times as long.
CALL_TIMEOUT_S = 1.0
# A connection may fall silent without a reset. One that has been idle for longer is not
# used again, since the next call on it would wait for its whole timeout.
MAX_IDLE_S = 1.0
# A long poll times out this long after the end of the wait that it requests.
LONG_POLL_MARGIN_S = 0.6
MAX_PAGE_ROWS = 500
# The platform limits a page to 1 MB of rows, and a row is larger in JSON and base64.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# The probe delays are short so that daemons detect within 2 s that the store has
# recovered.
GATE_LIMITS = GateLimits(
    concurrency=4, failure_threshold=2, first_probe_delay_s=0.15, max_probe_delay_s=1.0
)

ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 15

# HTTP status codes.
TOO_MANY_REQUESTS = 429
PRECONDITION_FAILED = 412
GONE = 410


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A version of the store in one of its eras.

    Positions are ordered by era first, as versions are given out again in each era.
    """

    era: int
    version: int


@dataclass(frozen=True, slots=True)
class Row:
    """One row.

    ``version`` is the version of the store in which the row was last written or
    removed. ``value`` is empty when it was removed.
    """

    key: str
    value: bytes
    version: int
    removed: bool


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows of a table at one version of the store.

    Attributes
    ----------
    version : int
        The newest version of the whole store; `StoreClient.wait_for_changes` returns
        the changes after it.
    next_key : str
        Key at which the next page starts; empty on the last page. It is the key of the
        last row of this page, so that row is returned twice.
    era : int
        Era of the store to which the versions belong; see `StoreClient`.
    """

    rows: tuple[Row, ...]
    version: int
    next_key: str = ""
    era: int = 0

    @property
    def position(self):
        """The `StorePosition` of the page."""
        return StorePosition(self.era, self.version)


class _Row(msgspec.Struct, frozen=True):
    key: str = ""
    value: str = ""
    ver: int = 0
    deleted: bool = False


class _Response(msgspec.Struct, frozen=True):
    rows: tuple[_Row, ...] = ()
    ver: int = 0
    truncated: bool = False


_decoder = msgspec.json.Decoder(_Response)
_encoder = msgspec.json.Encoder()


class StoreClient:
    """Calls the store through a `CallGate`.

    Each call raises `InvalidMessage`, which is no `StoreError`, when the response is
    malformed, and `OutcomeUnknown` when it is one of an earlier era. ``timeout_s``
    limits the time of a call in seconds, including the wait for its admission by the
    gate and for a connection.

    The store may be restored from a copy that is some seconds old. It then begins a new
    era, whose number is in the header ``Store-Era`` of each response. Versions are
    given out again, so those of different eras cannot be compared.

    Parameters
    ----------
    address : str
        ``"ip:port"``.
    counters
        Has ``add(name, amount=1, **labels)``.

    Attributes
    ----------
    era : int
        Newest known era; 0 until a response has named one.
    on_era : callable
        Called with each newer era, before the response that names it is processed.
    """

    def __init__(self, address, counters):
        self.address = address
        self.host, self.port = split_address(address)
        self.counters = counters
        self.gate = CallGate("store", GATE_LIMITS)
        # Connections without a call, each with the monotonic time since which it has
        # none; the last one is used first.
        self.idle = {}
        self.connections = set()
        self.era = 0
        self.on_era = lambda era: None

    async def rows(self, table, first="", timeout_s=CALL_TIMEOUT_S):
        """Return a `RowPage` with the rows of a table from the key ``first`` on.

        Raises
        ------
        StoreError
            When the call fails.
        """
        query = {"table": table, "part": "", "limit": MAX_PAGE_ROWS}
        if first:
            query["from"] = first
        return await self._read_page("rows-get", query, timeout_s)

    async def wait_for_changes(self, table, after, wait_s):
        """Wait for changes to a table after a version; return them as a `RowPage`.

        This is a long poll. The page is empty when nothing changed for ``wait_s``
        seconds. With 0, the store responds at once.

        Raises
        ------
        HistoryGone
            When the store no longer has the changes since that version.
        StoreError
            When the call fails.
        """
        query = {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        timeout_s = wait_s + LONG_POLL_MARGIN_S
        return await self._read_page("rows-feed", query, timeout_s, waits=wait_s > 0.0)

    async def put(self, table, values, timeout_s=CALL_TIMEOUT_S, urgent=False):
        """Write rows of one table unconditionally.

        Parameters
        ----------
        table : str
        values : dict of str to bytes
            Values by key.
        timeout_s : float
        urgent : bool
            Whether the call is made although the circuit of the gate is open.

        Raises
        ------
        StoreUnavailable
            When the store did not execute the call, so that nothing was written.
        OutcomeUnknown
            When the rows may have been written.
        StoreError
            When the call fails in another way.
        """
        upserts = [
            {
                "table": table,
                "part": "",
                "key": key,
                "value": base64.b64encode(value).decode(),
            }
            for key, value in values.items()
        ]
        body = _encoder.encode({"expect": [], "upserts": upserts, "remove": []})
        await self._call("POST", "rows-tx", {}, body, timeout_s, urgent)

    async def remove(self, table, key, version, timeout_s=CALL_TIMEOUT_S):
        """Remove a row if it still has the given version.

        Raises
        ------
        WriteConflict
            When the row has another version, so that nothing was removed.
        OutcomeUnknown
            When the row may have been removed.
        StoreError
            When the call fails in another way.
        """
        row = {"table": table, "part": "", "key": key}
        body = _encoder.encode(
            {"expect": [{**row, "ver": version}], "upserts": [], "remove": [row]}
        )
        await self._call("POST", "rows-tx", {}, body, timeout_s)

    async def close(self):
        """Close all connections."""
        for connection in tuple(self.connections):
            connection.close()
        # This lets the event loop call `connection_lost` of each connection.
        await asyncio.sleep(0)

    async def _read_page(self, name, query, timeout_s, waits=False):
        answer, era = await self._call("GET", name, query, None, timeout_s, waits=waits)
        return self._to_page(answer, era)

    async def _call(
        self, method, name, query, body, timeout_s, urgent=False, waits=False
    ):
        """Make one call; return its `_Response` and the era of the store."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        try:
            async with self.gate.admit(deadline, urgent, waits):
                status, content, era = await self._exchange(
                    method, name, query, body, deadline
                )
        except CallNotSent as exc:
            self.counters.add("store_calls", call=name, outcome="not-sent")
            raise StoreUnavailable(f"{name}: {exc}") from exc
        except CallFailed as exc:
            self.counters.add("store_calls", call=name, outcome="no-answer")
            raise OutcomeUnknown(f"{name}: {exc}") from exc
        self.counters.add("store_calls", call=name, outcome=str(status))
        if era < self.era:
            # What the call read or wrote may be lost.
            raise OutcomeUnknown(
                f"{name}: the response is of era {era}, not {self.era}"
            )
        if status == PRECONDITION_FAILED:
            raise WriteConflict(f"{name}: a row has another version than expected")
        if status == GONE:
            raise HistoryGone(f"{name}: the store no longer has these changes")
        if status != 200:
            raise StoreRefused(f"{name}: the store responded with status {status}")
        try:
            return _decoder.decode(content), era
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise InvalidMessage(f"malformed response to {name}: {exc}") from exc

    async def _exchange(self, method, name, query, body, deadline):
        """Make one call; return the status, the body and the era of the response.

        Raises
        ------
        CallNotSent
            When no connection can be made, or the store responds with status 429 or
            503, which mean that it did not execute the call.
        CallFailed
            When there is no complete response before the deadline.
        """
        connection, idle_s = await self._get_connection(deadline)
        target = f"/{name}?{urlencode(query)}" if query else f"/{name}"
        head = f"{method} {target} HTTP/1.1\r\nHost: {self.address}\r\n"
        if body is not None:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n"
        connection.send(head.encode() + b"\r\n" + (body or b""), False)
        parts = []
        size = 0
        try:
            async with asyncio.timeout_at(deadline):
                answer = await connection.head()
                while data := await answer.body.read():
                    parts.append(data)
                    size += len(data)
                    if size > MAX_RESPONSE_BYTES:
                        raise UpstreamBroken(
                            f"the response exceeds {MAX_RESPONSE_BYTES} bytes"
                        )
        except (UpstreamError, TimeoutError) as exc:
            connection.close()
            if isinstance(exc, TimeoutError):
                self._close_idle_connections()
            reason = str(exc) or "no response before the deadline"
            kept = (
                "new connection" if idle_s is None else f"idle before: {idle_s:.2f} s"
            )
            raise CallFailed(f"{reason} ({kept})") from exc
        except BaseException:
            connection.close()
            raise
        status = answer.status
        era = self._read_era(answer.headers)
        if connection.release():
            self.idle[connection] = monotonic()
        if status == TOO_MANY_REQUESTS:
            self.gate.reduce_concurrency()
        if status in (TOO_MANY_REQUESTS, 503):
            raise CallNotSent(f"the store responded with status {status}")
        return status, b"".join(parts), era

    def _read_era(self, headers):
        """Return the era that a response names, or the newest one if it names none."""
        value = header_value(headers, ERA_HEADER)
        if value is None:
            return self.era
        if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
            self.counters.add("store_eras_malformed")
            return self.era
        era = int(value)
        if era > self.era:
            self.era = era
            self.on_era(era)
        return era

    async def _get_connection(self, deadline):
        """Return a connection, and the seconds for which it was idle; None if new."""
        while self.idle:
            connection, idle_since = self.idle.popitem()
            idle_s = monotonic() - idle_since
            if idle_s <= MAX_IDLE_S and connection.is_clean():
                return connection, idle_s
            connection.close()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(
                min(deadline, loop.time() + CONNECT_TIMEOUT_S)
            ):
                transport, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self._on_lost), self.host, self.port
                )
        except (OSError, TimeoutError) as exc:
            raise CallNotSent(f"cannot connect to {self.address}: {exc}") from exc
        detect_dead_peer(transport, PEER_TIMEOUT_S)
        self.connections.add(connection)
        return connection, None

    def _close_idle_connections(self):
        """Close the connections that may have fallen silent with another one."""
        for connection in tuple(self.idle):
            connection.close()
        self.idle.clear()

    def _on_lost(self, connection):
        self.connections.discard(connection)
        self.idle.pop(connection, None)

    def _to_page(self, answer, era):
        rows = []
        for item in answer.rows:
            try:
                value = base64.b64decode(item.value, validate=True)
            except (binascii.Error, ValueError):
                # A malformed row is counted and left out of the page.
                self.counters.add("store_rows_malformed")
                continue
            rows.append(Row(item.key, value, item.ver, item.deleted))
        next_key = answer.rows[-1].key if answer.truncated and answer.rows else ""
        return RowPage(tuple(rows), answer.ver, next_key, era)
