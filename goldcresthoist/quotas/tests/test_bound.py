"""Tests of the bound of a quota over many daemons in virtual time."""

import unittest

from goldcresthoist.bench.quota_fleet import LIMITS, QuotaFleet, largest_window

# Quotas of the smallest and of the largest workspace of the larger deployment, and the
# seeds of the runs with each.
QUOTAS = ((5.0, 5.0, (1, 2)), (188.0, 188.0, (3,)))
USUAL = 1 / 1.6
BURST = 7.5 * USUAL
FAULT_AT = 112.0
END = 118.0


class BoundTest(unittest.TestCase):
    def check(self, fault, least=0.5):
        """Check the bound in a burst of 7.5 times the usual load, with a fault in it.

        ``fault(fleet, counters)`` is called 1.5 s after the start of the burst, when
        the bucket, which was full, has just run out. At least the share ``least`` of
        the rate must go on to run.
        """
        for rate_per_s, burst, seeds in QUOTAS:
            for seed in seeds:
                fleet = QuotaFleet(75, rate_per_s, burst, seed=seed)
                bound = LIMITS.bound(fleet.workspace)
                counters = fleet.counters()
                fleet.load(USUAL * rate_per_s, 10.5)
                fleet.at(110.5, fleet.load, BURST * rate_per_s, END - 110.5)
                fleet.at(FAULT_AT, fault, fleet, counters)
                fleet.run_until(END + 0.5)
                with self.subTest(rate_per_s=rate_per_s, seed=seed):
                    self.assertLessEqual(largest_window(fleet.ran), bound)
                    late = [time for time in fleet.ran if time > FAULT_AT + 1.0]
                    self.assertGreater(len(late), least * rate_per_s * (END - 113.0))

    def test_burst(self):
        """Guards against a burst that runs before the counter knows of it."""
        self.check(lambda fleet, counters: None)

    def test_counter_killed(self):
        """Guards against a successor that starts with a full bucket."""
        self.check(lambda fleet, counters: fleet.kill(counters[0]))

    def test_counter_restarted(self):
        """Guards against a counter that grants the burst again after each restart."""

        def restart(fleet, counters):
            for delay_s in (0.0, 1.0):
                fleet.at(fleet.now + delay_s, fleet.kill, counters[0])
                fleet.at(fleet.now + delay_s + 0.2, fleet.start, counters[0])

        self.check(restart)

    def test_third_killed(self):
        """Guards against daemons that take over at once, each with a full rate."""

        def kill(fleet, counters):
            dead = {counters[0], *fleet.random.sample(fleet.ips, 24)}
            for ip in dead:
                fleet.kill(ip)
                fleet.at(fleet.now + 4.0, fleet.start, ip)

        self.check(kill)

    def test_all_restarted(self):
        """Guards against full buckets after a power failure."""

        def restart(fleet, counters):
            for ip in fleet.ips:
                fleet.kill(ip)
                fleet.start(ip)

        self.check(restart)

    def test_partition(self):
        """Guards against two sides that each grant the whole rate."""

        def cut(fleet, counters):
            others = [ip for ip in fleet.ips if ip not in counters]
            fleet.isolate([counters[0], *others[:36]])
            fleet.at(fleet.now + 4.0, fleet.cut.clear)

        self.check(cut)

    def test_counter_cut_off(self):
        """Guards against a counter that goes on for daemons it no longer reaches."""
        self.check(lambda fleet, counters: fleet.isolate(counters[:1]))

    def test_daemon_cut_off(self):
        """Guards against local admission of more than the share of one daemon."""
        outcomes = []

        def cut(fleet, counters):
            alone = next(ip for ip in fleet.ips if ip not in counters)
            fleet.isolate([alone])
            fleet.load(BURST * fleet.workspace.rate_per_s, END - fleet.now, [alone])
            admission = fleet.daemons[alone].admission
            admission.on_decision = lambda name, outcome: outcomes.append(outcome)

        self.check(cut)
        # It may own time and then counts for itself.
        admitted = sum(item.startswith("admitted") for item in outcomes)
        self.assertLess(admitted, 0.1 * len(outcomes))

    def test_all_cut_off(self):
        """Guards against local admission that adds up to more than the quota."""

        def cut(fleet, counters):
            for ip in fleet.ips:
                fleet.isolate([ip])

        # Only some of the daemons get a request while they have a token.
        self.check(cut, least=0.15)

    def test_paused(self):
        """Guards against grants and time from before a pause that count after it."""
        for count in (0, 1, 75):

            def pause(fleet, counters, count=count):
                paused = fleet.ips[:count] if count else counters[:1]
                for ip in paused:
                    fleet.pause(ip, 3.0)

            self.check(pause)

    def test_lost_messages(self):
        """Guards against tokens that are granted twice for one request."""

        def lose(fleet, counters):
            fleet.loss = 0.05

        self.check(lose)

    def test_different_members(self):
        """Guards against two first counters that each hold the whole burst."""
        for known, missing in ((64, 0), (75, 1)):

            def split(fleet, counters, known=known, missing=missing):
                view = [ip for ip in fleet.ips[:known] if ip not in counters[:missing]]
                for ip in fleet.ips[:37]:
                    fleet.start(ip, view)

            self.check(split)

    def test_lower_limit(self):
        """Guards against tokens of an earlier quota that stay valid."""
        fleet = QuotaFleet(75, 100.0, 100.0)
        fleet.load(60.0, 10.0)
        fleet.at(110.0, fleet.set_quota, 10.0, 10.0)
        fleet.at(110.0, fleet.load, 450.0, 10.0)
        fleet.run_until(120.5)
        after = [time for time in fleet.ran if time > 110.0]
        bound = LIMITS.bound(fleet.workspace)
        self.assertLessEqual(largest_window(after), bound)
        self.assertGreater(len(after), 60)

    def test_requests_at_once(self):
        """Guards against daemons that each admit a first request without asking."""
        fleet = QuotaFleet(75, 5.0, 5.0)
        fleet.load(3.0, 8.0)
        for ip in fleet.ips * 3:
            fleet.at(109.0, fleet.request, ip)
        fleet.run_until(110.0)
        at_once = [time for time in fleet.ran if time >= 109.0]
        self.assertLessEqual(len(at_once), 11)
        self.assertGreaterEqual(len(at_once), 4)


