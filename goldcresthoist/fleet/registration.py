"""The row of a daemon in the store, and what it reads of the others' rows."""

import asyncio
import random
from time import monotonic

from goldcresthoist.fleet.messages import (
    Announce,
    Departed,
    MemberRecord,
    Renew,
    decode_record,
    encode_record,
)
from goldcresthoist.platform import PlatformFormatError, StoreError

__all__ = ["MEMBER_TABLE", "Registration"]

MEMBER_TABLE = "goldcresthoist"
MEMBER_PREFIX = "member/"
DEPARTED_PREFIX = "departed/"
# One row a service whose upstreams turn slower when nearly full; its value is empty.
KNEE_PREFIX = "knee/"

# The first retries follow quickly, so that the row is back within two seconds of the
# store's return; the later ones are spread over the fleet.
RETRY_MIN_S = 0.3
RETRY_MAX_S = 1.2
# Datagrams may be lost.
ANNOUNCE_AGAIN_S = (0.0, 0.3, 1.0)
# A daemon that knows nobody reads the rows again after this long.
ALONE_RETRY_S = 1.0
# One daemon compares the rows with the members this often.
COMPARE_INTERVAL_S = 6.0
# A row that was asked for again is not written more often than this.
RENEW_INTERVAL_S = 2.0
# An acknowledgement of a departure waits this long for the store at most; the upstream
# waits one second for it.
DEPARTURE_TIMEOUT_S = 0.4


class Registration:
    """Writes the own row, reads those of the others and keeps both in step.

    Rows only introduce daemons to each other. They are not renewed while the daemon
    lives, and a row that is lost, forged or out of date removes no member.

    Parameters
    ----------
    directory : Directory
    store : StoreClient
    watch : ConfigurationWatch
        Tells whether this daemon is the first of those that follow the store.
    log
        Has ``event(name, **fields)``.

    Attributes
    ----------
    loaded : asyncio.Event
        Set when the rows were read once, so that earlier departures are known.
    """

    def __init__(self, directory, store, watch, log):
        self.directory = directory
        self.store = store
        self.watch = watch
        self.log = log
        self.loaded = asyncio.Event()
        self.written_at = 0.0
        self.tasks = set()
        directory.channel.handlers[Renew] = lambda *_: self._renew()

    async def run(self):
        """Join the fleet, then compare rows and members from time to time."""
        await self._until_done(self._write)
        await self._until_done(self._read)
        for pause_s in ANNOUNCE_AGAIN_S:
            await asyncio.sleep(pause_s)
            self.directory.announce()
            self._ask_some()
        while not self.directory.others():
            await asyncio.sleep(ALONE_RETRY_S * random.uniform(0.8, 1.2))
            await self._until_done(self._read)
            self.directory.announce()
        while True:
            await asyncio.sleep(COMPARE_INTERVAL_S * random.uniform(0.9, 1.1))
            if self.watch.is_first():
                await self._try(self._compare)

    def store_returned(self):
        """Compare rows and members now: some may have gone with the outage."""
        if self.watch.is_first():
            self._start(self._try(self._compare))

    async def record_departure(self, departed):
        """Keep a departure in the store; give up after `DEPARTURE_TIMEOUT_S`."""
        key = DEPARTED_PREFIX + departed.ip
        values = {key: encode_record(departed)}
        try:
            await self.store.put(MEMBER_TABLE, values, DEPARTURE_TIMEOUT_S)
        except StoreError as exc:
            # The other daemons were told as well, and remind a restarted one.
            self.log.event("departure not stored", error=str(exc))

    def record_knee(self, service):
        """Keep in the store that a service's upstreams turn slower when nearly full.

        After the loss of all daemons they would else be filled until that is found
        again, at the moment at which they are slowest.
        """

        async def write_knee():
            await self.store.put(MEMBER_TABLE, {KNEE_PREFIX + service: b""})

        self._start(self._until_done(write_knee))

    async def close(self):
        """Stop what runs in the background."""
        for task in tuple(self.tasks):
            task.cancel()

    async def _until_done(self, action):
        pause_s = RETRY_MIN_S
        while not await self._try(action):
            await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
            pause_s = min(RETRY_MAX_S, pause_s * 1.5)

    async def _try(self, action):
        try:
            await action()
        except (StoreError, PlatformFormatError) as exc:
            self.log.event("store call failed", action=action.__name__, error=str(exc))
            return False
        return True

    async def _write(self):
        own = self.directory.own
        values = {MEMBER_PREFIX + own.ip: encode_record(own)}
        await self.store.put(MEMBER_TABLE, values)
        self.written_at = monotonic()

    async def _read(self):
        """Take over the rows; return the addresses that have one."""
        present = set()
        first, following = None, ""
        while following != first:
            page = await self.store.rows(MEMBER_TABLE, following)
            for row in page.rows:
                self._take_row(row, present)
            first, following = following, page.following
            if not following:
                break
        self.loaded.set()
        return present

    def _take_row(self, row, present):
        if row.key.startswith(MEMBER_PREFIX):
            record = decode_record(row.value)
            if record is None or row.key != MEMBER_PREFIX + record.ip:
                self.log.event("row ignored", key=row.key)
                return
            present.add(record.ip)
            self.directory.learn(record)
        elif row.key.startswith(DEPARTED_PREFIX):
            departed = decode_record(row.value, Departed)
            if departed is not None and row.key == DEPARTED_PREFIX + departed.ip:
                if departed.ip not in self.directory.departures:
                    self.directory.learn_departure(departed)
        elif row.key.startswith(KNEE_PREFIX):
            self.directory.learn_knee(row.key.removeprefix(KNEE_PREFIX))

    async def _compare(self):
        known = set(self.directory.members)
        present = await self._read()
        for ip in present - known:
            # The newcomer may not have found its way to the others.
            record = self.directory.members.get(ip)
            if isinstance(record, MemberRecord):
                self.directory.channel.send(Announce(record), known)
                self.directory.announce((ip,))
        own = self.directory.own.ip
        if own not in present:
            await self._write()
        missing = known - present - {own}
        if missing:
            self.log.event("rows missing", count=len(missing))
            self.directory.channel.send(Renew(), missing)

    def _renew(self):
        now = monotonic()
        if now - self.written_at >= RENEW_INTERVAL_S:
            self.written_at = now
            self._start(self._until_done(self._write))

    def _ask_some(self):
        others = self.directory.others()
        self.directory.request_roster(random.sample(others, min(2, len(others))))

    def _start(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
