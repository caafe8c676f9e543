"""State machine of the configuration store, checked against a simple oracle."""

from collections import defaultdict
from contextlib import suppress

from hypothesis import strategies as st
from hypothesis.stateful import rule

from goldcresthoist.config import ConfigurationConflict
from goldcresthoist.config.errors import ConfigurationUnavailable, ServiceTaken
from goldcresthoist.config.store import ConfigurationStore, service_names
from goldcresthoist.config.tests.builders import make_stored_content
from goldcresthoist.config.versions import (
    Accepted,
    NotAccepted,
    OutcomeNotKnown,
    current_key,
)
from goldcresthoist.tests.fake_platform import Host
from goldcresthoist.tests.machine_base import DAEMONS, FAULTS, PlatformMachine

__all__ = ["ConfigurationMachine"]

TEAMS = ("a", "b")
SERVICES = st.sets(st.sampled_from(["one", "two", "three"]))


class StoreDaemon:
    """A configuration store in a process of its own."""

    def __init__(self, machine, name):
        self.host = Host(name)
        self.store = ConfigurationStore(
            machine.table.client(self.host), machine.objects.client(self.host)
        )


class ConfigurationMachine(PlatformMachine):
    """Operators who apply configurations through several daemons."""

    def __init__(self):
        super().__init__()
        self.table.on_write = self._check_write
        # Contents are unique to each apply, so a content stands for its apply.
        self.applied = 0
        self.in_force = defaultdict(int)
        self.accepted = {}
        self.rejected = set()

    def make_daemon(self, name):
        """Return a daemon over the fakes."""
        return StoreDaemon(self, name)

    @rule(
        index=DAEMONS,
        team=st.sampled_from(TEAMS),
        services=SERVICES,
        stale=st.sampled_from([0, 0, 0, 1]),
        fault=FAULTS,
    )
    def apply(self, index, team, services, stale, fault):
        """Apply a configuration on top of the version that is current, or older."""
        daemon = self.daemons[index]
        self.add_fault(daemon, fault)
        expected = max(0, self.in_force[team] - stale)
        self.spawn(daemon, self._apply(daemon, team, services, expected))

    @rule(
        team=st.sampled_from(TEAMS),
        first=SERVICES,
        second=SERVICES,
        fault=FAULTS,
    )
    def apply_at_once(self, team, first, second, fault):
        """Let two operators apply on top of the same version."""
        for index, services in enumerate((first, second)):
            self.apply(index, team, services, 0, "" if index else fault)

    @rule(index=DAEMONS)
    def read_current(self, index):
        """Read all current versions through a daemon."""
        daemon = self.daemons[index]
        self.spawn(daemon, self._read(daemon))

    async def _apply(self, daemon, team, services, expected):
        self.applied += 1
        domain = f"domain-{self.applied}"
        content = make_stored_content(team, *sorted(services), domain=domain)
        try:
            result = await daemon.store.apply(team, content, expected, daemon.host.name)
        except (ConfigurationConflict, ServiceTaken):
            self._reject(team, content)
            return
        while isinstance(result, OutcomeNotKnown):
            candidate = result.candidate
            with suppress(ConfigurationConflict):
                result = await daemon.store.outcome(candidate)
            if isinstance(result, OutcomeNotKnown):
                return
        match result:
            case Accepted(version):
                self._accept(team, version.version, content)
            case NotAccepted():
                self._reject(team, content)

    async def _read(self, daemon):
        with suppress(ConfigurationUnavailable):
            versions = await daemon.store.all_current()
            for team, version in versions.items():
                content = await daemon.store.content(version.digest)
                self._accept(team, version.version, content)

    def _accept(self, team, version, content):
        if self.accepted.setdefault((team, version), content) != content:
            self.violation(f"version {version} of {team} has two contents")
        if content in self.rejected:
            self.violation(f"version {version} of {team} was reported as rejected")
        if self.in_force[team] < version:
            self.violation(f"version {version} of {team} was reported, is not current")

    def _reject(self, team, content):
        self.rejected.add(content)
        if content in self.accepted.values():
            self.violation(f"an accepted version of {team} was reported as rejected")

    def _check_write(self, put):
        if put.key.partition != current_key("").partition:
            return
        team, version = put.key.sort, put.item["version"]
        if version != self.in_force[team] + 1:
            before = self.in_force[team]
            self.violation(f"{team} went from version {before} to {version}")
        self.in_force[team] = version
        name = f"configuration/{put.item['digest']}"
        if name not in self.objects.objects:
            self.violation(f"version {version} of {team} has no content")
            return
        self._accept(team, version, self.objects.objects[name])

    def check_recovered(self):
        """Check the owners of services and that the current versions are whole."""
        owners = {}
        store = StoreDaemon(self, "check").store
        versions = self.loop.run_until_complete(store.all_current())
        for team, version in versions.items():
            if version.version != self.in_force[team]:
                self.violation(f"{team} reverted to version {version.version}")
            content = self.loop.run_until_complete(store.content(version.digest))
            for service in service_names(team, content):
                if owners.setdefault(service, team) != team:
                    self.violation(f"{service} belongs to two teams")
            history = self.loop.run_until_complete(store.history(team))
            numbers = [each.version for each in history]
            if numbers != list(range(1, version.version + 1)):
                self.violation(f"history of {team} is {numbers}")
