"""Documents that the HTTP interface for operators returns and accepts."""

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
    """Version of a team's configuration that is in force in this daemon."""

    team: str
    version: int
    digest: str


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of one daemon.

    Attributes
    ----------
    state : str
        ``starting``, ``ready`` or ``draining``.
    reason : str
        Why the daemon is not ready.
    uptime_s : float
        Seconds since the start of the daemon.
    in_flight, queued, slots : int
        Calls that run at the local upstream, calls that wait for one of its slots, and
        its number of slots.
    members : dict
        Number of known daemons by state.
    stores : dict
        State of the table service and of the object store.
    upstreams : tuple of str
        One line of text for each upstream that this daemon calls.
    counters : dict
        Values of the counters that are not 0, by name.
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
        """Return whether the daemon accepts calls."""
        return self.state == "ready"


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """Accepted version of a team's configuration. ``time`` is ISO 8601 in UTC."""

    team: str
    version: int
    digest: str
    author: str
    time: str
    content: TeamConfiguration


class HistoryEntry(msgspec.Struct, frozen=True):
    """Version in the history of a team, without its content.

    ``time`` is ISO 8601 in UTC.
    """

    version: int
    digest: str
    author: str
    time: str


class DomainCount(msgspec.Struct, frozen=True):
    """Number of daemons of a failure domain, and how many have a version in force."""

    failure_domain: str
    in_force: int
    daemons: int


class ApplyReport(msgspec.Struct, frozen=True):
    """Accepted change of a configuration, with the daemons that have it in force."""

    team: str
    version: int
    digest: str
    counts: tuple[DomainCount, ...] = ()


class OperationRecord(msgspec.Struct, frozen=True):
    """State of one at-most-once operation or upload.

    ``owner`` names the daemon process that started it, ``started`` is the time in ISO
    8601 in UTC, and ``answer_status`` is the HTTP status of the recorded response, or 0
    without one.
    """

    service: str
    key: str
    state: str
    owner: str = ""
    started: str = ""
    answer_status: int = 0


class Settlement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Decision of an operator on whether an unknown operation ran.

    ``outcome`` is ``ran`` or ``not-run``. Later requests with the key of an operation
    that ran receive a response with ``status`` and ``body``.
    """

    outcome: str
    author: str
    status: int = 200
    body: str = ""
