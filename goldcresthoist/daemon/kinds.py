"""Groups of work kinds, as tuples for fast ``isinstance`` checks."""

from goldcresthoist.config.model import AtMostOnce, Read, Repeatable, Upload

__all__ = ["FAILURE_STATUSES", "KEYED_KINDS", "RETRYABLE_KINDS", "UPLOAD_METHODS"]

# Work that must run at most once and is identified by an idempotency key.
KEYED_KINDS = (AtMostOnce, Upload)
# Work that may be retried at another upstream after a failure.
RETRYABLE_KINDS = (Read, Repeatable)
# Methods that an upload uses in addition to the method of its rule.
UPLOAD_METHODS = ("PATCH", "HEAD")
# Response statuses that count as a failure of the upstream.
FAILURE_STATUSES = frozenset((500, 502, 503, 504))
