"""Announcements of daemons, discovery of peers and loading of the configuration."""

import asyncio
import hashlib
import random
import time

from goldcresthoist.config import ConfigError
from goldcresthoist.table import Always, Key, Put, TableError
from goldcresthoist.telemetry import log_event

__all__ = [
    "Announcements",
    "ConfigurationLoader",
    "announce_with_retries",
    "contact_unknown_daemons",
]

DOMAINS_PARTITION = "failure-domains"
# Maximum number of failure domains from which a sample of announcements is chosen.
MAX_DOMAINS = 100
# A sample contains this many announcements of the own failure domain, and a few of each
# of some other failure domains.
PEERS_FROM_OWN_DOMAIN = 8
PEERS_PER_OTHER_DOMAIN = 2
MAX_OTHER_DOMAINS = 4
INITIAL_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 5.0
# Each daemon reads the current versions from the table at an interval proportional to
# the number of members. The fleet as a whole thus reads them about every 2 s, whatever
# its size, and finds versions that were accepted but never announced.
REFRESH_INTERVAL_PER_MEMBER_S = 2.0
MAX_REFRESH_INTERVAL_S = 3600.0
# The interval between searches for unknown daemons starts short and doubles up to a
# limit. The limit grows with the number of members, so that all daemons together read
# the table only a few times per second.
INITIAL_DISCOVERY_INTERVAL_S = 0.5
MAX_DISCOVERY_INTERVAL_S = 60.0
DISCOVERY_INTERVAL_PER_MEMBER_S = 0.1
# A candidate that is not applied this long after this daemon received it may have been
# accepted by a daemon that ended before announcing it. The table is then checked, since
# every change must be applied within 4 s.
CANDIDATE_CHECK_DELAY_S = 1.0
MAX_CANDIDATE_CHECKS = 10
# Older announcements of instances that are not members are deleted.
MAX_ANNOUNCEMENT_AGE_S = 24 * 3600


class Announcements:
    """Announcements of daemons in the table.

    A daemon that starts finds its first peers through them. There is one item for each
    daemon. Items are sorted by a hash of the instance name,
    so that a read from a random sort key returns randomly chosen daemons.

    Parameters
    ----------
    table : TableClient
    settings : Settings
    """

    def __init__(self, table, settings):
        self.table = table
        self.settings = settings
        self.partition = _partition(settings.failure_domain)
        self.key = Key(self.partition, _sort_key(settings.instance))

    async def announce(self):
        """Write the announcement of this daemon. Raises `TableError`."""
        settings = self.settings
        item = {
            "instance": settings.instance,
            "gossip_address": settings.gossip_address,
            "time_s": int(time.time()),
        }
        await self.table.put(Put(self.key, item, Always()))
        domain = Key(DOMAINS_PARTITION, settings.failure_domain)
        if await self.table.get(domain) is None:
            item = {"region": settings.region}
            await self.table.put(Put(domain, item, Always()))

    async def withdraw(self):
        """Delete the announcement of this daemon. Raises `TableError`."""
        await self.table.delete(self.key, Always())

    async def sample_peer_addresses(self):
        """Return gossip addresses of randomly chosen daemons. Raises `TableError`."""
        own = self.settings.gossip_address
        addresses = [
            item["gossip_address"] for item in await self.sample_announcements()
        ]
        return [address for address in addresses if address != own]

    async def sample_announcements(self):
        """Return announcements of randomly chosen daemons. Raises `TableError`."""
        items = await self.table.query(DOMAINS_PARTITION, limit=MAX_DOMAINS)
        others = [i["sk"] for i in items if i["sk"] != self.settings.failure_domain]
        chosen = random.sample(others, min(MAX_OTHER_DOMAINS, len(others)))
        found = await self._sample_partition(self.partition, PEERS_FROM_OWN_DOMAIN)
        for domain in chosen:
            found += await self._sample_partition(
                _partition(domain), PEERS_PER_OTHER_DOMAIN
            )
        return found

    async def delete_stale(self, is_known):
        """Delete old announcements of instances that are not members.

        Only a random sample from the failure domain of this daemon is checked. Raises
        `TableError`.

        Parameters
        ----------
        is_known : callable
            Called with an instance; returns whether it is a member.
        """
        min_time_s = time.time() - MAX_ANNOUNCEMENT_AGE_S
        for item in await self._sample_partition(self.partition, PEERS_FROM_OWN_DOMAIN):
            if item["time_s"] < min_time_s and not is_known(item["instance"]):
                await self.table.delete(Key(item["pk"], item["sk"]), Always())

    async def _sample_partition(self, partition, count):
        """Return ``count`` items from a random sort key on, then from the first one on.

        Items may be returned twice when the partition has few of them.
        """
        start = f"{random.getrandbits(64):016x}"
        items = await self.table.query(partition, limit=count, after=start)
        if len(items) < count:
            items += await self.table.query(partition, limit=count - len(items))
        return items


