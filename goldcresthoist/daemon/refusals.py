"""Refusals that the entry daemon sends to callers.

The entry daemon is the daemon that received the request from the caller.
"""

from goldcresthoist.callers import Outcome, Refusal, Scope
from goldcresthoist.daemon.kinds import KEYED_KINDS
from goldcresthoist.links.frames import FailureKind

__all__ = [
    "MAX_CRASHES",
    "RETRYABLE_CODES",
    "outcome_after_failure",
    "refusal_after_failure",
    "refusal_from_frame",
]

# Refusals that depend on the upstream, so that the call may be retried at another one.
# All other codes apply to every upstream of the service.
RETRYABLE_CODES = frozenset(("saturated", "draining", "not-ready", "no-upstream"))

# A request that has crashed this many upstreams is not run again.
MAX_CRASHES = 2

# Codes that state the outcome and scope of an operation. All other codes state that the
# request was not run.
_OPERATION_OUTCOMES = {
    "operation-running": (Outcome.RUNNING, Scope.OPERATION),
    "operation-unknown": (Outcome.UNKNOWN, Scope.OPERATION),
    "operation-cancelled": (Outcome.NOT_RUN, Scope.OPERATION),
    "upload-digest": (Outcome.NOT_RUN, Scope.OPERATION),
    "answer-not-kept": (Outcome.FINISHED, Scope.OPERATION),
}


def refusal_from_frame(frame):
    """Return the refusal for a `Refuse` frame."""
    outcome, scope = _OPERATION_OUTCOMES.get(
        frame.code, (Outcome.NOT_RUN, Scope.REQUEST)
    )
    return Refusal(frame.code, frame.message, outcome, scope, frame.retry_after_ms)


def outcome_after_failure(kind):
    """Return the `Outcome` of a request of this kind that an upstream may have run."""
    return Outcome.UNKNOWN if isinstance(kind, KEYED_KINDS) else Outcome.FAILED


def refusal_after_failure(kind, failure, crash_count=0):
    """Return the refusal for a call that was started and got no response.

    Parameters
    ----------
    kind : WorkKind
        Kind of the work. The outcome of at-most-once work and uploads is unknown, since
        the work may have taken effect.
    failure : Failed
        How the call failed.
    crash_count : int
        Number of upstreams that crashed while they ran the request.
    """
    outcome = outcome_after_failure(kind)
    code = "upstream-failed"
    if failure.kind == FailureKind.TIMED_OUT:
        code = "deadline-exceeded"
    elif crash_count >= MAX_CRASHES:
        code = "crash-suspect"
    return Refusal(code, failure.message, outcome, Scope.REQUEST)
