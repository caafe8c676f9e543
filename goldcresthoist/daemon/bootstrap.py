"""First peers and first configuration of a daemon, and its announcement."""

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
    "announce_until_written",
    "meet_announced",
]

DOMAINS_PARTITION = "failure-domains"
MOST_DOMAINS = 100
PEERS_OF_OWN_DOMAIN = 8
PEERS_OF_OTHER_DOMAINS = 2
OTHER_DOMAINS = 4
RETRY_S = 0.5
RETRY_LIMIT_S = 5.0
# All daemons together read the current versions about this often, however many there
# are, so that a version that was accepted and never announced is found.
FLEET_REFRESH_S = 2.0
MOST_REFRESH_S = 3600.0
# The first looks for unknown daemons follow each other quickly, the later ones slowly
# enough that all daemons together read the table a few times a second.
FIRST_MEETING_S = 0.5
LONGEST_MEETING_S = 60.0
FLEET_MEETING_S = 0.1
# A candidate that is not in force this long after it was handed over may have been
# accepted by a daemon that then ended; every change must be in force within 4 s.
CANDIDATE_CHECK_S = 1.0
CANDIDATE_CHECKS = 10
# An announcement of a member that is not known and older than this is deleted.
STALE_ANNOUNCEMENT_S = 24 * 3600


class Announcements:
    """Where daemons find their first peers: one table item for each daemon.

    Items are sorted by a hash of the instance, so that a read from a random place
    gives random daemons.

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
        """Write the own announcement. Raises `TableError`."""
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
        """Delete the own announcement. Raises `TableError`."""
        await self.table.delete(self.key, Always())

    async def first_peers(self):
        """Return gossip addresses of some daemons. Raises `TableError`."""
        own = self.settings.gossip_address
        addresses = [item["gossip_address"] for item in await self.some()]
        return [address for address in addresses if address != own]

    async def some(self):
        """Return announcements of some daemons. Raises `TableError`."""
        items = await self.table.query(DOMAINS_PARTITION, limit=MOST_DOMAINS)
        others = [i["sk"] for i in items if i["sk"] != self.settings.failure_domain]
        chosen = random.sample(others, min(OTHER_DOMAINS, len(others)))
        found = await self._some(self.partition, PEERS_OF_OWN_DOMAIN)
        for domain in chosen:
            found += await self._some(_partition(domain), PEERS_OF_OTHER_DOMAINS)
        return found

    async def delete_stale(self, is_known):
        """Delete some announcements of instances that no longer exist."""
        oldest = time.time() - STALE_ANNOUNCEMENT_S
        for item in await self._some(self.partition, PEERS_OF_OWN_DOMAIN):
            if item["time_s"] < oldest and not is_known(item["instance"]):
                await self.table.delete(Key(item["pk"], item["sk"]), Always())

    async def _some(self, partition, count):
        start = f"{random.getrandbits(64):016x}"
        items = await self.table.query(partition, limit=count, after=start)
        if len(items) < count:
            items += await self.table.query(partition, limit=count - len(items))
        return items


class ConfigurationLoader:
    """Puts the newest accepted configuration in force in this daemon.

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
        self.following = set()
        control.service.on_candidate = self.check_candidate

    async def load_first(self):
        """Return once the configuration here is the newest that can be known.

        With the table up that is what the table names. With the table away it is the
        highest version that daemons of the failure domains in reach report; without
        any of them the daemon goes on trying.
        """
        pause_s = RETRY_S
        while not (await self._load_from_table() or await self._load_from_peers()):
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(RETRY_LIMIT_S, pause_s * 1.5)

    async def refresh(self):
        """Compare with the table now and then, for ever."""
        while True:
            members = self.membership.live_count()
            period_s = min(MOST_REFRESH_S, FLEET_REFRESH_S * members)
            await asyncio.sleep(period_s * random.uniform(0.5, 1.5))
            await self._load_from_table()

    def check_candidate(self, team, version):
        """Look into the table for a candidate that was handed to this daemon."""
        task = asyncio.get_running_loop().create_task(self._follow(team, version))
        self.following.add(task)
        task.add_done_callback(self.following.discard)

    async def _follow(self, team, version):
        pause_s = CANDIDATE_CHECK_S
        for _ in range(CANDIDATE_CHECKS):
            await asyncio.sleep(pause_s * random.uniform(0.8, 1.2))
            if self.holder.version_of(team) >= version:
                return
            try:
                current = await self.store.current(team)
            except ConfigError:
                # The table is away, so the question stays open.
                pause_s *= 2
                continue
            if current is not None and current.version >= version:
                await self._load_content(current)
            pause_s *= 2

    async def _load_from_table(self):
        """Return whether all versions that the table names are in force here."""
        try:
            current = await self.store.all_current()
        except ConfigError as exc:
            log_event("warning", "configuration table unavailable", error=exc)
            return False
        behind = self._behind(current)
        if behind and self.membership.random_members(1):
            await self.control.catch_up()
            behind = self._behind(current)
        for version in behind:
            await self._load_content(version)
        return not self._behind(current)

    async def _load_content(self, version):
        try:
            content = await self.store.content(version.digest)
        except ConfigError as exc:
            log_event("warning", "configuration content unavailable", error=exc)
            return
        self.control.fetcher.put(version.team, version.version, content)

    async def _load_from_peers(self):
        if not self.membership.random_members(1):
            return False
        caught_up = await self.control.catch_up()
        return caught_up.complete

    def _behind(self, current):
        return [
            version
            for version in current.values()
            if self.holder.version_of(version.team) < version.version
        ]


async def meet_announced(announcements, membership):
    """Greet announced daemons that are not known here, for ever.

    A daemon joins the first peer that answers. Daemons that start at the same time can
    so form groups that know nothing of each other; the announcements connect them.
    """
    pause_s = FIRST_MEETING_S
    while True:
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
        try:
            items = await announcements.some()
        except TableError:
            continue
        for item in items:
            if membership.member(item["instance"]) is None:
                membership.greet(item["gossip_address"])
        members = membership.live_count()
        longest_s = max(LONGEST_MEETING_S, FLEET_MEETING_S * members)
        pause_s = min(longest_s, 2 * pause_s)


async def announce_until_written(announcements):
    """Announce this daemon, again and again while the table is away."""
    pause_s = RETRY_S
    while True:
        try:
            await announcements.announce()
            return
        except TableError as exc:
            log_event("warning", "announcement not written", error=exc)
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
        pause_s = min(RETRY_LIMIT_S, pause_s * 2)


def _partition(failure_domain):
    return f"daemons#{failure_domain}"


def _sort_key(instance):
    return f"{hashlib.blake2b(instance.encode(), digest_size=8).hexdigest()}#{instance}"
