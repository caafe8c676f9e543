"""Groups of work kinds, as tuples for quick type checks."""

from goldcresthoist.config.model import AtMostOnce, Read, Repeatable, Upload

__all__ = ["FAILED_STATUSES", "KEYED", "REPEATABLE", "UPLOAD_METHODS"]

# Work that must not run twice and is named by an idempotency key.
KEYED = (AtMostOnce, Upload)
# Work that may be sent to another upstream after a failure.
REPEATABLE = (Read, Repeatable)
# Methods of uploads besides that of the work itself.
UPLOAD_METHODS = ("PATCH", "HEAD")
# Statuses of an upstream that fails rather than answers.
FAILED_STATUSES = frozenset((500, 502, 503, 504))
