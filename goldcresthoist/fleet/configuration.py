"""Distribution of the newest configuration.

A few daemons watch the store and report the version that they have; the other daemons
fetch a newer version from them.
"""

import asyncio
import random
import zlib
from dataclasses import dataclass

from goldcresthoist.clock import monotonic
from goldcresthoist.fleet.drained_domains import DrainedDomains
from goldcresthoist.fleet.messages import VersionNotice, VersionReport
from goldcresthoist.links.errors import LinkError
from goldcresthoist.links.frames import ConfigurationContent
from goldcresthoist.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    HistoryGone,
    OutcomeUnknown,
    PlatformFormatError,
    StoreError,
    StorePosition,
    decode_configuration,
)
from goldcresthoist.supervision import keep_running

__all__ = ["ConfigurationWatch"]

# Number of daemons that watch the store at the same time. With a single watcher, its
# loss would be detected only when the version known to the others is already stale.
WATCHER_COUNT = 2

# A change must be in force at every daemon within 2 s of the store's acknowledgement.
# `LONG_POLL_S`, `REPORT_INTERVAL_S` and `REPORT_VALIDITY_S` are set accordingly.

# Longest time for which the store delays the response to a long poll when nothing
# changes. A watcher thus confirms its version at least this often.
LONG_POLL_S = 1.0
# Interval between the version reports that a watcher sends to the other daemons.
REPORT_INTERVAL_S = 0.3
# A daemon counts as a watcher only while its last report was received, and the version
# in it confirmed by the store, less than this time ago.
REPORT_VALIDITY_S = 1.5

# Pause after a change, so that changes in quick succession are read in one call.
CHANGE_BATCH_S = 0.3

# When watchers are lost, the other daemons take over in the order of their ranks, each
# one step after the previous one, so that most of them receive the report of a new
# watcher before their own turn. All daemons after the last step take over together.
TAKEOVER_STEP_S = 0.05
MAX_TAKEOVER_STEPS = 8
# Interval at which a daemon that does not watch checks whether it has to.
ROLE_CHECK_INTERVAL_S = 0.1

# While the store is unavailable, the first `WATCHER_COUNT` daemons by rank retry at
# this interval, and so does a daemon that has received no report for
# `REPORT_VALIDITY_S`.
RETRY_INTERVAL_S = 0.4
# The other daemons together retry at this rate, regardless of the size of the fleet.
FLEET_RETRIES_PER_S = 6.0

# Largest number of unknown kinds and fields that the log line of a version lists.
MAX_LOGGED_UNKNOWN = 10
FETCH_TIMEOUT_S = 0.4
# Time for which a daemon waits for a newer version from its `Directory.source`, after
# which it fetches the version from the watcher that has reported it.
SOURCE_WAIT_S = 0.25
# Mean number of daemons that answer a report of an older version than their own.
OFFERS_PER_REPORT = 4.0
# When no daemon can be reached, the store is read instead. The reads of the whole fleet
# are spread so that there are this many a second.
FLEET_READS_PER_S = 2000.0
# Limit on the decompressed size of a configuration received from another daemon.
MAX_CONTENT_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class _WatcherReport:
    """Times of the latest `VersionReport` of one daemon, on the monotonic clock.

    ``received_at`` is the time at which it was received, ``watched_at`` the one at
    which the store last responded to that daemon; minus infinity if it has not.
    ``is_behind`` tells whether its version was older than the one of this daemon.
    """

    received_at: float
    watched_at: float
    is_behind: bool


