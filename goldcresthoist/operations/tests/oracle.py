"""Test oracle that checks the at-most-once guarantees."""

from collections import defaultdict

from hypothesis import strategies as st

from goldcresthoist.operations.results import AlreadyFinished, Cancelled

__all__ = ["KEYS", "SERVICE", "ExecutionOracle", "answer_of"]

KEYS = st.sampled_from(["k1", "k2"])
SERVICE = "s"


class ExecutionOracle:
    """Counts the runs of each operation and checks them against the reported results.

    Parameters
    ----------
    violation : callable
        Called with a message for each violated guarantee.
    """

    def __init__(self, violation):
        self.violation = violation
        self.runs = defaultdict(int)
        self.runners = defaultdict(set)
        self.reported_not_run = set()

    def run(self, key, owner):
        """Record that the upstream runs an operation on behalf of `owner`."""
        self.runs[key] += 1
        self.runners[key].add(owner)
        if self.runs[key] > 1:
            self.violation(f"{key} ran {self.runs[key]} times")
        if key in self.reported_not_run:
            self.violation(f"{key} ran after not-run, scope operation")

    def record_result(self, key, result):
        """Record the result that was returned to a caller."""
        if isinstance(result, Cancelled):
            self.reported_not_run.add(key)
            if self.runs[key]:
                self.violation(f"not-run, scope operation, but {key} ran")
        if isinstance(result, AlreadyFinished) and not result.author:
            if result.answer != answer_of(key):
                self.violation(f"{key} was answered {result.answer!r}")
            if not self.runs[key]:
                self.violation(f"{key} has an answer and did not run")


def answer_of(key):
    """Return the response that the upstream gives to an operation."""
    return f"answer of {key}".encode()
