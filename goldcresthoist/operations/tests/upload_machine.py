"""Stateful property test of resumable uploads."""

import asyncio
from collections import defaultdict
from contextlib import suppress

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from goldcresthoist.objects import ObjectsUnavailable
from goldcresthoist.operations import UploadExpiry
from goldcresthoist.operations._parts import PartStore
from goldcresthoist.operations._records import RecordTable, State
from goldcresthoist.operations.errors import MissingPart
from goldcresthoist.operations.expiry import EXPIRED_NOTE, MIN_IDLE_S
from goldcresthoist.operations.results import (
    Appended,
    DigestMismatch,
    OffsetMismatch,
    Receiving,
    Started,
    StoreUnavailable,
    Verified,
)
from goldcresthoist.operations.tests.builders import (
    Daemon,
    chunks_of,
    deadline_in,
    sha256_of,
)
from goldcresthoist.operations.tests.oracle import (
    KEYS,
    SERVICE,
    ExecutionOracle,
    answer_of,
)
from goldcresthoist.table import OutcomeUnknown, TableUnavailable
from goldcresthoist.tests.fake_platform import Host
from goldcresthoist.tests.machine_base import (
    DAEMON_INDEXES,
    ONE_IN_THREE,
    WRITE_FAULTS,
    PlatformMachine,
)

__all__ = ["UploadMachine"]

UPLOAD_ATTEMPTS = 8
BODIES = {"k1": bytes(range(24)), "k2": b"short"}


