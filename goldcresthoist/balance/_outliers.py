"""Ejection of failing upstreams and their restoration by trial calls."""

from goldcresthoist.balance.views import Outcome
from goldcresthoist.config.model import Read, Repeatable

__all__ = ["may_start_trial", "record_outcome", "record_report"]

# An ejection by a load report ends after this time unless a further report renews it or
# ends it earlier.
REPORT_VALID_S = 1.0


def may_start_trial(view, rule, now):
    """Return whether a call of this work may be the trial call of an ejected upstream.

    Work that cannot be repeated is allowed only after twice the ejection time. The
    trial call is then normally one that can be retried if it fails.
    """
    if view.trial_running or now < view.ejected_until:
        return False
    if isinstance(rule.kind, (Read, Repeatable)):
        return True
    return now >= view.trial_any_work_from


def record_outcome(view, outcome, policy, now, started):
    """Record the outcome of a call, and eject or restore the upstream accordingly.

    The success of a call that started before the last failure is ignored, since it says
    nothing about the current state of the upstream.
    """
    on_trial = view.trial_running
    view.trial_running = False
    if outcome is Outcome.SUCCEEDED:
        if started < view.failed_at:
            return
        view.consecutive_failures = 0
        if on_trial:
            _restore(view, now)
    elif outcome is Outcome.FAILED:
        view.consecutive_failures += 1
        view.failed_at = now
        if on_trial:
            _eject(view, policy, now)
        elif view.consecutive_failures >= policy.failures_to_eject:
            _eject_within_cap(view, policy, now)


def record_report(view, now):
    """Eject the upstream if its last load report says that it is failing.

    Restore it if an earlier report ejected it and the last one no longer does.
    """
    pool = view.pool
    if pool is None:
        return
    if view.report.failing:
        if not view.ejections:
            if not _may_eject_another(pool):
                return
            pool.ejected += 1
            view.ejections = 1
        view.ejected_until = max(view.ejected_until, now + REPORT_VALID_S)
        view.trial_any_work_from = view.ejected_until + REPORT_VALID_S
        view.ejected_by_report = True
    elif view.ejected_by_report:
        # The serving daemon ends its failure report to allow a trial call, and reports
        # the failure again at once if that call fails.
        view.ejected_by_report = False
        _restore(view, now)


def _may_eject_another(pool):
    """Return whether one more upstream of the pool may be ejected."""
    # At most half of the pool may be ejected. Failures of more than that most likely
    # have a common cause, and ejections would only overload the remaining upstreams.
    return 2 * (pool.ejected + 1) <= len(pool.views)


def _eject_within_cap(view, policy, now):
    """Eject the upstream unless it is ejected already or too many others are."""
    pool = view.pool
    if view.ejections or pool is None or not _may_eject_another(pool):
        return
    pool.ejected += 1
    _eject(view, policy, now)


def _eject(view, policy, now):
    """Start an ejection; each consecutive one is twice as long, up to the limit."""
    duration_s = policy.ejection_s * 2.0 ** min(view.ejections, 16)
    duration_s = min(duration_s, policy.ejection_limit_s)
    view.ejections += 1
    view.ejected_until = now + duration_s
    view.trial_any_work_from = now + 2.0 * duration_s


def _restore(view, now):
    # A trial call and a report may both restore the same upstream.
    if view.pool is not None and view.ejections:
        view.pool.ejected -= 1
    view.ejections = 0
    view.consecutive_failures = 0
    view.ejected_until = 0.0
    # A restored upstream goes through a slow start, as a new one does.
    view.slow_start_at = now
