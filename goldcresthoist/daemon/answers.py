"""Refusals that the entry daemon builds for callers."""

from goldcresthoist.callers import Outcome, Refusal, Scope
from goldcresthoist.daemon.kinds import KEYED
from goldcresthoist.links.frames import FailureKind

__all__ = [
    "REFUSED_CRASHES",
    "RETRIABLE_CODES",
    "refusal_after_failure",
    "refusal_from_frame",
]

# Another upstream may run the call after these; the others hold everywhere.
RETRIABLE_CODES = frozenset(("saturated", "draining", "not-ready", "no-upstream"))

# A request that crashed this many upstreams is run by no other.
REFUSED_CRASHES = 2

_RECORDED = {
    "operation-running": (Outcome.RUNNING, Scope.OPERATION),
    "operation-unknown": (Outcome.UNKNOWN, Scope.OPERATION),
    "operation-cancelled": (Outcome.NOT_RUN, Scope.OPERATION),
    "upload-digest": (Outcome.NOT_RUN, Scope.OPERATION),
    "answer-not-kept": (Outcome.FINISHED, Scope.OPERATION),
}


def refusal_from_frame(frame):
    """Return the refusal for a `Refuse` frame."""
    outcome, scope = _RECORDED.get(frame.code, (Outcome.NOT_RUN, Scope.REQUEST))
    return Refusal(frame.code, frame.message, outcome, scope, frame.retry_after_ms)


def refusal_after_failure(kind, failure, crash_count=0):
    """Return the refusal for a call that was started and has no answer.

    Parameters
    ----------
    kind : WorkKind
        Kind of the work. Work that is not repeatable may have taken effect.
    failure : Failed
        How the call failed.
    crash_count : int
        Upstreams that crashed while they ran the request.
    """
    outcome = Outcome.FAILED
    if isinstance(kind, KEYED):
        outcome = Outcome.UNKNOWN
    code = "upstream-failed"
    if failure.kind == FailureKind.TIMED_OUT:
        code = "deadline-exceeded"
    elif crash_count >= REFUSED_CRASHES:
        code = "crash-suspect"
    return Refusal(code, failure.message, outcome, Scope.REQUEST)
