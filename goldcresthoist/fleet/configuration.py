"""The newest configuration: followed in the store by few, passed on to the rest."""

import asyncio
import random
import zlib
from dataclasses import dataclass
from time import monotonic

from goldcresthoist.fleet.messages import Beacon
from goldcresthoist.links.errors import LinkError
from goldcresthoist.links.frames import ConfigurationContent
from goldcresthoist.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    HistoryGone,
    PlatformFormatError,
    StoreError,
    decode_configuration,
)

__all__ = ["ConfigurationWatch"]

# Daemons that follow the store at the same time. With one, its loss would be noticed
# only when the others' knowledge is already out of date.
FOLLOWERS = 2
# A change must be in force everywhere within 2 s of the store's acknowledgement. A
# follower hears from the store at least once in this time,
FOLLOW_WAIT_S = 1.0
# tells the others this often,
BEACON_INTERVAL_S = 0.3
# and is no longer relied on when the store confirmed its version longer ago.
FRESH_S = 1.5
# Changes that come faster than this are read together.
CHANGE_PAUSE_S = 0.3
# The next in order take over one after the other, so that most hear of it first.
TAKEOVER_STEP_S = 0.05
TAKEOVER_STEPS = 8
POLL_S = 0.1
# While the store is away, the first followers call it this often,
RETRY_S = 0.4
# and the others at a rate that does not grow with the fleet, in calls a second.
FLEET_RETRIES_PER_S = 6.0
FETCH_TIMEOUT_S = 0.4
LONGEST_CONTENT_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class _Heard:
    received_at: float
    confirmed_at: float