class ConfigurationWatch:
    """Keeps the newest known configuration; its version never decreases.

    Parameters
    ----------
    directory : Directory
    store : StoreClient
    fetch : coroutine function
        ``fetch(ip) -> ConfigurationContent`` requests the content from another daemon;
        raises `LinkError` or `OSError` when that fails.
    log
        Has ``event(name, **fields)``.
    counters
        Has ``add(name, amount=1, **labels)``.
    pauses : PauseDetector

    Attributes
    ----------
    table : RoutingTable or None
        None until the first configuration is known.
    version : int
        Version of the configuration; -1 until the first one is known.
    content : bytes
        The configuration, compressed with zlib; empty until the first one is known.
    cursor : StorePosition or None
        Position of the store up to which its changes have been processed; None when the
        rows have to be read again.
    drained : DrainedDomains
    on_routing_table : callable or None
        Called with each new `RoutingTable`.
    on_store_recovered : callable or None
        Called without arguments when the store responds again after failed calls.
    on_store_restored : callable or None
        Called without arguments when the store has been restored from a copy.
    era : int
        Newest known era of the store; 0 until one is known.
    failures : int
        Consecutive failed calls to the store.
    watching_store : bool
        Whether this daemon is one of the watchers.
    confirmed_at : float
        Monotonic time at which the store last confirmed that `version` is the newest;
        minus infinity when it has not yet.
    watched_at : float
        Monotonic time at which the store last responded to this daemon as a watcher;
        minus infinity when it has not yet. It is later than `confirmed_at` while the
        newest configuration is malformed.
    newest_malformed : bool
        Whether the newest configuration in the store is malformed. The last valid one
        is in force then, and is not confirmed as the newest.
    reports : dict
        The latest `_WatcherReport` by the address of its sender.
    newer_known_since : float or None
        Monotonic time since which a newer version, which the store had confirmed, is
        known from other daemons and not in force here; None when there is none.
    shortfall_since : float or None
        Monotonic time since which fewer than `WATCHER_COUNT` daemons ranked before this
        one have been watching the store; None while there are enough.
    """

    def __init__(self, directory, store, fetch, log, counters, pauses):
        self.directory = directory
        self.store = store
        self.fetch = fetch
        self.log = log
        self.counters = counters
        self.pauses = pauses
        self.table = None
        self.version = -1
        self.content = b""
        self.confirmed_at = float("-inf")
        self.watched_at = float("-inf")
        self.newest_malformed = False
        self.cursor = None
        self.reports = {}
        self.drained = DrainedDomains()
        self.newer_known_since = None
        self.shortfall_since = None
        self.era = 0
        self.failures = 0
        self.watching_store = False
        self.fetch_task = None
        self.fetch_handle = None
        self.on_routing_table = None
        self.on_store_recovered = None
        self.on_store_restored = None
        self.tasks = []
        directory.channel.handlers[VersionReport] = self._on_version_report
        directory.channel.handlers[VersionNotice] = self._on_version_notice

    def start(self):
        """Start the tasks that watch the store and report the version."""
        loop = asyncio.get_running_loop()
        self.shortfall_since = monotonic()
        parts = {"watch": self._run, "version-reports": self._report_periodically}
        self.tasks = [
            loop.create_task(keep_running(name, run, self.log, self.counters))
            for name, run in parts.items()
        ]

    async def close(self):
        """Stop all tasks."""
        if self.fetch_handle is not None:
            self.fetch_handle.cancel()
        for task in (*self.tasks, self.fetch_task):
            if task is not None:
                task.cancel()
        # This lets the tasks end.
        await asyncio.sleep(0)

    def is_first_watcher(self):
        """Return whether this daemon is the watcher with the lowest rank."""
        return self.watching_store and not self._watchers_before(monotonic())

    def watchers(self):
        """Return the addresses of the other daemons that watch the store."""
        now = monotonic()
        return [
            ip
            for ip, report in self.reports.items()
            if now - report.received_at < REPORT_VALIDITY_S
        ]

    def age_s(self, now):
        """Return the time since the version was confirmed as the newest, in seconds.

        It is infinite when the store has not confirmed a version yet. ``now`` is the
        current monotonic time.
        """
        return now - self.confirmed_at

    def behind_s(self, now):
        """Return the time for which a newer version has been known, in seconds.

        It is 0 while the newest known version is in force. ``now`` is the current
        monotonic time.
        """
        since = self.newer_known_since
        return 0.0 if since is None else now - since

    def current_content(self):
        """Return the `ConfigurationContent` to send to a daemon that fetches it."""
        return ConfigurationContent(self.version, self._age_ms(), self.content)

    def set_era(self, era):
        """Take note of a newer era of the store; others are ignored."""
        if era <= self.era:
            return
        if self.era:
            self.counters.add("store_restores")
            self.log.event(
                "store restored",
                era=era,
                was=self.era,
                cursor=self.cursor and self.cursor.version,
                version=self.version,
            )
            if self.on_store_restored is not None:
                self.on_store_restored()
        self.era = era

    async def _run(self):
        while True:
            if not self._should_watch(monotonic()):
                self.watching_store = False
                self.failures = 0
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            self._begin_watching()
            try:
                await self._poll_store()
            except (StoreError, PlatformFormatError) as exc:
                self.failures += 1
                if self.failures == 1:
                    self.log.event("store lost", error=str(exc))
                    if isinstance(exc, OutcomeUnknown):
                        # The connection may have fallen silent, and a new one may work.
                        continue
                await asyncio.sleep(self._retry_pause_s())
            else:
                self.failures = 0

    def _begin_watching(self):
        if not self.watching_store:
            self.watching_store = True
            rank = self.directory.rank(self.directory.own.ip)
            self.log.event("follows store", rank=rank, version=self.version)

    def _should_watch(self, now):
        before = self._watchers_before(now)
        if before >= WATCHER_COUNT:
            self.shortfall_since = None
            return False
        if self.shortfall_since is None:
            self.shortfall_since = now
        rank = self.directory.rank(self.directory.own.ip)
        step = min(max(0, rank - WATCHER_COUNT + 1), MAX_TAKEOVER_STEPS)
        return now - self.shortfall_since >= step * TAKEOVER_STEP_S

    def _watchers_before(self, now):
        own = self.directory.rank(self.directory.own.ip)
        return sum(
            1
            for ip, report in self.reports.items()
            if now - report.watched_at < REPORT_VALIDITY_S
            and now - report.received_at < REPORT_VALIDITY_S
            and self.directory.rank(ip) < own
        )

    def _retry_pause_s(self):
        now = monotonic()
        rank = self.directory.rank(self.directory.own.ip)
        no_recent_reports = all(
            now - item.received_at > REPORT_VALIDITY_S for item in self.reports.values()
        )
        pause_s = RETRY_INTERVAL_S
        if rank >= WATCHER_COUNT and not no_recent_reports:
            pause_s = max(
                RETRY_INTERVAL_S, len(self.directory.members) / FLEET_RETRIES_PER_S
            )
        return pause_s * random.uniform(0.6, 1.4)

    async def _poll_store(self):
        """Make one call to the store and process its response.

        When the store no longer has the changes since `cursor`, or has been restored
        since, the next call reads the rows again.

        Raises
        ------
        StoreError, PlatformFormatError
            When the store did not respond as expected.
        """
        cursor = self.cursor
        is_complete = cursor is None or self.table is None
        try:
            if is_complete:
                page = await self.store.rows(CONFIGURATION_TABLE, CONFIGURATION_KEY)
            else:
                # After failed calls, a response shows that the store is back.
                wait_s = 0.0 if self.failures else LONG_POLL_S
                page = await self.store.wait_for_changes(
                    CONFIGURATION_TABLE, cursor.version, wait_s
                )
        except HistoryGone:
            page = None
            self.log.event("store history gone", cursor=cursor.version)
        if self.failures:
            self.log.event("store regained", failures=self.failures)
            if self.on_store_recovered is not None:
                self.on_store_recovered()
        if page is None or not (is_complete or page.era == cursor.era):
            # Changes up to the version of the cursor are not in a page of another era,
            # although they may be new ones with versions that were given out again.
            self.cursor = None
            return
        await self._process_page(page, is_complete)

    async def _process_page(self, page, is_complete=False):
        self.cursor = max(page.position, self.cursor or page.position)
        self.watched_at = self._apply_page(page, is_complete)
        if page.rows:
            self._send_version_report()
            await asyncio.sleep(CHANGE_BATCH_S)
        elif self.table is None:
            # No configuration has been written yet. Without the pause, the first page
            # would be requested in a loop.
            await asyncio.sleep(CHANGE_BATCH_S)

    def _apply_page(self, page, is_complete):
        """Put the newest configuration in force; return the time of the response.

        ``is_complete`` tells whether the page has all rows, and not changes only.
        """
        if is_complete:
            self.drained.apply_rows(page)
        else:
            self.drained.apply_changes(page)
        for row in page.rows:
            if row.key == CONFIGURATION_KEY and not row.removed:
                self.newest_malformed = not self._apply(row.value, row.version)
        responded_at = monotonic() - self.pauses.input_age_s()
        if not self.newest_malformed:
            self.confirmed_at = responded_at
        return responded_at

    def _apply(self, content, row_version=None):
        """Put a configuration in force unless it is older; return whether it is valid.

        A malformed one changes nothing. ``row_version`` is that of its row, for the
        log, and None when another daemon has sent the configuration.
        """
        try:
            table = decode_configuration(content)
        except PlatformFormatError as exc:
            self.log.event("configuration ignored", error=str(exc))
            self.counters.add("configurations_malformed")
            return False
        if table.version <= self.version:
            return True
        count = len(table.routes)
        behind_s = round(self.behind_s(monotonic()), 2)
        self.log.event(
            "configuration",
            version=table.version,
            was=self.version,
            routes=count,
            behind_s=behind_s,
            era=self.era,
            row=row_version,
        )
        if table.unknown:
            self.log.event(
                "configuration not fully understood",
                version=table.version,
                count=len(table.unknown),
                unknown=table.unknown[:MAX_LOGGED_UNKNOWN],
            )
        self.version = table.version
        self.newer_known_since = None
        self.table = table
        self.content = zlib.compress(content)
        if self.on_routing_table is not None:
            self.on_routing_table(table)
        return True

    async def _report_periodically(self):
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S * random.uniform(0.9, 1.1))
            self.drained.expire_kept()
            if self.watching_store:
                self._send_version_report()

    def _send_version_report(self):
        own = self.directory.own.ip
        report = VersionReport(
            own,
            self.version,
            self._age_ms(),
            _age_ms(self.watched_at),
            self.drained.position.version,
            tuple(sorted(self.drained.listed)),
            self.drained.position.era,
        )
        self.directory.channel.send(report, self.directory.other_addresses())

    def _age_ms(self):
        return -1 if self.version < 0 else _age_ms(self.confirmed_at)

    def _on_version_report(self, message, sender):
        if sender != message.ip:
            return
        now = monotonic()
        sent_at = now - self.pauses.input_age_s()
        confirmed_at = float("-inf")
        if message.age_ms >= 0:
            confirmed_at = sent_at - message.age_ms / 1000.0
        watched_at = float("-inf")
        if message.watch_age_ms >= 0:
            watched_at = sent_at - message.watch_age_ms / 1000.0
        watched_at = max(watched_at, confirmed_at)
        is_behind = 0 <= message.version < self.version
        previous = self.reports.get(message.ip)
        self.reports[message.ip] = _WatcherReport(now, watched_at, is_behind)
        if is_behind and previous is not None and previous.is_behind:
            self._offer_version(message.ip)
        self.set_era(message.domains_era)
        self.drained.merge(
            message.drained_domains,
            StorePosition(message.domains_era, message.domains_revision),
        )
        if message.version == self.version:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        elif message.version > self.version and now - confirmed_at < REPORT_VALIDITY_S:
            # Only a version that the store confirmed recently is fetched. During an
            # outage of the store, running daemons continue with the version that they
            # have, but a daemon that starts must not adopt one that may be outdated.
            self._plan_fetch(message.ip, message.version)

    def _offer_version(self, ip):
        """Send a notice to a watcher that has an older version.

        The store may have been restored from a copy without the version of this daemon,
        and the watcher have started since.
        """
        if random.random() * len(self.directory.members) < OFFERS_PER_REPORT:
            self.log.event("configuration offered", ip=ip, version=self.version)
            notice = VersionNotice(self.directory.own.ip, self.version, self._age_ms())
            self.directory.channel.send(notice, (ip,))

    def _on_version_notice(self, message, sender):
        if sender != message.ip:
            return
        age_s = message.age_ms / 1000.0 + self.pauses.input_age_s()
        is_newest = message.age_ms >= 0 and age_s < REPORT_VALIDITY_S
        # A daemon that has a configuration never adopts an older one this way.
        if is_newest or self.version >= 0:
            self._start_fetch(message.version, (message.ip,))

    def _plan_fetch(self, watcher, version):
        """Fetch a newer version from `Directory.source`, or else from a watcher."""
        source = self.directory.source()
        if source is None or source == watcher:
            self._start_fetch(version, (watcher,))
        elif self.version < 0:
            # The source sends notices of new versions only. After a start of the whole
            # fleet it may have none yet.
            self._start_fetch(version, (source, watcher))
        elif self.fetch_handle is None:
            self.fetch_handle = asyncio.get_running_loop().call_later(
                SOURCE_WAIT_S, self._start_fetch, version, (watcher,)
            )

    def _start_fetch(self, version, sources):
        """Fetch a version from one of some daemons unless it is known by now."""
        if self.fetch_handle is not None:
            self.fetch_handle.cancel()
            self.fetch_handle = None
        if version <= self.version:
            return
        if self.newer_known_since is None:
            self.newer_known_since = monotonic()
        if self.fetch_task is None or self.fetch_task.done():
            loop = asyncio.get_running_loop()
            self.fetch_task = loop.create_task(self._fetch(version, sources))

    async def _fetch(self, version, sources):
        for ip in sources:
            await self._fetch_from(ip, version)
            if self.version >= version:
                break
        else:
            await self._read_store(version)
        if self.version >= version:
            self._notify_dependents()

    async def _read_store(self, version):
        """Read the store, as no daemon that has a newer version can be reached."""
        spread_s = len(self.directory.members) / FLEET_READS_PER_S
        await asyncio.sleep(random.uniform(0.0, spread_s))
        if self.version >= version:
            return
        try:
            page = await self.store.rows(CONFIGURATION_TABLE, CONFIGURATION_KEY)
        except (StoreError, PlatformFormatError) as exc:
            self.log.event("configuration not read", version=version, error=str(exc))
        else:
            self._apply_page(page, True)

    async def _fetch_from(self, ip, version):
        """Fetch the configuration of a daemon; one older than ``version`` is dropped.

        A daemon that starts must not adopt an older one, and others may have it yet.
        """
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                reply = await self.fetch(ip)
            if reply.content and reply.version >= version > self.version:
                if self._apply(_decompress(reply.content)):
                    age_s = reply.age_ms / 1000.0 + self.pauses.input_age_s()
                    self.confirmed_at = (
                        monotonic() - age_s if reply.age_ms >= 0 else float("-inf")
                    )
        except (TimeoutError, LinkError, OSError, zlib.error, ValueError) as exc:
            self.log.event(
                "configuration not fetched",
                ip=ip,
                version=version,
                behind_s=round(self.behind_s(monotonic()), 2),
                error=repr(exc),
            )

    def _notify_dependents(self):
        notice = VersionNotice(self.directory.own.ip, self.version, self._age_ms())
        self.directory.channel.send(notice, self.directory.dependents())


def _age_ms(since):
    """Return the milliseconds since a monotonic time; -1 for minus infinity."""
    return -1 if since == float("-inf") else int((monotonic() - since) * 1000)


def _decompress(content):
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(content, MAX_CONTENT_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError(f"the configuration is longer than {MAX_CONTENT_BYTES} bytes")
    return data
