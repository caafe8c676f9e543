"""Registration of a daemon in the store, and discovery of the other members."""

import asyncio
import hashlib
import itertools
import random
import time
from contextlib import suppress

import msgspec

from goldcresthoist.balance.suspects import SUSPECT_EXPIRY_S
from goldcresthoist.clock import monotonic
from goldcresthoist.fleet.directory import DEPARTURE_MEMORY_S
from goldcresthoist.fleet.messages import (
    Departed,
    MemberAnnouncement,
    MemberRecord,
    RowMissing,
    StoredSuspect,
    decode_record,
    decode_suspect,
    encode_record,
)
from goldcresthoist.platform import PlatformFormatError, StoreError

__all__ = ["MEMBER_TABLE", "Registration"]

MEMBER_TABLE = "goldcresthoist"
MEMBER_PREFIX = "member/"
DEPARTED_PREFIX = "departed/"
# One row for each service with a latency knee: its upstreams are slower when almost all
# of their slots are in use. The value of the row is empty.
KNEE_PREFIX = "knee/"
SUSPECT_PREFIX = "suspect/"

# The pauses between attempts of a store call grow from the minimum to the maximum. The
# first ones are short so that a row is written within 2 s after the store has
# recovered; the later ones spread the retries of the whole fleet.
RETRY_MIN_S = 0.3
RETRY_MAX_S = 1.2
# Steps after the rows have been read: a pause in seconds, whether a new member then
# announces itself, and whether it requests the members that others know, besides the
# departures. Datagrams may be lost, so an announcement is sent twice. Members are
# requested when a fleet that starts together has announced itself, or each daemon would
# be sent nearly all of them.
JOIN_STEPS = (
    (0.0, True, False),
    (0.3, False, False),
    (0.7, True, False),
    (1.5, False, True),
)
# A daemon that knows no other member reads the rows again after this time.
NO_MEMBERS_RETRY_S = 1.0
# Interval at which the first watcher compares the rows with the known members.
COMPARE_INTERVAL_S = 6.0
# A row that is reported as missing is written again only if this time has passed since
# it was last written.
REWRITE_INTERVAL_S = 2.0
# Largest difference between the clocks of two instances. A row whose start time is
# further ahead is not one of an earlier process.
MAX_CLOCK_SKEW_MS = 3_600_000
# Longest time for which the acknowledgement of a departure waits for the store, which
# is also the time limit of one write, and the pause before the next one. The upstream
# waits 1 s for the acknowledgement. An acknowledged departure is written within 1 s
# after the store has recovered, as the daemons may all be lost soon afterwards.
DEPARTURE_TIMEOUT_S = 0.4
DEPARTURE_RETRY_S = 0.3
# When the store has been restored, a daemon writes again what it has written for this
# time, in seconds; older entries were in the copy, or have been removed since.
ENTRY_MEMORY_S = DEPARTURE_MEMORY_S
# Largest number of such entries. The oldest are dropped first.
MAX_ENTRIES = 1000
# Time over which the daemons of a fleet spread these calls.
REWRITE_SPREAD_S = 1.0
# Largest number of crash counts that wait for the store. The oldest are dropped first.
MAX_PENDING_SUSPECTS = 1000
# The store takes at most this many rows in one call.
MAX_ROWS_PER_WRITE = 100
# Longest time for which a daemon that stops for good waits for the store, and the pause
# after which it tells the others once more, as datagrams may be lost.
LEAVE_TIMEOUT_S = 0.3
LEAVE_REPEAT_S = 0.1


