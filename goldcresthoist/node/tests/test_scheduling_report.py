"""Tests of the log events and metrics of the order of calls."""

import unittest

from goldcresthoist.balance import SlotCall, SlotQueue
from goldcresthoist.node.scheduling_report import LOG_INTERVAL_S, SchedulingReport
from goldcresthoist.tests.fakes import PlainCounters


class SchedulingReportTest(unittest.TestCase):
    def test_evictions_and_standings_are_logged_at_intervals(self):
        """Guards against overload that operators cannot attribute, or a line a call."""
        queue, counters, events = SlotQueue(), PlainCounters(), []
        self.event = lambda name, **fields: events.append((name, fields))
        report = SchedulingReport(queue, counters, self)
        calls = [SlotCall("read", 101, 9.0, 9.0, 0, name) for name in ("w1", "w2")]
        for _ in range(3):
            queue.on_evicted(*calls)
        for number in range(20):
            queue.ranking.kinds.record("read", 101, number % 2 == 0, 1.0)
            queue.ranking.kinds.record("audit", 202, number % 4 != 0, 1.0)
        for now in (1.0, 1.5, 1.0 + LOG_INTERVAL_S):
            report.log_if_due(now)
        names = [name for name, _ in events]
        self.assertEqual(names, ["calls evicted"] + ["kind served less often"] * 2)
        self.assertEqual((events[0][1]["most"], events[0][1]["total"]), ("w1", 3))
        self.assertEqual(events[1][1]["standing"], "behind")
        self.assertEqual(counters.values["calls_evicted", ("cause", "use")], 3)


if __name__ == "__main__":
    unittest.main()
