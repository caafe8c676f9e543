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
from goldcresthoist.platform.errors import (
    HistoryGone,
    InvalidMessage,
    OutcomeUnknown,
    StoreRefused,
    StoreUnavailable,
    WriteConflict,
)
from goldcresthoist.sockets import detect_silence
from goldcresthoist.upstreams import UpstreamConnection, UpstreamError

__all__ = ["Row", "RowPage", "StoreClient"]

CONNECT_TIMEOUT_S = 1.0
# A connection may fall silent without a reset; a following call takes longer at most.
SILENT_AFTER_S = 3.0
# The store answers within 4 ms by the site's sheet, and at times 60 times slower.
CALL_TIMEOUT_S = 1.0
# Time beyond the wait that a following call has been given.
FOLLOW_SLACK_S = 0.6
MOST_ROWS = 500
# Daemons are to know of the store's return within two seconds.
GATE_LIMITS = GateLimits(
    concurrency=4, failures_to_open=2, first_pause_s=0.15, longest_pause_s=1.0
)
TOO_MANY = 429
CONFLICT = 412
GONE = 410


@dataclass(frozen=True, slots=True)
class Row:
    """One row; ``value`` is empty when it was removed."""

    key: str
    value: bytes
    version: int
    removed: bool


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows as of one moment.

    Attributes
    ----------
    version : int
        The newest version of the whole store.
    following : str
        The key from which more rows follow, and which comes again with them; empty
        after the last page.
    """

    rows: tuple[Row, ...]
    version: int
    following: str = ""


class _Row(msgspec.Struct, frozen=True):
    key: str = ""
    value: str = ""
    ver: int = 0
    deleted: bool = False


class _Answer(msgspec.Struct, frozen=True):
    rows: tuple[_Row, ...] = ()
    ver: int = 0
    truncated: bool = False


_decoder = msgspec.json.Decoder(_Answer)
_encoder = msgspec.json.Encoder()


class StoreClient:
    """Calls the store within the limits of a `CallGate`.

    Parameters
    ----------
    address : str
        ``"ip:port"``.
    counters
        Has ``add(name, amount=1, **labels)``.
    """

    def __init__(self, address, counters):
        self.address = address
        self.host, self.port = split_address(address)
        self.counters = counters
        self.gate = CallGate("store", GATE_LIMITS)
        self.idle = []
        self.connections = set()

    async def rows(self, table, first="", timeout_s=CALL_TIMEOUT_S):
        """Return the rows of a table from the key ``first`` on, as a `RowPage`.

        Raises
        ------
        StoreError
            When there is no answer, or one that says no.
        """
        query = {"table": table, "part": "", "limit": MOST_ROWS}
        if first:
            query["from"] = first
        answer = await self._call("GET", "rows-get", query, None, timeout_s)
        return self._page(answer)

    async def follow(self, table, after, wait_s):
        """Wait for changes of a table after a version; return them as a `RowPage`.

        The page is empty when nothing changed for ``wait_s`` seconds.

        Raises
        ------
        HistoryGone
            When the changes since then are no longer known.
        StoreError
            When there is no answer, or one that says no.
        """
        query = {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        timeout_s = wait_s + FOLLOW_SLACK_S
        return self._page(await self._call("GET", "rows-feed", query, None, timeout_s))

    async def put(self, table, values, timeout_s=CALL_TIMEOUT_S):
        """Write rows of one table, whatever they were before.

        Parameters
        ----------
        table : str
        values : dict of str to bytes
            Values by key.

        Raises
        ------
        StoreError
            `StoreUnavailable` when nothing was written for certain.
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
        await self._call("POST", "rows-tx", {}, body, timeout_s)

    async def remove(self, table, key, version, timeout_s=CALL_TIMEOUT_S):
        """Remove a row if it still has that version.

        Raises
        ------
        WriteConflict
            When the row has changed.
        StoreError
            When there is no answer, or one that says no.
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
        await asyncio.sleep(0)

    async def _call(self, method, name, query, body, timeout_s):
        deadline = asyncio.get_running_loop().time() + timeout_s
        try:
            async with self.gate.admit(deadline):
                status, content = await self._exchange(
                    method, name, query, body, deadline
                )
        except CallNotSent as exc:
            self.counters.add("store_calls", call=name, outcome="not-sent")
            raise StoreUnavailable(f"{name}: {exc}") from exc
        except CallFailed as exc:
            self.counters.add("store_calls", call=name, outcome="no-answer")
            raise OutcomeUnknown(f"{name}: {exc}") from exc
        self.counters.add("store_calls", call=name, outcome=str(status))
        if status == CONFLICT:
            raise WriteConflict(f"{name}: a row has another version")
        if status == GONE:
            raise HistoryGone(f"{name}: the history is gone")
        if status != 200:
            raise StoreRefused(f"{name}: status {status}")
        try:
            return _decoder.decode(content)
        except msgspec.MsgspecError as exc:
            raise InvalidMessage(f"answer of {name}: {exc}") from exc

    async def _exchange(self, method, name, query, body, deadline):
        """Make one call; raise what the gate counts against the store."""
        connection = await self._connection(deadline)
        target = f"/{name}?{urlencode(query)}" if query else f"/{name}"
        head = f"{method} {target} HTTP/1.1\r\nHost: {self.address}\r\n"
        if body is not None:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n"
        connection.send(head.encode() + b"\r\n" + (body or b""), False)
        parts = []
        try:
            async with asyncio.timeout_at(deadline):
                answer = await connection.head()
                while data := await answer.body.read():
                    parts.append(data)
        except (UpstreamError, TimeoutError) as exc:
            connection.close()
            reason = str(exc) or "no answer in time"
            raise CallFailed(reason) from exc
        except BaseException:
            connection.close()
            raise
        status = answer.status
        if connection.release():
            self.idle.append(connection)
        if status == TOO_MANY:
            self.gate.throttled()
        if status in (TOO_MANY, 503):
            raise CallNotSent(f"the store answered {status}")
        return status, b"".join(parts)

    async def _connection(self, deadline):
        while self.idle:
            connection = self.idle.pop()
            if connection.is_clean():
                return connection
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
        detect_silence(transport, SILENT_AFTER_S)
        self.connections.add(connection)
        return connection

    def _on_lost(self, connection):
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def _page(self, answer):
        rows = []
        for item in answer.rows:
            try:
                value = base64.b64decode(item.value, validate=True)
            except (binascii.Error, ValueError):
                # One malformed row must not hide the others.
                self.counters.add("store_rows_malformed")
                continue
            rows.append(Row(item.key, value, item.ver, item.deleted))
        following = answer.rows[-1].key if answer.truncated and answer.rows else ""
        return RowPage(tuple(rows), answer.ver, following)
