"""Data model of the configuration that is generated from a questionnaire."""

import msgspec

__all__ = [
    "AtMostOnce",
    "Read",
    "Repeatable",
    "ServiceConfiguration",
    "TeamConfiguration",
    "Upload",
    "WorkKind",
    "WorkRule",
]


class Read(msgspec.Struct, frozen=True, tag="read"):
    """Work without side effects. Its calls may be retried and hedged."""


class Repeatable(msgspec.Struct, frozen=True, tag="repeatable"):
    """Idempotent work. Its calls may be retried but are never hedged."""


class AtMostOnce(msgspec.Struct, frozen=True, tag="at-most-once"):
    """Work that must not run twice. Its calls carry an idempotency key."""


class Upload(msgspec.Struct, frozen=True, tag="upload"):
    """An upload. Its body is stored in the object store before it is acknowledged."""


WorkKind = Read | Repeatable | AtMostOnce | Upload


class WorkRule(msgspec.Struct, frozen=True):
    """Rule for the calls of one work entry, matched by method and path prefix.

    ``usual_s`` and ``longest_s`` are processing times in seconds. ``weight`` is the
    value of a correct response relative to that of other work.
    """

    name: str
    method: str
    path_prefix: str
    kind: WorkKind
    usual_s: float
    longest_s: float
    weight: float


class ServiceConfiguration(msgspec.Struct, frozen=True):
    """Load balancing configuration of one service.

    ``short_slots`` of the ``slots`` are not available to long work. ``retry_share``,
    ``hedge_share`` and ``measuring_share`` are fractions of calls from 0 to 1.
    """

    name: str
    slots: int
    short_slots: int
    queue_limit: int
    retry_share: float
    hedge_share: float
    measuring_share: float
    work: tuple[WorkRule, ...]
    connections: int = 220

    def rule_for(self, method, path):
        """Return the matching `WorkRule` with the longest prefix, or None.

        A prefix matches whole path segments: ``/ledger`` matches ``/ledger/7`` and
        ``/ledger?page=2``, but not ``/ledgers``.
        """
        path = path.partition("?")[0]
        best = None
        for rule in self.work:
            if rule.method != method or not _has_prefix(path, rule.path_prefix):
                continue
            if best is None or len(rule.path_prefix) > len(best.path_prefix):
                best = rule
        return best


def _has_prefix(path, prefix):
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or path[len(prefix) : len(prefix) + 1] in ("", "/")


class TeamConfiguration(msgspec.Struct, frozen=True):
    """The services of one team and the failure domains in which the team runs."""

    team: str
    services: tuple[ServiceConfiguration, ...]
    failure_domains: tuple[str, ...] = ()
