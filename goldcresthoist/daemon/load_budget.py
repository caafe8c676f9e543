"""Limit on what load reports to other daemons cost."""

from goldcresthoist.balance import ProbeBudget

__all__ = ["LoadBudget"]

# What one load report costs both daemons together, and what one call costs at least.
REPORT_BYTES = 14
REPORT_CPU_S = 12e-6
CALL_FRAME_BYTES = 150
CALL_CPU_S = 300e-6


class LoadBudget:
    """Decides which answers and pongs carry the load.

    Calls earn the budget's share of their cost and reports spend it, so that the share
    holds at every moment, also at the peak of a swing.
    """

    def __init__(self):
        # Nothing is limited before the first configuration.
        self.budget = None

    def apply(self, configuration):
        """Take over the measuring share of a `ServiceConfiguration`."""
        self.budget = ProbeBudget(configuration.measuring_share)

    def earn(self, answer_bytes):
        """Count one answer with this many bytes of body."""
        if self.budget is not None:
            self.budget.record_calls(answer_bytes + CALL_FRAME_BYTES, CALL_CPU_S)

    def allows_report(self):
        """Take the cost of one report; return whether it may be sent."""
        budget = self.budget
        return budget is None or budget.try_probe(REPORT_BYTES, REPORT_CPU_S)
