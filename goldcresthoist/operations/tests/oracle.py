"""What a correct system may do with the runs of an operation."""

from collections import defaultdict

from hypothesis import strategies as st

from goldcresthoist.operations.results import AlreadyFinished, Cancelled

__all__ = ["KEYS", "SERVICE", "RunOracle", "answer_of"]

KEYS = st.sampled_from(["k1", "k2"])
SERVICE = "s"


class RunOracle:
    """Counts the runs of each key and remembers what callers were told."""

    def __init__(self, violation):
        self.violation = violation
        self.runs = defaultdict(int)
        self.runners = defaultdict(set)
        self.reported_not_run = set()

    def run(self, key, owner):
        """Note that the upstream runs the work of a key."""
        self.runs[key] += 1
        self.runners[key].add(owner)
        if self.runs[key] > 1:
            self.violation(f"{key} ran {self.runs[key]} times")
        if key in self.reported_not_run:
            self.violation(f"{key} ran after not-run, scope operation")

    def record_result(self, key, result):
        """Note the result that a caller got."""
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
    """Return the answer of the work of a key."""
    return f"answer of {key}".encode()
