"""The configuration that is generated from a team's questionnaire."""

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
    """Work without side effects: may be retried and hedged."""


class Repeatable(msgspec.Struct, frozen=True, tag="repeatable"):
    """Idempotent work: may be retried, is never hedged."""


class AtMostOnce(msgspec.Struct, frozen=True, tag="at-most-once"):
    """Work that must not be repeated; named by an idempotency key."""


class Upload(msgspec.Struct, frozen=True, tag="upload"):
    """A body that is kept in the object store before it is acknowledged."""


WorkKind = Read | Repeatable | AtMostOnce | Upload


class WorkRule(msgspec.Struct, frozen=True):
    """How the calls of one kind of work are treated.

    ``usual_s`` and ``longest_s`` are seconds. ``weight`` is the value of one correct
    answer relative to other work.
    """

    name: str
    method: str
    path_prefix: str
    kind: WorkKind
    usual_s: float
    longest_s: float
    weight: float


class ServiceConfiguration(msgspec.Struct, frozen=True):
    """How one service is balanced. Shares are fractions of calls from 0 to 1."""

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
        """Return the rule with the longest matching prefix, or None.

        A prefix matches whole segments: ``/ledger`` matches ``/ledger/7`` and
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
    """All services of one team, and the failure domains that the team runs in."""

    team: str
    services: tuple[ServiceConfiguration, ...]
    failure_domains: tuple[str, ...] = ()
