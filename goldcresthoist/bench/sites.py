"""Services of the two sites that the benchmark models.

Service times are ten to forty times those of the example questionnaires. This lowers
the rate of calls, so that the load generator, 13 daemons and 13 upstreams fit on 10
cores at three times the capacity.
"""

from dataclasses import dataclass

from goldcresthoist.config.model import (
    AtMostOnce,
    Read,
    Repeatable,
    ServiceConfiguration,
    WorkRule,
)

__all__ = ["SITES", "BenchService", "Site", "is_long_work"]

SLOTS = 12
FAILURE_DOMAINS = "abc"

# Work with a longer usual time counts as long.
LONG_WORK_S = 0.4


def is_long_work(rule):
    """Return whether work is so long that short work must not queue behind it."""
    return rule.usual_s > LONG_WORK_S


@dataclass(frozen=True, slots=True)
class BenchService:
    """Configuration and workload of one service.

    Parameters
    ----------
    configuration : ServiceConfiguration
        Its configuration, with a rule for each kind of work.
    target_count : int
        Number of its upstreams.
    mix : dict of str to float
        Share of the calls by the name of the work rule.
    """

    configuration: ServiceConfiguration
    target_count: int
    mix: dict[str, float]

    @property
    def capacity(self):
        """Calls per second that the slots of all upstreams can serve."""
        mean_s = sum(rule.usual_s * self.mix[rule.name] for rule in self.work)
        return self.target_count * SLOTS / mean_s

    @property
    def work(self):
        """The work rules of the service."""
        return self.configuration.work


@dataclass(frozen=True, slots=True)
class Site:
    """All services of one site."""

    name: str
    services: tuple[BenchService, ...]


def _rule(name, method, prefix, kind, usual_ms, weight):
    # The deadline of callers is ten times the usual time, or four times for work that
    # usually takes more than 200 ms.
    longest_s = usual_ms / 1000.0 * (10.0 if usual_ms <= 200 else 4.0)
    return WorkRule(name, method, prefix, kind, usual_ms / 1000.0, longest_s, weight)


def _service(name, target_count, connections, short_slots, *work):
    rules = tuple(_rule(*arguments) for arguments, _ in work)
    configuration = ServiceConfiguration(
        name=name,
        slots=SLOTS,
        short_slots=short_slots,
        queue_limit=4 * SLOTS,
        retry_share=0.08,
        hedge_share=0.05,
        measuring_share=0.01,
        work=rules,
        connections=connections,
    )
    mix = {rule.name: share for rule, (_, share) in zip(rules, work)}
    return BenchService(configuration, target_count, mix)


_ARCHIVE = Site(
    "archive",
    (
        _service(
            "listening-room",
            4,
            220,
            0,
            (("recording", "GET", "/recordings", Read(), 100, 4.0), 0.6),
            (("search", "POST", "/search", Read(), 200, 2.0), 0.25),
            (("playlist", "PUT", "/playlists", Repeatable(), 150, 1.0), 0.15),
        ),
        _service(
            "ledger",
            4,
            220,
            4,
            (("entry", "GET", "/entries", Read(), 80, 2.0), 0.65),
            (("annotation", "PUT", "/annotations", Repeatable(), 100, 1.0), 0.2),
            (("accession", "POST", "/accessions", AtMostOnce(), 600, 5.0), 0.15),
        ),
        _service(
            "deposit-desk",
            3,
            220,
            0,
            (("receipt", "GET", "/receipts", Read(), 150, 1.0), 0.7),
            (("deposit", "PUT", "/deposits", Repeatable(), 300, 4.0), 0.3),
        ),
    ),
)

_SOUSS = Site(
    "souss",
    (
        _service(
            "lookup",
            6,
            260,
            0,
            (("account", "GET", "/accounts", Read(), 160, 3.0), 0.7),
            (("price", "GET", "/prices", Read(), 120, 2.0), 0.3),
        ),
        _service(
            "settle",
            4,
            260,
            4,
            (("settlement-state", "GET", "/settlements", Read(), 100, 2.0), 0.7),
            (("settlement", "POST", "/settlements", AtMostOnce(), 1200, 8.0), 0.1),
            (("reminder", "PUT", "/reminders", Repeatable(), 150, 1.0), 0.2),
        ),
        _service(
            "intake",
            3,
            260,
            0,
            (("intake-state", "GET", "/batches", Read(), 100, 1.0), 0.6),
            (("intake-note", "PUT", "/notes", Repeatable(), 200, 2.0), 0.4),
        ),
    ),
)

SITES = {site.name: site for site in (_ARCHIVE, _SOUSS)}
