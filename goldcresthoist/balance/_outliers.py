"""Ejection of upstreams that fail, and their return by trial calls."""

from goldcresthoist.balance.views import Outcome
from goldcresthoist.config.model import Read, Repeatable

__all__ = ["may_start_trial", "record_outcome", "record_report"]

# A report of failure holds this long unless the next one repeats or ends it.
REPORT_VALID_S = 1.0


def may_start_trial(view, rule, now):
    """Return whether a call of this work may be the trial call of an ejected upstream.

    Work that cannot be repeated waits for twice the ejection time, so that a call that
    may be retried normally goes first and finds out whether the upstream has recovered.
    """
    if view.trial_running or now < view.ejected_until:
        return False
    if isinstance(rule.kind, (Read, Repeatable)):
        return True
    return now >= view.trial_any_work_from


def record_outcome(view, outcome, policy, now, started):
    """Count a success or failure and move the view in or out of ejection.

    A success of a call that started before the last failure tells nothing of what the
    upstream does now, so it is ignored.
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
    """Follow what the daemon beside the upstream tells of its failures."""
    pool = view.pool
    if pool is None:
        return
    if view.report.failing:
        if not view.ejections:
            if not _cap_allows(pool):
                return
            pool.ejected += 1
            view.ejections = 1
        view.ejected_until = max(view.ejected_until, now + REPORT_VALID_S)
        view.trial_any_work_from = view.ejected_until + REPORT_VALID_S
        view.ejected_by_report = True
    elif view.ejected_by_report:
        # The daemon there invites a trial, and reports at once if it fails.
        view.ejected_by_report = False
        _restore(view, now)


def _cap_allows(pool):
    # With more than half ejected, the rest would be overloaded by failures that most
    # likely have a common cause.
    return 2 * (pool.ejected + 1) <= len(pool.views)


def _eject_within_cap(view, policy, now):
    pool = view.pool
    if view.ejections or pool is None or not _cap_allows(pool):
        return
    pool.ejected += 1
    _eject(view, policy, now)


def _eject(view, policy, now):
    duration_s = policy.ejection_s * 2.0 ** min(view.ejections, 16)
    duration_s = min(duration_s, policy.ejection_limit_s)
    view.ejections += 1
    view.ejected_until = now + duration_s
    view.trial_any_work_from = now + 2.0 * duration_s


def _restore(view, now):
    view.ejections = 0
    view.consecutive_failures = 0
    view.ejected_until = 0.0
    # The return goes through a slow start like a first contact.
    view.slow_start_at = now
    if view.pool is not None:
        view.pool.ejected -= 1
