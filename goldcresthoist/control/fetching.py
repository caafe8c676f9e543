"""Fetches of configuration versions that other daemons report by gossip."""

import asyncio

from loguru import logger

from goldcresthoist.control.errors import ControlError

__all__ = ["ConfigurationFetcher"]

# With several workers, a peer that does not answer delays only a few versions.
WORKER_COUNT = 4
TEAMS_PER_FETCH = 64
FETCH_TIMEOUT_S = 1.0
ERROR_PAUSE_S = 0.2
MAX_SOURCES_PER_TEAM = 8


class ConfigurationFetcher:
    """Fetches reported versions, puts them in force and announces them by gossip.

    Parameters
    ----------
    membership : Membership
    holder : ConfigurationHolder
    client : ControlClient
    candidates : dict, optional
        Content by digest that other daemons sent in advance with ``Prepare``.

    Attributes
    ----------
    pending : dict
        Highest reported `Version` by team, for teams whose version is lower here.
    sources : dict
        By team, the instances that reported the pending version.
    in_flight_teams : set of str
        Teams that a worker is fetching.
    list_sources : list of str
        Instances whose complete version list is to be fetched.
    """

    def __init__(self, membership, holder, client, candidates=None):
        self.membership = membership
        self.holder = holder
        self.client = client
        self.candidates = {} if candidates is None else candidates
        self.pending = {}
        self.sources = {}
        self.in_flight_teams = set()
        self.list_sources = []
        self.work_available = asyncio.Event()
        membership.subscribe_versions(self.add_reported_versions)

    def add_reported_versions(self, versions, instance, more=False):
        """Add versions that an instance has in force, to fetch those higher than here.

        Parameters
        ----------
        versions : iterable of Version
        instance : str
        more : bool
            Whether the instance has further versions, so that its version list has to
            be fetched.
        """
        for version in versions:
            self._add_pending(version, instance)
        if more and instance not in self.list_sources:
            self.list_sources.append(instance)
        self.work_available.set()

    async def run(self):
        """Run the workers until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(WORKER_COUNT):
                group.create_task(self._run_worker())

    def put(self, team, version, content, digest=None):
        """Put a version in force and announce it.

        Returns
        -------
        bool
            Whether the version was put in force, as for
            `ConfigurationHolder.put_if_newer`.
        """
        if not self.holder.put_if_newer(team, version, content, digest):
            return False
        current = self.holder.in_force(team)
        self.membership.announce_version(team, version, current.digest)
        return True

    async def _run_worker(self):
        while True:
            try:
                await self._process_next()
            except ControlError as exc:
                logger.info("event=configuration_fetch_failed reason={!r}", str(exc))
            except Exception:
                logger.exception("event=configuration_fetch_failed")
                await asyncio.sleep(ERROR_PAUSE_S)

    async def _process_next(self):
        if self.list_sources:
            await self._fetch_version_list(self.list_sources.pop())
            return
        self._apply_candidates()
        teams, instance = self._next_batch()
        if not teams:
            self.work_available.clear()
            await self.work_available.wait()
            return
        try:
            await self._fetch(teams, instance)
        finally:
            self.in_flight_teams.difference_update(teams)
            self._remove_finished()

    def _add_pending(self, version, instance):
        if version.version <= self.holder.version_of(version.team):
            return
        known = self.pending.get(version.team)
        if known is None or version.version > known.version:
            self.pending[version.team] = version
            self.sources[version.team] = [instance]
        elif version.version == known.version:
            sources = self.sources[version.team]
            if instance not in sources and len(sources) < MAX_SOURCES_PER_TEAM:
                sources.append(instance)

    def _apply_candidates(self):
        for version in list(self.pending.values()):
            if content := self.candidates.get(version.digest):
                self.put(version.team, version.version, content, version.digest)
        self._remove_finished()

    def _next_batch(self):
        """Mark teams as in flight; return them and the instance to fetch them from."""
        teams, instance = [], None
        for team, sources in self.sources.items():
            if team in self.in_flight_teams or not sources:
                continue
            instance = instance or sources[-1]
            if instance in sources:
                teams.append(team)
            if len(teams) == TEAMS_PER_FETCH:
                break
        self.in_flight_teams.update(teams)
        return teams, instance

    async def _fetch(self, teams, instance):
        """Fetch teams from one instance; remove it as a source of what is missing."""
        missing = set(teams)
        try:
            items = await self._fetch_from(instance, teams)
            rejected = {item.team for item in items if not self._apply_content(item)}
            missing = rejected if items else missing
        finally:
            self._remove_source(instance, missing)

    async def _fetch_from(self, instance, teams):
        member = self.membership.member(instance)
        if member is None:
            return ()
        async with self.client.connect(member) as peer:
            return await peer.fetch(teams, FETCH_TIMEOUT_S)

    def _apply_content(self, item):
        """Put fetched content in force; return whether the team is up to date."""
        version = self.pending.get(item.team)
        if version is None:
            return True
        same = version.version == item.version
        digest = version.digest if same else item.digest
        self.put(item.team, item.version, item.content, digest)
        return self.holder.version_of(item.team) >= version.version

    def _remove_source(self, instance, teams):
        """Remove an instance as a source of teams that it did not deliver.

        A team without sources is no longer pending. It becomes pending again when a
        daemon reports it by gossip or in a digest comparison.
        """
        for team in teams:
            sources = self.sources.get(team, [])
            if instance in sources:
                sources.remove(instance)

    def _remove_finished(self):
        for team, version in list(self.pending.items()):
            done = self.holder.version_of(team) >= version.version
            if done or not self.sources[team]:
                del self.pending[team], self.sources[team]

    async def _fetch_version_list(self, instance):
        member = self.membership.member(instance)
        if member is None:
            return
        async with self.client.connect(member) as peer:
            digests = self.membership.versions.bucket_digests()
            for version in await peer.versions(digests):
                self._add_pending(version, instance)