class ConfigurationLoader:
    """Applies the newest accepted configuration in this daemon.

    Parameters
    ----------
    store : ConfigurationStore
    control : ControlPlane
    membership : Membership
    """

    def __init__(self, store, control, membership):
        self.store = store
        self.control = control
        self.membership = membership
        self.holder = control.fetcher.holder
        self.candidate_tasks = set()
        control.service.on_candidate = self.watch_candidate

    async def load_initial(self):
        """Wait until the newest available configuration is applied.

        If the table is available, these are the current versions in the table. If not,
        they are the highest versions that reachable daemons report. If neither is
        available, the attempts are repeated.
        """
        pause_s = INITIAL_RETRY_DELAY_S
        while not (await self._load_from_table() or await self._load_from_peers()):
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(MAX_RETRY_DELAY_S, pause_s * 1.5)

    async def refresh(self):
        """Load new versions from the table periodically, until cancelled."""
        while True:
            members = self.membership.alive_count()
            period_s = min(
                MAX_REFRESH_INTERVAL_S, REFRESH_INTERVAL_PER_MEMBER_S * members
            )
            await asyncio.sleep(period_s * random.uniform(0.5, 1.5))
            await self._load_from_table()

    def watch_candidate(self, team, version):
        """Check in the table whether a candidate that was received is accepted.

        A candidate is a version that was sent to the daemons but is not yet known to be
        accepted. The check runs in a task and applies the version if it is accepted.
        """
        task = asyncio.get_running_loop().create_task(
            self._poll_candidate(team, version)
        )
        self.candidate_tasks.add(task)
        task.add_done_callback(self.candidate_tasks.discard)

    async def _poll_candidate(self, team, version):
        """Load the current version of a team once it is at least ``version``.

        The table is read at doubling intervals, at most `MAX_CANDIDATE_CHECKS` times.
        """
        pause_s = CANDIDATE_CHECK_DELAY_S
        for _ in range(MAX_CANDIDATE_CHECKS):
            await asyncio.sleep(pause_s * random.uniform(0.8, 1.2))
            if self.holder.version_of(team) >= version:
                return
            try:
                current = await self.store.current(team)
            except ConfigError:
                # The table is unavailable, so the result is not known yet.
                pause_s *= 2
                continue
            if current is not None and current.version >= version:
                await self._load_content(current)
            pause_s *= 2

    async def _load_from_table(self):
        """Load the current versions from the table; return whether all are applied."""
        try:
            current = await self.store.all_current()
        except ConfigError as exc:
            log_event("warning", "configuration table unavailable", error=exc)
            return False
        outdated = self._outdated_versions(current)
        if outdated and self.membership.random_members(1):
            await self.control.catch_up()
            outdated = self._outdated_versions(current)
        for version in outdated:
            await self._load_content(version)
        return not self._outdated_versions(current)

    async def _load_content(self, version):
        try:
            content = await self.store.content(version.digest)
        except ConfigError as exc:
            log_event("warning", "configuration content unavailable", error=exc)
            return
        self.control.fetcher.put(version.team, version.version, content)

    async def _load_from_peers(self):
        """Load the highest versions that reachable daemons report.

        Returns whether the `CatchUpResult` is complete; False if no daemon is known.
        """
        if not self.membership.random_members(1):
            return False
        caught_up = await self.control.catch_up()
        return caught_up.complete

    def _outdated_versions(self, current):
        return [
            version
            for version in current.values()
            if self.holder.version_of(version.team) < version.version
        ]


async def contact_unknown_daemons(announcements, membership):
    """Contact announced daemons that are not members yet, until cancelled.

    A daemon joins through the first peer that responds. Daemons that start at the same
    time can therefore form separate groups, which are merged through the announcements.
    """
    pause_s = INITIAL_DISCOVERY_INTERVAL_S
    while True:
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
        try:
            items = await announcements.sample_announcements()
        except TableError:
            continue
        for item in items:
            if membership.member(item["instance"]) is None:
                membership.send_join_to(item["gossip_address"])
        members = membership.alive_count()
        longest_s = max(
            MAX_DISCOVERY_INTERVAL_S, DISCOVERY_INTERVAL_PER_MEMBER_S * members
        )
        pause_s = min(longest_s, 2 * pause_s)


async def announce_with_retries(announcements):
    """Announce this daemon; retry while the table is unavailable."""
    pause_s = INITIAL_RETRY_DELAY_S
    while True:
        try:
            await announcements.announce()
            return
        except TableError as exc:
            log_event("warning", "announcement not written", error=exc)
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
        pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)


def _partition(failure_domain):
    return f"daemons#{failure_domain}"


def _sort_key(instance):
    return f"{hashlib.blake2b(instance.encode(), digest_size=8).hexdigest()}#{instance}"
