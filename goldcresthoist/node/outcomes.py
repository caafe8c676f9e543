"""Meaning of the outcome of one offer of a request."""

from goldcresthoist.links.frames import Failed, Head, Refuse

__all__ = ["is_final", "outcome_code"]

# A response with one of these statuses counts as a failure of the upstream, so that
# another upstream may be tried.
FAILED_STATUSES = frozenset((500, 502, 503, 504))


def is_final(outcome):
    """Return whether the outcome is a response that rules out a retry."""
    return type(outcome) is Head and outcome.status not in FAILED_STATUSES


def outcome_code(outcome):
    """Return the code of an unsuccessful outcome for the log and the metrics.

    A leading "!" marks outcomes after which the request may have been executed.
    """
    match outcome:
        case Refuse(code=code):
            return code
        case Failed(kind=kind):
            return "!" + kind
        case Head(status=status):
            return f"!status-{status}"
    return "none"