class BelowQuotaTest(unittest.TestCase):
    def test_few_requests_over_many_daemons(self):
        """Guards against refusals because each daemon sees only a few requests."""
        for loss in (0.0, 0.01):
            fleet = QuotaFleet(75, 5.0, 5.0, loss=loss)
            fleet.load(1.0, 60.0)
            fleet.run_until(160.5)
            self.assertEqual(fleet.refused, [])

    def test_side_without_the_first_counters(self):
        """Guards against a failure domain that is cut off from all it asks first."""
        for rate_per_s in (15.0, 188.0):
            fleet = QuotaFleet(75, rate_per_s, rate_per_s)
            first = fleet.counters()
            side = [ip for ip in fleet.ips if ip not in first][:25]
            fleet.at(110.0, fleet.isolate, side)
            fleet.load(0.2 * rate_per_s, 35.0, side)
            fleet.load(
                0.4 * rate_per_s, 35.0, [ip for ip in fleet.ips if ip not in side]
            )
            fleet.run_until(135.5)
            late = [time for time in fleet.ran if time > 122.0]
            refused = [time for time, _ in fleet.refused if time > 122.0]
            self.assertLess(len(refused), 0.2 * (len(late) + len(refused)))
            bound = LIMITS.bound(fleet.workspace)
            self.assertLessEqual(largest_window(fleet.ran), bound)

    def test_usual_load_of_a_large_workspace(self):
        """Guards against refusals at the usual load, also while the counter changes."""
        fleet = QuotaFleet(75, 188.0, 188.0)
        fleet.load(118.0, 30.0)
        fleet.at(120.0, lambda: fleet.kill(fleet.counters()[0]))
        fleet.run_until(130.5)
        refused = [time for time, _ in fleet.refused]
        # The owners are known to allot time to one counter only after 7 s.
        self.assertLess(sum(time < 108.0 for time in refused), 0.05 * 118 * 8)
        self.assertEqual([time for time in refused if 108.0 < time < 120.0], [])
        # A quarter of a second of the usual load, until the successor has the time.
        self.assertLess(sum(time >= 120.0 for time in refused), 30)
        # The successor has a small stock for 7 s after its first allotted time.
        self.assertEqual([time for time in refused if time > 128.0], [])

    def test_refusals_name_different_times_with_room(self):
        """Guards against callers that all come back at once, or too early."""
        fleet = QuotaFleet(75, 5.0, 5.0)
        fleet.load(3.0, 8.0)
        fleet.run_until(111.0)
        fleet.refused.clear()
        for ip in fleet.ips[:12]:
            fleet.request(ip)
        fleet.run_until(111.3)
        first = fleet.refused[:]
        fleet.refused.clear()
        for number, (time, retry_after_s) in enumerate(first):
            fleet.at(time + retry_after_s, fleet.request, fleet.ips[30 + number])
        fleet.run_until(118.0)
        self.assertGreaterEqual(len(first), 6)
        self.assertEqual(len({round(retry, 3) for _, retry in first}), len(first))
        self.assertLessEqual(len(fleet.refused), 1)

    def test_idle_and_unlimited_fleets_send_nothing(self):
        """Guards against messages without a request of a workspace with a quota."""
        fleet = QuotaFleet(75, 5.0, 5.0)
        fleet.load(3.0, 5.0)
        fleet.run_until(116.0)
        fleet.sent.clear()
        fleet.refused.clear()
        fleet.run_until(150.0)
        fleet.set_quota(0.0, 0.0)
        fleet.load(100.0, 5.0)
        fleet.run_until(156.0)
        self.assertEqual(sum(fleet.sent.values()), 0)
        self.assertEqual(fleet.refused, [])


if __name__ == "__main__":
    unittest.main()
