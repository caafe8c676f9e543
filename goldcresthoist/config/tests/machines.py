"""Hypothesis state machine that checks the configuration store against an oracle."""

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
from goldcresthoist.tests.machine_base import (
    DAEMON_INDEXES,
    WRITE_FAULTS,
    PlatformMachine,
)

__all__ = ["ConfigurationMachine"]

TEAMS = ("a", "b")
SERVICES = st.sets(st.sampled_from(["one", "two", "three"]))


class StoreDaemon:
    """A configuration store on a simulated host of its own."""

    def __init__(self, machine, name):
        self.host = Host(name)
        self.store = ConfigurationStore(
            machine.table.client(self.host), machine.objects.client(self.host)
        )


class ConfigurationMachine(PlatformMachine):
    """Operators that apply configurations through several daemons.

    The oracle consists of the versions that were written to the table, the content of
    each accepted version and the contents that were reported as rejected.
    """

    def __init__(self):
        super().__init__()
        self.table.on_write = self._check_write
        # Each apply has a domain with this number, so its content is unique and
        # identifies it.
        self.apply_count = 0
        self.in_force = defaultdict(int)
        self.accepted = {}
        self.rejected = set()

    def make_daemon(self, name):
        """Return a daemon that uses the fake table and object store."""
        return StoreDaemon(self, name)

    @rule(
        index=DAEMON_INDEXES,
        team=st.sampled_from(TEAMS),
        services=SERVICES,
        stale=st.sampled_from([0, 0, 0, 1]),
        fault=WRITE_FAULTS,
    )
    def apply(self, index, team, services, stale, fault):
        """Apply a configuration based on the current version or on an older one."""
        daemon = self.daemons[index]
        self.add_fault(daemon, fault)
        expected = max(0, self.in_force[team] - stale)
        self.spawn(daemon, self._apply(daemon, team, services, expected))

    @rule(
        team=st.sampled_from(TEAMS),
        first=SERVICES,
        second=SERVICES,
        fault=WRITE_FAULTS,
    )
    def apply_concurrently(self, team, first, second, fault):
        """Apply two configurations based on the same version."""
        for index, services in enumerate((first, second)):
            self.apply(index, team, services, 0, "" if index else fault)

    @rule(index=DAEMON_INDEXES)
    def read_current(self, index):
        """Read the current versions and their content through a daemon."""
        daemon = self.daemons[index]
        self.spawn(daemon, self._read(daemon))

    async def _apply(self, daemon, team, services, expected):
        self.apply_count += 1
        domain = f"domain-{self.apply_count}"
        content = make_stored_content(team, *sorted(services), domain=domain)
        try:
            result = await daemon.store.apply(team, content, expected, daemon.host.name)
        except (ConfigurationConflict, ServiceTaken):
            self._record_rejected(team, content)
            return
        while isinstance(result, OutcomeNotKnown):
            candidate = result.candidate
            with suppress(ConfigurationConflict):
                result = await daemon.store.outcome(candidate)
            if isinstance(result, OutcomeNotKnown):
                return
        match result:
            case Accepted(version):
                self._record_accepted(team, version.version, content)
            case NotAccepted():
                self._record_rejected(team, content)

    async def _read(self, daemon):
        with suppress(ConfigurationUnavailable):
            versions = await daemon.store.all_current()
            for team, version in versions.items():
                content = await daemon.store.content(version.digest)
                self._record_accepted(team, version.version, content)

    def _record_accepted(self, team, version, content):
        if self.accepted.setdefault((team, version), content) != content:
            self.violation(f"version {version} of {team} has two contents")
        if content in self.rejected:
            self.violation(f"version {version} of {team} was reported as rejected")
        if self.in_force[team] < version:
            self.violation(f"version {version} of {team} was reported, is not current")

    def _record_rejected(self, team, content):
        self.rejected.add(content)
        if content in self.accepted.values():
            self.violation(f"an accepted version of {team} was reported as rejected")

    def _check_write(self, put):
        if put.key.partition != current_key("").partition:
            return
        team, version = put.key.sort, put.item["version"]
        if version != self.in_force[team] + 1:
            old_version = self.in_force[team]
            self.violation(f"{team} went from version {old_version} to {version}")
        self.in_force[team] = version
        name = f"configuration/{put.item['digest']}"
        if name not in self.objects.objects:
            self.violation(f"version {version} of {team} has no content")
            return
        self._record_accepted(team, version, self.objects.objects[name])

    def check_recovered(self):
        """Check the current versions, their history and the owners of services."""
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
