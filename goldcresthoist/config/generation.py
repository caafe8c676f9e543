"""Generation of a team's configuration from its questionnaire."""

from goldcresthoist.config.model import (
    ServiceConfiguration,
    TeamConfiguration,
    WorkRule,
)

__all__ = ["generate"]

QUEUED_CALLS_PER_SLOT = 4
MAX_HEDGE_SHARE = 0.05
# Share of the slots that long work cannot use, in a service that has long work.
SHORT_SLOTS_SHARE = 1 / 3
# A service has long work if its longest usual time is at least this many times its
# shortest one. Long calls would then noticeably delay short ones.
LONG_WORK_RATIO = 4
MS_PER_S = 1000


def generate(questionnaire):
    """Return the `TeamConfiguration` for a validated `Questionnaire`."""
    services = tuple(
        _make_service(service, questionnaire.duties)
        for service in questionnaire.services
    )
    return TeamConfiguration(
        team=questionnaire.team,
        services=services,
        failure_domains=tuple(place.name for place in questionnaire.places),
    )


def _make_service(service, duties):
    return ServiceConfiguration(
        name=service.name,
        slots=service.slots,
        short_slots=_short_slots(service),
        queue_limit=QUEUED_CALLS_PER_SLOT * service.slots,
        retry_share=duties.retry_budget,
        hedge_share=min(MAX_HEDGE_SHARE, duties.retry_budget),
        measuring_share=duties.measuring_budget,
        work=tuple(_make_rule(work) for work in service.work),
        connections=service.connections,
    )


def _short_slots(service):
    times = [work.usual_ms for work in service.work]
    if max(times) < LONG_WORK_RATIO * min(times):
        return 0
    return int(service.slots * SHORT_SLOTS_SHARE)


def _make_rule(work):
    return WorkRule(
        name=work.name,
        method=work.method,
        path_prefix=work.path,
        kind=work.kind,
        usual_s=work.usual_ms / MS_PER_S,
        longest_s=work.longest_ms / MS_PER_S,
        weight=work.weight,
    )
