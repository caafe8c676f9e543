"""Tasks that put higher configuration versions in force."""

import asyncio

from loguru import logger

from goldcresthoist.control.errors import ControlError

__all__ = ["ConfigurationFetcher"]

# Several workers, so that one peer that does not answer holds up few versions.
WORKERS = 4
TEAMS_PER_FETCH = 64
FETCH_LIMIT_S = 1.0
RETRY_S = 0.2
MAX_SOURCES = 8


class ConfigurationFetcher:
    """Fetches versions that rumours name, puts them in force and passes them on.

    Parameters
    ----------
    membership : Membership
    holder : ConfigurationHolder
    client : ControlClient
    candidates : dict
        Content by digest that was sent ahead by ``Prepare``.
    """

    def __init__(self, membership, holder, client, candidates=None):
        self.membership = membership
        self.holder = holder
        self.client = client
        self.candidates = {} if candidates is None else candidates
        self.wanted = {}
        self.sources = {}
        self.taken = set()
        self.lists = []
        self.wake = asyncio.Event()
        membership.subscribe_versions(self.learn)

    def learn(self, versions, instance, more=False):
        """Note that an instance has versions in force that are higher than here.

        Parameters
        ----------
        versions : iterable of Version
        instance : str
        more : bool
            The instance has others too; its whole list is fetched.
        """
        for version in versions:
            self._want(version, instance)
        if more and instance not in self.lists:
            self.lists.append(instance)
        self.wake.set()

    async def run(self):
        """Fetch for ever."""
        async with asyncio.TaskGroup() as group:
            for _ in range(WORKERS):
                group.create_task(self._work())

    def put(self, team, version, content, digest=None):
        """Put content in force and announce it; return whether it was accepted."""
        if not self.holder.offer(team, version, content, digest):
            return False
        held = self.holder.in_force(team)
        self.membership.announce_version(team, version, held.digest)
        return True

    async def _work(self):
        while True:
            try:
                await self._work_once()
            except ControlError as exc:
                logger.info("event=configuration_fetch_failed reason={!r}", str(exc))
            except Exception:
                logger.exception("event=configuration_fetch_failed")
                await asyncio.sleep(RETRY_S)

    async def _work_once(self):
        if self.lists:
            await self._fetch_list(self.lists.pop())
            return
        self._take_candidates()
        teams, instance = self._next_batch()
        if not teams:
            self.wake.clear()
            await self.wake.wait()
            return
        try:
            await self._fetch(teams, instance)
        finally:
            self.taken.difference_update(teams)
            self._drop_done()

    def _want(self, version, instance):
        if version.version <= self.holder.version_of(version.team):
            return
        known = self.wanted.get(version.team)
        if known is None or version.version > known.version:
            self.wanted[version.team] = version
            self.sources[version.team] = [instance]
        elif version.version == known.version:
            sources = self.sources[version.team]
            if instance not in sources and len(sources) < MAX_SOURCES:
                sources.append(instance)

    def _take_candidates(self):
        for version in list(self.wanted.values()):
            if content := self.candidates.get(version.digest):
                self.put(version.team, version.version, content, version.digest)
        self._drop_done()

    def _next_batch(self):
        """Return teams that one instance has in force, and that instance."""
        teams, instance = [], None
        for team, sources in self.sources.items():
            if team in self.taken or not sources:
                continue
            instance = instance or sources[-1]
            if instance in sources:
                teams.append(team)
            if len(teams) == TEAMS_PER_FETCH:
                break
        self.taken.update(teams)
        return teams, instance

    async def _fetch(self, teams, instance):
        """Fetch from one instance and stop asking it for what it does not deliver."""
        missing = set(teams)
        try:
            items = await self._fetch_from(instance, teams)
            refused = {item.team for item in items if not self._accept(item)}
            missing = refused if items else missing
        finally:
            self._drop_source(instance, missing)

    async def _fetch_from(self, instance, teams):
        member = self.membership.member(instance)
        if member is None:
            return ()
        async with self.client.connect(member) as peer:
            return await peer.fetch(teams, FETCH_LIMIT_S)

    def _accept(self, item):
        """Put fetched content in force; return whether the wanted version is now."""
        wanted = self.wanted.get(item.team)
        if wanted is None:
            return True
        same = wanted.version == item.version
        digest = wanted.digest if same else item.digest
        self.put(item.team, item.version, item.content, digest)
        return self.holder.version_of(item.team) >= wanted.version

    def _drop_source(self, instance, teams):
        """Do not ask an instance again for teams that it did not deliver.

        A team without sources is forgotten; the next rumour or digest comparison
        names new ones.
        """
        for team in teams:
            sources = self.sources.get(team, [])
            if instance in sources:
                sources.remove(instance)

    def _drop_done(self):
        for team, version in list(self.wanted.items()):
            done = self.holder.version_of(team) >= version.version
            if done or not self.sources[team]:
                del self.wanted[team], self.sources[team]

    async def _fetch_list(self, instance):
        member = self.membership.member(instance)
        if member is None:
            return
        async with self.client.connect(member) as peer:
            digests = self.membership.versions.bucket_digests()
            for version in await peer.versions(digests):
                self._want(version, instance)
