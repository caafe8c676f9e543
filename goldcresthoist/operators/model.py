"""What the pages for operators show and accept."""

import msgspec

from goldcresthoist.config import TeamConfiguration

__all__ = [
    "ApplyReport",
    "ConfigurationRecord",
    "ConfigurationSummary",
    "DomainCount",
    "HistoryEntry",
    "OperationRecord",
    "Settlement",
    "Status",
]


class ConfigurationSummary(msgspec.Struct, frozen=True):
    """The configuration of one team that is in force in this daemon."""

    team: str
    version: int
    digest: str


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of one daemon.

    ``state`` is ``starting``, ``ready`` or ``draining``; ``reason`` tells why the
    daemon is not ready. ``members`` counts known daemons by state. ``upstreams`` has
    one text line for each upstream that this daemon calls. ``stores`` gives the state
    of the table service and the object store. ``uptime_s`` is in seconds.
    """

    instance: str
    failure_domain: str
    region: str
    service: str
    state: str
    reason: str = ""
    program_version: str = ""
    uptime_s: float = 0.0
    in_flight: int = 0
    queued: int = 0
    slots: int = 0
    members: dict[str, int] = {}
    stores: dict[str, str] = {}
    configurations: tuple[ConfigurationSummary, ...] = ()
    upstreams: tuple[str, ...] = ()
    counters: dict[str, float] = {}

    def is_ready(self):
        """Return whether the daemon takes calls."""
        return self.state == "ready"


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """One accepted version of a team's configuration. ``time`` is ISO 8601 in UTC."""

    team: str
    version: int
    digest: str
    author: str
    time: str
    content: TeamConfiguration


class HistoryEntry(msgspec.Struct, frozen=True):
    """One line of a team's history. ``time`` is ISO 8601 in UTC."""

    version: int
    digest: str
    author: str
    time: str


class DomainCount(msgspec.Struct, frozen=True):
    """How many daemons of a failure domain have a version in force."""

    failure_domain: str
    in_force: int
    daemons: int


class ApplyReport(msgspec.Struct, frozen=True):
    """Result of an accepted change."""

    team: str
    version: int
    digest: str
    counts: tuple[DomainCount, ...] = ()


class OperationRecord(msgspec.Struct, frozen=True):
    """State of one at-most-once operation or upload.

    ``answer_status`` is the HTTP status of the recorded answer, 0 without one.
    """

    service: str
    key: str
    state: str
    owner: str = ""
    started: str = ""
    answer_status: int = 0


class Settlement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an operator found out about an unknown operation.

    ``outcome`` is ``ran`` or ``not-run``. An operation that ran is answered with
    ``status`` and ``body`` from then on.
    """

    outcome: str
    author: str
    status: int = 200
    body: str = ""