class ConfigurationWatch:
    """Keeps the newest configuration; its version never goes back.

    Parameters
    ----------
    directory : Directory
    store : StoreClient
    fetch : coroutine function
        ``fetch(ip) -> ConfigurationContent`` asks another daemon.
    log
        Has ``event(name, **fields)``.

    Attributes
    ----------
    table : RoutingTable or None
        None until the first configuration is known.
    on_table : callable or None
        Called with each new `RoutingTable`.
    on_store_return : callable or None
        Called when the store answers after it did not.
    """

    def __init__(self, directory, store, fetch, log):
        self.directory = directory
        self.store = store
        self.fetch = fetch
        self.log = log
        self.table = None
        self.version = -1
        self.content = b""
        self.confirmed_at = float("-inf")
        self.cursor = None
        self.heard = {}
        self.quiet_since = None
        self.failures = 0
        self.following = False
        self.fetching = None
        self.on_table = None
        self.on_store_return = None
        self.tasks = []
        directory.channel.handlers[Beacon] = self._on_beacon

    def start(self):
        """Start to follow the store or those that do."""
        loop = asyncio.get_running_loop()
        self.quiet_since = monotonic()
        self.tasks = [loop.create_task(self._run()), loop.create_task(self._tell())]

    async def close(self):
        """Stop all tasks."""
        for task in (*self.tasks, self.fetching):
            if task is not None:
                task.cancel()
        await asyncio.sleep(0)

    def is_first(self):
        """Return whether no daemon before this one in the order follows the store."""
        return self.following and not self._followers_before(monotonic())

    def age_s(self, now):
        """Return how long ago the version was known to be the newest, in seconds."""
        return now - self.confirmed_at

    def current(self):
        """Return the `ConfigurationContent` for another daemon."""
        return ConfigurationContent(self.version, self._age_ms(), self.content)

    async def _run(self):
        while True:
            if not self._should_follow(monotonic()):
                self.following = False
                self.failures = 0
                await asyncio.sleep(POLL_S)
                continue
            self._become_follower()
            if await self._follow():
                self.failures = 0
            else:
                self.failures += 1
                await asyncio.sleep(self._retry_pause_s())

    def _become_follower(self):
        if not self.following:
            self.following = True
            rank = self.directory.rank(self.directory.own.ip)
            self.log.event("follows store", rank=rank, version=self.version)

    def _should_follow(self, now):
        before = self._followers_before(now)
        if before >= FOLLOWERS:
            self.quiet_since = None
            return False
        if self.quiet_since is None:
            self.quiet_since = now
        rank = self.directory.rank(self.directory.own.ip)
        step = min(max(0, rank - FOLLOWERS + 1), TAKEOVER_STEPS)
        return now - self.quiet_since >= step * TAKEOVER_STEP_S

    def _followers_before(self, now):
        own = self.directory.rank(self.directory.own.ip)
        return sum(
            1
            for ip, heard in self.heard.items()
            if now - heard.confirmed_at < FRESH_S
            and now - heard.received_at < FRESH_S
            and self.directory.rank(ip) < own
        )

    def _retry_pause_s(self):
        now = monotonic()
        rank = self.directory.rank(self.directory.own.ip)
        alone = all(now - item.received_at > FRESH_S for item in self.heard.values())
        pause_s = RETRY_S
        if rank >= FOLLOWERS and not alone:
            pause_s = max(RETRY_S, len(self.directory.members) / FLEET_RETRIES_PER_S)
        return pause_s * random.uniform(0.6, 1.4)

    async def _follow(self):
        """Make one call to the store; return whether it answered."""
        try:
            if self.cursor is None or self.table is None:
                page = await self.store.rows(CONFIGURATION_TABLE, CONFIGURATION_KEY)
            else:
                page = await self.store.follow(
                    CONFIGURATION_TABLE, self.cursor, FOLLOW_WAIT_S
                )
        except HistoryGone:
            self.log.event("store history gone", cursor=self.cursor)
            self.cursor = None
            return True
        except (StoreError, PlatformFormatError) as exc:
            if not self.failures:
                self.log.event("store lost", error=str(exc))
            return False
        if self.failures:
            self.log.event("store regained", failures=self.failures)
            if self.on_store_return is not None:
                self.on_store_return()
        await self._take(page)
        return True

    async def _take(self, page):
        self.cursor = max(page.version, self.cursor or 0)
        for row in page.rows:
            if row.key == CONFIGURATION_KEY and not row.removed:
                self._apply(row.value)
        self.confirmed_at = monotonic()
        if page.rows:
            self._beacon()
            await asyncio.sleep(CHANGE_PAUSE_S)
        elif self.table is None:
            # Nothing has been written yet.
            await asyncio.sleep(CHANGE_PAUSE_S)

    def _apply(self, content):
        try:
            table = decode_configuration(content)
        except PlatformFormatError as exc:
            self.log.event("configuration ignored", error=str(exc))
            return
        if table.version <= self.version:
            return
        count = len(table.routes)
        self.log.event(
            "configuration", version=table.version, was=self.version, routes=count
        )
        self.version = table.version
        self.table = table
        self.content = zlib.compress(content)
        if self.on_table is not None:
            self.on_table(table)

    async def _tell(self):
        while True:
            await asyncio.sleep(BEACON_INTERVAL_S * random.uniform(0.9, 1.1))
            if self.following:
                self._beacon()

    def _beacon(self):
        own = self.directory.own.ip
        beacon = Beacon(own, self.version, self._age_ms())
        self.directory.channel.send(beacon, self.directory.others())

    def _age_ms(self):
        if self.version < 0 or self.confirmed_at == float("-inf"):
            return -1
        return int(self.age_s(monotonic()) * 1000)

    def _on_beacon(self, message, sender):
        if sender != message.ip:
            return
        now = monotonic()
        confirmed_at = float("-inf")
        if message.age_ms >= 0:
            confirmed_at = now - message.age_ms / 1000.0
        self.heard[message.ip] = _Heard(now, confirmed_at)
        if message.version == self.version:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        elif message.version > self.version and now - confirmed_at < FRESH_S:
            # An older process may pass on what it has; a new one must not start with
            # a version that nobody has confirmed lately.
            if self.fetching is None or self.fetching.done():
                loop = asyncio.get_running_loop()
                self.fetching = loop.create_task(self._fetch(message.ip))

    async def _fetch(self, ip):
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                found = await self.fetch(ip)
            if found.content and found.version > self.version:
                self._apply(_decompress(found.content))
                self.confirmed_at = monotonic() - max(0, found.age_ms) / 1000.0
        except (TimeoutError, LinkError, OSError, zlib.error, ValueError) as exc:
            self.log.event("configuration not fetched", ip=ip, error=repr(exc))


def _decompress(content):
    decompressor = zlib.decompressobj()
    found = decompressor.decompress(content, LONGEST_CONTENT_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError(f"a configuration of over {LONGEST_CONTENT_BYTES} bytes")
    return found
