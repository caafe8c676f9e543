"""Limit on the cost of load reports to other daemons."""

from goldcresthoist.balance import ProbeBudget

__all__ = ["LoadReportBudget"]

# Cost of one load report, summed over the sending and the receiving daemon.
REPORT_COST_BYTES = 14
REPORT_COST_CPU_S = 12e-6
# Minimum cost of one call, without its bodies.
MIN_CALL_FRAME_BYTES = 150
MIN_CALL_CPU_S = 300e-6


class LoadReportBudget:
    """Decides which responses and pongs carry a load report.

    Each call adds a fixed share of its cost to the budget, and each report is charged
    to it. Reports therefore never exceed that share, not even while the load peaks.
    """

    def __init__(self):
        # None, which sets no limit, until the first configuration is applied.
        self.budget = None

    def apply(self, configuration):
        """Set the limit to the ``measuring_share`` of a `ServiceConfiguration`."""
        self.budget = ProbeBudget(configuration.measuring_share)

    def record_call(self, answer_bytes):
        """Add the share of one call whose response body has ``answer_bytes`` bytes."""
        if self.budget is not None:
            self.budget.record_calls(
                answer_bytes + MIN_CALL_FRAME_BYTES, MIN_CALL_CPU_S
            )

    def try_spend(self):
        """Charge the cost of one report; return whether it may be sent."""
        budget = self.budget
        return budget is None or budget.try_probe(REPORT_COST_BYTES, REPORT_COST_CPU_S)
