"""Versions of a team's configuration and their items in the table."""

from dataclasses import dataclass

from goldcresthoist.table import Absent, Equals, Key, Put

__all__ = [
    "Accepted",
    "ConfigurationVersion",
    "NotAccepted",
    "OutcomeNotKnown",
    "current_key",
    "history_key",
    "history_partition",
    "owner_key",
    "version_from_item",
    "version_writes",
]

# All current versions share one partition, so that a single query reads them.
CURRENT_PARTITION = "configuration"


@dataclass(frozen=True, slots=True)
class ConfigurationVersion:
    """One version of a team's configuration, accepted or still a candidate.

    ``digest`` is the SHA-256 of the content in hex. ``time_s`` is in Unix seconds by
    the clock of the daemon that wrote the version. ``nonce`` is random and
    distinguishes candidates that have the same version number.
    """

    team: str
    version: int
    digest: str
    author: str
    time_s: int
    nonce: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """The version was stored as current; only a later version can replace it."""

    version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The version was not accepted and will not be."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeNotKnown:
    """The table did not answer after the write was sent.

    The version may be current already or become so later. Once the table answers
    again, `ConfigurationStore.outcome` finds out.
    """

    candidate: ConfigurationVersion
    reason: str


def current_key(team):
    """Return the key of the item with the current version of a team."""
    return Key(CURRENT_PARTITION, team)


def history_partition(team):
    """Return the partition of a team's history items."""
    return f"configuration-history#{team}"


def history_key(team, version):
    """Return the key of one history item. The sort keys are in version order."""
    return Key(history_partition(team), f"{version:012}")


def owner_key(service):
    """Return the key of the item with the team that owns a service."""
    return Key("service-owner", service)


def version_from_item(item):
    """Return the `ConfigurationVersion` in a current item or a history item."""
    return ConfigurationVersion(
        team=item["team"],
        version=item["version"],
        digest=item["digest"],
        author=item["author"],
        time_s=item["time_s"],
        nonce=item["nonce"],
    )


def version_writes(candidate):
    """Return the writes that make a candidate current and add it to the history.

    They fail unless the current version is the one right before the candidate.
    """
    item = {
        "team": candidate.team,
        "version": candidate.version,
        "digest": candidate.digest,
        "author": candidate.author,
        "time_s": candidate.time_s,
        "nonce": candidate.nonce,
    }
    expected = candidate.version - 1
    condition = Equals("version", expected) if expected else Absent()
    return [
        Put(current_key(candidate.team), item, condition),
        Put(history_key(candidate.team, candidate.version), item, Absent()),
    ]