class Registration:
    """Writes the daemon's own row and adds the members found in the other rows.

    Rows serve only to discover members. They are not refreshed periodically, and a row
    that is missing, forged or out of date never removes a member.

    Parameters
    ----------
    directory : Directory
    store : StoreClient
    watch : ConfigurationWatch
        Only its first watcher compares the rows with the known members.
    log
        Has ``event(name, **fields)``.
    bootstrap : bool
        Whether the whole fleet starts for the first time, so that no rows exist yet.

    Attributes
    ----------
    row_kept : bool
        Whether the row that an earlier process of this daemon wrote is still valid.
    rows_loaded : asyncio.Event
        Set after the rows have been read for the first time. Departures that an earlier
        process of this daemon acknowledged are known from then on.
    row_version : int or None
        Version of this daemon's row; None while it is not known.
    written_at : float
        Monotonic time at which this daemon's row was last written, or a further write
        was started; 0 before the first write.
    left_rows : dict
        Version of the row by key, for members that have left, as last read.
    departure_rows : dict
        Key and version of the row of each `Departed` that has one, as last read.
    suspect_rows : dict
        Key and version of the row of each `StoredSuspect`, as last read.
    pending_suspects : dict
        Values of the rows of crash counts that are still to be written, by key.
    entries : dict
        Values of the departures, knees and crash counts that this process has stored,
        and the monotonic time of the write, by key of the row.
    comparison_due : asyncio.Event
        Set when rows and members are to be compared before the next regular time.
    on_suspect : callable
        Called with the fingerprint, the crash count and the remaining seconds of each
        suspect that the store has; the count is 0 for one that has succeeded since.
    """

    def __init__(self, directory, store, watch, log, bootstrap=False):
        self.directory = directory
        self.store = store
        self.watch = watch
        self.log = log
        self.bootstrap = bootstrap
        self.row_kept = False
        self.row_version = None
        self.rows_loaded = asyncio.Event()
        self.written_at = 0.0
        self.left_rows = {}
        self.departure_rows = {}
        self.suspect_rows = {}
        self.pending_suspects = {}
        self.entries = {}
        self.suspect_task = None
        self.on_suspect = lambda fingerprint, count, time_left_s: None
        self.tasks = set()
        self.comparison_due = asyncio.Event()
        directory.channel.handlers[RowMissing] = lambda *_: self._rewrite_row()

    async def run(self):
        """Join the fleet, then compare rows and members until cancelled."""
        await self._register()
        for pause_s, announces, wants_members in JOIN_STEPS:
            await asyncio.sleep(pause_s)
            if announces and not self.row_kept:
                self.directory.announce()
            self._request_rosters(wants_members)
        while not self.directory.other_addresses():
            await asyncio.sleep(NO_MEMBERS_RETRY_S * random.uniform(0.8, 1.2))
            await self._retry_until_done(self._read)
            self.directory.announce()
        while True:
            await self._wait_for_comparison()
            if not self.watch.is_first_watcher():
                continue
            if not await self._attempt(self._compare) and not self.watch.failures:
                # While the store is away, the watch tells when it is back.
                await asyncio.sleep(RETRY_MIN_S * random.uniform(0.7, 1.3))
                self.comparison_due.set()

    async def _wait_for_comparison(self):
        """Wait for `COMPARE_INTERVAL_S`, or until the store may have lost rows."""
        interval_s = COMPARE_INTERVAL_S * random.uniform(0.9, 1.1)
        with suppress(TimeoutError):
            async with asyncio.timeout(interval_s):
                await self.comparison_due.wait()
        self.comparison_due.clear()

    async def _register(self):
        """Read the rows, and write the daemon's own one if it has to be written.

        The rows are read after the own one is written, so that of two daemons that
        start together at least one finds the other. Writes take the store much longer
        than reads, and after a power failure the whole fleet restarts at once. A daemon
        that may have a row reads first, and writes only if its row is missing or says
        something else.
        """
        if not self.bootstrap:
            await self._load_rows()
            if self.row_kept:
                return
        await self._retry_until_done(self._write)
        await self._retry_until_done(self._read)

    def store_recovered(self):
        """Compare rows and members soon, as the store may have lost some rows.

        Only the first watcher does so.
        """
        self.comparison_due.set()

    def store_restored(self):
        """Write again what a restore of the store may have lost.

        Members whose rows are lost are found by the comparison. If the row of this
        daemon is new, its record is sent to the watchers, which may not know it.
        """
        now = monotonic()
        if self.written_at and now - self.written_at < ENTRY_MEMORY_S:
            self.directory.announce(self.watch.watchers())
        self.row_version = None
        self.written_at = min(self.written_at, now - REWRITE_INTERVAL_S)
        self.store_recovered()
        if self.entries:
            self._start_task(self._write_entries_again())

    async def _write_entries_again(self):
        await asyncio.sleep(random.uniform(0.0, REWRITE_SPREAD_S))
        await self._retry_until_done(self._write_lost_entries)

    async def _write_lost_entries(self):
        """Write `entries` again; crash counts only where the store has no later one.

        A later crash count is that of another daemon.
        """
        oldest = monotonic() - ENTRY_MEMORY_S
        self.entries = {
            key: entry for key, entry in self.entries.items() if entry[1] >= oldest
        }
        values = {key: value for key, (value, _) in self.entries.items()}
        if any(key.startswith(SUSPECT_PREFIX) for key in values):
            rows = self._all_rows(SUSPECT_PREFIX)
            stored = {row.key: row.value async for row in rows}
            values = {
                key: value
                for key, value in values.items()
                if not key.startswith(SUSPECT_PREFIX)
                or _is_later_suspect(value, stored.get(key))
            }
        if values:
            self.log.event("entries written again", count=len(values))
        await self._put_all(values)

    async def leave(self):
        """Remove this daemon's row, and tell the others that it stops for good.

        It takes `LEAVE_TIMEOUT_S` and `LEAVE_REPEAT_S` at most. The row is removed only
        if it is still the one of this process: a call without a response may take
        effect later, when another instance may have the address.
        """
        self.directory.leave()
        if self.row_version is not None:
            await self._attempt(self._remove_row)
        await asyncio.sleep(LEAVE_REPEAT_S)
        self.directory.leave()

    async def record_departure(self, departed):
        """Write a departure to the store; wait at most `DEPARTURE_TIMEOUT_S` for it.

        If it takes longer, the write is repeated in the background until it succeeds.
        """
        task = self._start_task(self._write_departure(departed))
        await asyncio.wait((task,), timeout=DEPARTURE_TIMEOUT_S)
        if not task.done():
            self.log.event("departure not stored", upstream=departed.identity)

    def record_knee(self, service):
        """Write to the store that a service has a latency knee.

        The row is read when daemons start. Without it, after a loss of all daemons, the
        upstreams of the service would be filled to all their slots until the knee is
        measured again, at the time when they are slowest.
        """

        async def write_knee():
            values = {KNEE_PREFIX + service: b""}
            await self.store.put(MEMBER_TABLE, values)
            self._remember(values)

        self._start_task(self._retry_until_done(write_knee))

    def record_suspect(self, fingerprint, count):
        """Write the crash count of a request to the store, in the background.

        It is read when daemons start. Without it, a request that crashes upstreams
        would crash more of them after each loss of all daemons. The count is 0 when the
        request has succeeded since.
        """
        suspect = StoredSuspect(fingerprint, count, int(time.time() * 1000))
        pending = self.pending_suspects
        pending[SUSPECT_PREFIX + fingerprint.hex()] = encode_record(suspect)
        while len(pending) > MAX_PENDING_SUSPECTS:
            pending.pop(next(iter(pending)))
        if self.suspect_task is None or self.suspect_task.done():
            self.suspect_task = self._start_task(self._write_suspects())

    async def _write_suspects(self):
        pending = self.pending_suspects
        while pending:
            values = dict(itertools.islice(pending.items(), MAX_ROWS_PER_WRITE))

            async def write_suspects(values=values):
                await self.store.put(
                    MEMBER_TABLE, values, DEPARTURE_TIMEOUT_S, urgent=True
                )

            if not await self._attempt(write_suspects):
                await asyncio.sleep(DEPARTURE_RETRY_S)
                continue
            self._remember(values)
            for key, value in values.items():
                # The count may have changed during the write.
                if pending.get(key) is value:
                    del pending[key]

    async def _write_departure(self, departed):
        """Write a departure until it is stored, or no longer needed.

        The other daemons have the departure, too, and send it to this one after a
        restart. It is sent to them again after each failure, since datagrams may be
        lost, and they write it if this daemon is lost before (`_repair_departures`).
        """

        async def write_departure():
            values = {_departure_key(departed): encode_record(departed)}
            await self.store.put(MEMBER_TABLE, values, DEPARTURE_TIMEOUT_S, urgent=True)
            self._remember(values)

        needed_until = monotonic() + DEPARTURE_MEMORY_S
        while not await self._attempt(write_departure) and monotonic() < needed_until:
            self.directory.send_departure(departed)
            await asyncio.sleep(DEPARTURE_RETRY_S)

    def _remember(self, values):
        """Keep what has been written, for the case that the store is restored."""
        now = monotonic()
        for key, value in values.items():
            self.entries.pop(key, None)
            self.entries[key] = (value, now)
        while len(self.entries) > MAX_ENTRIES:
            self.entries.pop(next(iter(self.entries)))

    async def _put_all(self, values):
        items = list(values.items())
        for start in range(0, len(items), MAX_ROWS_PER_WRITE):
            chunk = dict(items[start : start + MAX_ROWS_PER_WRITE])
            await self.store.put(MEMBER_TABLE, chunk)

    async def close(self):
        """Cancel the background tasks."""
        for task in tuple(self.tasks):
            task.cancel()

    async def _retry_until_done(self, action):
        pause_s = RETRY_MIN_S
        while not await self._attempt(action):
            await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
            pause_s = min(RETRY_MAX_S, pause_s * 1.5)

    async def _load_rows(self):
        """Read the rows once the store answers; ask the other daemons until then."""
        while not await self._attempt(self._read):
            self._request_rosters(True)
            await asyncio.sleep(RETRY_MIN_S * random.uniform(0.7, 1.3))

    async def _attempt(self, action):
        try:
            await action()
        except (StoreError, PlatformFormatError) as exc:
            self.log.event("store call failed", action=action.__name__, error=str(exc))
            return False
        return True

    async def _write(self):
        own = self.directory.own
        values = {MEMBER_PREFIX + own.ip: encode_record(own)}
        self.row_version = None
        await self.store.put(MEMBER_TABLE, values)
        self.written_at = monotonic()

    async def _remove_row(self):
        key = MEMBER_PREFIX + self.directory.own.ip
        version = self.row_version
        await self.store.remove(MEMBER_TABLE, key, version, LEAVE_TIMEOUT_S)

    async def _read(self):
        """Process all rows; return the addresses of the members that have a row."""
        registered = set()
        self.left_rows = {}
        self.departure_rows = {}
        self.suspect_rows = {}
        async for row in self._all_rows():
            self._process_row(row, registered)
        self.rows_loaded.set()
        return registered

    async def _all_rows(self, first_key=""):
        """Yield the rows from a key on; those at the ends of pages twice."""
        first, next_key = None, first_key
        # A page that ends at the key where it starts would be read forever.
        while next_key != first:
            page = await self.store.rows(MEMBER_TABLE, next_key)
            for row in page.rows:
                yield row
            first, next_key = next_key, page.next_key
            if not next_key:
                break

    def _process_row(self, row, registered):
        if row.key.startswith(MEMBER_PREFIX):
            record = decode_record(row.value)
            if record is None or row.key != MEMBER_PREFIX + record.ip:
                self.log.event("row ignored", key=row.key)
                return
            if self.directory.has_left(record):
                self.left_rows[row.key] = row.version
                return
            registered.add(record.ip)
            if record.ip == self.directory.own.ip:
                self._keep_row(record)
                is_own = record == self.directory.own
                self.row_version = row.version if is_own else None
            else:
                self.directory.merge_record(record)
        elif row.key.startswith(DEPARTED_PREFIX):
            departed = decode_record(row.value, Departed)
            # Earlier releases kept one row for each address.
            if departed is not None and row.key in (
                _departure_key(departed),
                DEPARTED_PREFIX + departed.ip,
            ):
                self.departure_rows[departed] = (row.key, row.version)
                self.directory.add_departure(departed)
        elif row.key.startswith(SUSPECT_PREFIX):
            suspect = decode_suspect(row.value)
            if suspect is None or row.key != SUSPECT_PREFIX + suspect.fingerprint.hex():
                self.log.event("row ignored", key=row.key)
                return
            self.suspect_rows[suspect] = (row.key, row.version)
            time_left_s = _suspect_time_left_s(suspect)
            if not suspect.count or time_left_s > 0.0:
                self.on_suspect(suspect.fingerprint, suspect.count, time_left_s)
        elif row.key.startswith(KNEE_PREFIX):
            self.directory.notify_knee(row.key.removeprefix(KNEE_PREFIX))

    def _keep_row(self, record):
        """Continue with the record of an earlier process if it is still valid.

        The start time of that process is kept, so that all daemons have the same record
        whether they know it from the row or from an announcement. If the record has
        changed, the start time must be later, since the others ignore an earlier one,
        but the clock of this instance may be behind.
        """
        own = self.directory.own
        ahead_ms = record.born_ms - own.born_ms
        if self.written_at or ahead_ms > MAX_CLOCK_SKEW_MS:
            return
        if msgspec.structs.replace(own, born_ms=record.born_ms) == record:
            self.row_kept = True
            self.directory.replace_own(record)
        elif ahead_ms >= 0:
            later = msgspec.structs.replace(own, born_ms=record.born_ms + 1)
            self.directory.replace_own(later)

    async def _compare(self):
        known = set(self.directory.members)
        registered = await self._read()
        for ip in registered - known:
            # The announcements of the new member may not have reached the others.
            record = self.directory.members.get(ip)
            if isinstance(record, MemberRecord):
                self.directory.channel.send(MemberAnnouncement(record), known)
                self.directory.announce((ip,))
        own = self.directory.own.ip
        if own not in registered:
            await self._write()
        missing = known - registered - {own}
        if missing:
            self.log.event("rows missing", count=len(missing))
            self.directory.channel.send(RowMissing(), missing)
        await self._repair_departures()
        for suspect, (key, version) in self.suspect_rows.items():
            if not suspect.count or _suspect_time_left_s(suspect) <= 0.0:
                await self.store.remove(MEMBER_TABLE, key, version)
        # They could not be removed when the members left, or a restore of the store has
        # brought them back.
        for key, version in self.left_rows.items():
            await self.store.remove(MEMBER_TABLE, key, version)

    async def _repair_departures(self):
        """Write the departures that have no row, and remove the rows of old ones.

        The daemon that acknowledged a departure may be lost before it could write it.
        """
        expired = self.directory.expire_departures()
        values = {
            _departure_key(departed): encode_record(departed)
            for departed in self.directory.known_departures()
            if departed not in self.departure_rows
        }
        if values:
            self.log.event("departures missing", count=len(values))
        await self._put_all(values)
        for departed in expired:
            if departed in self.departure_rows:
                await self.store.remove(MEMBER_TABLE, *self.departure_rows[departed])

    def _rewrite_row(self):
        now = monotonic()
        if now - self.written_at >= REWRITE_INTERVAL_S:
            self.written_at = now
            self._start_task(self._retry_until_done(self._write))

    def _request_rosters(self, members):
        """Ask two other daemons for departures, and for members if ``members``."""
        ips = self.directory.other_addresses()
        self.directory.request_roster(random.sample(ips, min(2, len(ips))), members)

    def _start_task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


def _suspect_time_left_s(suspect):
    """Return the time until a stored suspect expires; clocks may differ a little."""
    age_s = max(0.0, time.time() - suspect.changed_ms / 1000)
    return SUSPECT_EXPIRY_S - age_s


def _is_later_suspect(value, stored):
    """Return whether a value is later than the stored one, which may be None."""
    suspect = decode_suspect(value)
    if stored is None:
        return suspect.count > 0
    known = decode_suspect(stored)
    return known is None or known.changed_ms < suspect.changed_ms


def _departure_key(departed):
    """Return the key of the row of a departure.

    Each departure has a row of its own: a call of the store may take effect late, and
    must not replace the departure of a later run.
    """
    run = f"{departed.identity}\n{departed.born_ms}\n{departed.before_ms}"
    digest = hashlib.blake2b(run.encode(), digest_size=8).hexdigest()
    return f"{DEPARTED_PREFIX}{departed.ip}/{digest}"