class UploadMachine(PlatformMachine):
    """Callers that send parts through any daemon, out of order and repeatedly."""

    def __init__(self):
        super().__init__()
        self.oracle = ExecutionOracle(self.violation)
        self.acknowledged = defaultdict(int)
        self.progress_at = {}
        self.table.on_write = self._check_expiry
        self.wall = 0.0

    def make_daemon(self, name):
        """Create a daemon with a small part size and a small memory limit."""
        daemon = Daemon(self, name, part_bytes=4, memory_bytes=8)
        daemon.expiry = UploadExpiry(
            daemon.table, daemon.objects, clock=lambda: self.wall
        )
        return daemon

    @initialize()
    def open_first(self):
        """Open one of the uploads before any fault is injected."""
        self.loop.run_until_complete(self._open(self.daemons[0], "k1"))

    @rule(index=DAEMON_INDEXES, key=KEYS)
    def open(self, index, key):
        """Open an upload."""
        daemon = self.daemons[index]
        self.spawn(daemon, self._open(daemon, key))

    @rule(
        index=DAEMON_INDEXES,
        key=KEYS,
        ahead=st.sampled_from([0, 0, -3, 2]),
        size=st.integers(1, 24),
        chunk=st.integers(1, 9),
        fault=WRITE_FAULTS,
    )
    def append(self, index, key, ahead, size, chunk, fault):
        """Send bytes that begin `ahead` bytes after the acknowledged offset."""
        daemon = self.daemons[index]
        offset = max(0, self.acknowledged[key] + ahead)
        self.add_fault(daemon, fault)
        data = BODIES[key][offset : offset + size]

        async def append():
            chunks = chunks_of(data, chunk)
            result = await daemon.receiver.append(
                SERVICE, key, offset, chunks, deadline_in()
            )
            self._record_result(key, result)

        self.spawn(daemon, append())

    @rule(key=KEYS, fault=WRITE_FAULTS)
    def append_everywhere(self, key, fault):
        """Send bytes from the acknowledged offset to all daemons, in several sizes."""
        for index in range(3):
            size = 4 * (index + 1)
            self.append(index, key, 0, size, 5, "" if index else fault)

    @rule(index=DAEMON_INDEXES, key=KEYS, chunk=st.integers(1, 9), fault=WRITE_FAULTS)
    def upload(self, index, key, chunk, fault):
        """Resume an upload as a caller does: open, send the rest, verify, complete."""
        daemon = self.daemons[index]
        self.add_fault(daemon, fault)
        self.spawn(daemon, self._upload(daemon, key, chunk))

    @rule(index=DAEMON_INDEXES, key=KEYS)
    def verify(self, index, key):
        """Verify the digest of an upload."""
        daemon = self.daemons[index]
        self.spawn(daemon, self._verify(daemon, key))

    @rule(index=DAEMON_INDEXES, key=KEYS)
    def complete(self, index, key):
        """Start the operation and send the body to the upstream."""
        daemon = self.daemons[index]
        self.spawn(daemon, self._complete(daemon, key))

    @rule(index=DAEMON_INDEXES, key=KEYS, selected=ONE_IN_THREE)
    def cancel(self, index, key, selected):
        """Cancel an upload."""
        if not selected:
            return
        daemon = self.daemons[index]

        async def cancel():
            result = await daemon.ledger.cancel(SERVICE, key, deadline_in())
            self._record_result(key, result)

        self.spawn(daemon, cancel())

    @rule(index=DAEMON_INDEXES, jump=st.booleans())
    def sweep(self, index, jump):
        """Sweep the uploads, optionally after the wall clock has jumped forward."""
        daemon = self.daemons[index]
        self.wall = 1e11 if jump else 0.0

        async def sweep():
            with suppress(OutcomeUnknown):
                await daemon.expiry.sweep(SERVICE)

        self.spawn(daemon, sweep())

    @rule()
    def pass_an_hour(self):
        """Let 0.6 of the idle time pass after which an upload can expire."""
        self.run_for(MIN_IDLE_S * 0.6)

    def _check_expiry(self, put):
        if not isinstance(put.item.get("upload_id"), str) or "state" not in put.item:
            return
        key = put.key.sort
        now = self.loop.time()
        if put.item["state"] == State.CLAIMED:
            self.progress_at[key] = now
        elif (
            put.item.get("note") == EXPIRED_NOTE
            and now - self.progress_at[key] < MIN_IDLE_S
        ):
            quiet = now - self.progress_at[key]
            self.violation(f"{key} expired {quiet} s after a part")

    def _record_result(self, key, result):
        self.oracle.record_result(key, result)
        match result:
            case Appended(offset) | Receiving(offset) | OffsetMismatch(offset):
                self.acknowledged[key] = max(self.acknowledged[key], offset)
            case Verified(sha256) if sha256 != sha256_of(BODIES[key]):
                self.violation(f"{key} was verified with {sha256}")
            case DigestMismatch():
                self.violation(f"{key} has another digest: {result}")

    async def _open(self, daemon, key):
        body = BODIES[key]
        result = await daemon.receiver.open(
            SERVICE, key, len(body), key, deadline_in(), sha256_of(body)
        )
        self._record_result(key, result)
        return result

    async def _verify(self, daemon, key):
        result = await daemon.receiver.verify(SERVICE, key, deadline_in())
        self._record_result(key, result)
        return result

    async def _upload(self, daemon, key, chunk):
        for _ in range(UPLOAD_ATTEMPTS):
            result = await self._open(daemon, key)
            if isinstance(result, Receiving):
                await self._append_rest(daemon, key, result.offset, chunk)
                if isinstance(await self._verify(daemon, key), Verified):
                    await self._complete(daemon, key)
            elif not isinstance(result, StoreUnavailable):
                return
            await asyncio.sleep(1)

    async def _append_rest(self, daemon, key, offset, chunk):
        chunks = chunks_of(BODIES[key][offset:], chunk)
        result = await daemon.receiver.append(
            SERVICE, key, offset, chunks, deadline_in()
        )
        self._record_result(key, result)

    async def _complete(self, daemon, key):
        result = await daemon.receiver.start(SERVICE, key, daemon.name, deadline_in())
        self._record_result(key, result)
        if not isinstance(result, Started):
            return
        body = b""
        try:
            async for chunk in daemon.receiver.body(result):
                body += chunk
        except (ObjectsUnavailable, TableUnavailable):
            await daemon.ledger.release_start(result, deadline_in())
            return
        self.oracle.run(key, daemon.name)
        if body != BODIES[key]:
            self.violation(f"{key} ran with the body {body!r}")
        await daemon.ledger.finish(result, answer_of(key), deadline_in())

    def check_recovered(self):
        """Check that every acknowledged byte of an open upload can be read."""
        host = Host("check")
        records = RecordTable(self.table.client(host))
        parts = PartStore(self.table.client(host), self.objects.client(host))
        for key, body in BODIES.items():
            record = self.loop.run_until_complete(records.get(SERVICE, key))
            if record is None or record.state not in (State.CLAIMED, State.STARTED):
                continue
            upload = record.upload
            if upload.offset < self.acknowledged[key]:
                self.violation(f"{key} fell back to offset {upload.offset}")
            self.loop.run_until_complete(self._check_body(parts, upload, body))

    async def _check_body(self, parts, upload, body):
        stored = b""
        try:
            async for chunk in parts.stream(upload.upload_id, upload.offset):
                stored += chunk
        except MissingPart as exc:
            self.violation(str(exc))
            return
        if stored != body[: upload.offset]:
            self.violation(f"stored {stored!r} instead of {body[: upload.offset]!r}")
