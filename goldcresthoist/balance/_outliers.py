"""Ejection of upstreams that fail, and their return by trial calls."""

from goldcresthoist.balance.views import Outcome
from goldcresthoist.config.model import Read, Repeatable

__all__ = ["may_try", "record_outcome"]


def may_try(view, rule, now):
    """Return whether a call of this work may be the trial call of an ejected upstream.

    Work that cannot be repeated waits for twice the ejection time, so that a call that
    may be retried normally goes first and finds out whether the upstream has recovered.
    """
    if view.trial_running or now < view.ejected_until:
        return False
    if isinstance(rule.kind, (Read, Repeatable)):
        return True
    return now >= view.trial_for_all_from


def record_outcome(view, outcome, policy, now):
    """Count a success or failure and move the view in or out of ejection."""
    on_trial = view.trial_running
    view.trial_running = False
    if outcome is Outcome.SUCCEEDED:
        view.consecutive_failures = 0
        if on_trial:
            _restore(view, now)
    elif outcome is Outcome.FAILED:
        view.consecutive_failures += 1
        # The penalty ends by itself: an upstream that the cap keeps from ejection gets
        # no trial calls, so only usual calls can find out that it has recovered.
        view.penalty_until = now + policy.ejection_s
        if on_trial:
            _eject(view, policy, now)
        elif view.consecutive_failures >= policy.failures_to_eject:
            _eject_within_cap(view, policy, now)


def _eject_within_cap(view, policy, now):
    pool = view.pool
    if view.ejections or pool is None:
        return
    # With more than half ejected, the rest would be overloaded by failures that most
    # likely have a common cause.
    if 2 * (pool.ejected + 1) > len(pool.views):
        return
    pool.ejected += 1
    _eject(view, policy, now)


def _eject(view, policy, now):
    duration_s = policy.ejection_s * 2.0 ** min(view.ejections, 16)
    duration_s = min(duration_s, policy.ejection_limit_s)
    view.ejections += 1
    view.ejected_until = now + duration_s
    view.trial_for_all_from = now + 2.0 * duration_s


def _restore(view, now):
    view.ejections = 0
    view.ejected_until = 0.0
    # The return goes through a slow start like a first contact.
    view.first_seen = now
    if view.pool is not None:
        view.pool.ejected -= 1
