"""Tests of the order of calls with workspaces at the queue of one upstream."""

import unittest

from goldcresthoist.balance import Saturated
from goldcresthoist.balance.fair_share import HALF_LIFE_S, MAX_ACCOUNTS, FairShare
from goldcresthoist.balance.kind_shares import KindShares, Standing
from goldcresthoist.balance.tests.test_slots import (
    LONG_S,
    make_call,
    make_queue,
    make_queue_with_pace,
)
from goldcresthoist.bench.queue_load import QueueLoad
from goldcresthoist.bench.scheduling import make_records_kinds, share_of_group

FAR = {"soft_deadline": 50.0, "deadline": 50.0}


class FairShareTest(unittest.TestCase):
    def test_use_decays_and_is_corrected(self):
        """Guards against a workspace that pays for a burst long after its end.

        Work that takes less time than usual must not be charged in full.
        """
        share = FairShare()
        share.charge("a", 4.0, 100.0)
        self.assertAlmostEqual(share.use_s("a", 100.0 + HALF_LIFE_S), 2.0)
        share.correct("a", -1.5, 100.0 + HALF_LIFE_S)
        self.assertAlmostEqual(share.use_s("a", 100.0 + HALF_LIFE_S), 0.5)
        share.correct("a", -9.0, 100.0 + HALF_LIFE_S)
        self.assertEqual(share.use_s("a", 105.0), 0.0)

    def test_accounts_are_bounded_and_keep_the_largest(self):
        """Guards against memory that grows with the names that calls carry."""
        share = FairShare()
        for number in range(3 * MAX_ACCOUNTS):
            share.charge(f"w{number}", 0.01, 1.0)
            share.charge("large", 0.01, 1.0)
        self.assertLessEqual(len(share.accounts), MAX_ACCOUNTS)
        self.assertGreater(share.use_s("large", 1.0), 60.0)

    def test_use_is_forgotten_after_a_long_pause(self):
        """Guards against overflow after a pause of the daemon of hours."""
        share = FairShare()
        share.charge("a", 4.0, 1.0)
        share.charge("b", 4.0, 1e6)
        self.assertEqual(share.use_s("a", 1e6), 0.0)
        self.assertAlmostEqual(share.use_s("b", 1e6), 4.0)


class KindSharesTest(unittest.TestCase):
    def test_standing_follows_the_served_shares(self):
        """Guards against kinds that are served less often than less urgent ones."""
        kinds = KindShares()
        for number in range(40):
            kinds.record("export", 101, number % 10 == 0, 1.0)
            kinds.record("read", 202, number % 2 == 0, 1.0)
            kinds.record("audit", 303, number % 4 != 0, 1.0)
        found = [
            kinds.standing(work, priority, 1.0)
            for work, priority in (("export", 101), ("read", 202), ("audit", 303))
        ]
        self.assertEqual(found, [Standing.STARVING, Standing.BEHIND, Standing.NORMAL])
        self.assertEqual(kinds.standing("export", 101, 60.0), Standing.NORMAL)


class WorkspaceOrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_workspace_with_the_least_use_is_next(self):
        """Guards against a workspace that gains from the length of its queue."""
        queue = make_queue(slots=2, running=2)
        flood = [queue.admit(make_call(workspace="w1", **FAR), 0.0) for _ in range(3)]
        small = queue.admit(make_call(workspace="w2", **FAR), 0.0)
        queue.release(0.0)
        queue.release(0.0)
        self.assertEqual((flood[0].done(), small.done()), (True, True))
        self.assertFalse(flood[1].done())
        queue.ranking.fair_share.charge("w2", 5.0, 0.0)
        late = queue.admit(make_call(workspace="w2", **FAR), 0.0)
        queue.release(0.0)
        self.assertEqual((flood[1].done(), late.done()), (True, False))

    async def test_full_queue_evicts_from_the_workspace_that_used_most(self):
        """Guards against small workspaces refused for the queue of a large one."""
        queue = make_queue(slots=2, running=2)
        victims = []
        queue.on_evicted = lambda victim, call: victims.append(victim.workspace)
        small = queue.admit(make_call(workspace="w2", **FAR), 0.0)
        flood = [queue.admit(make_call(workspace="w1", **FAR), 0.0) for _ in range(3)]
        for _ in range(5):
            with self.assertRaises(Saturated):
                queue.admit(make_call(workspace="w1", **FAR), 0.0)
        other = queue.admit(make_call(workspace="w3", **FAR), 0.0)
        self.assertEqual(victims, ["w1"])
        self.assertIsInstance(flood[-1].exception(), Saturated)
        self.assertFalse(small.done() or other.done())

    async def test_priority_goes_before_fairness(self):
        """Guards against urgent workspaces that wait for less urgent idle ones."""
        queue = make_queue(slots=1, running=1)
        queue.ranking.fair_share.charge("w1", 9.0, 0.0)
        idle = queue.admit(make_call(workspace="w2", priority=202, **FAR), 0.0)
        urgent = queue.admit(make_call(workspace="w1", priority=101, **FAR), 0.0)
        queue.release(0.0)
        self.assertEqual((urgent.done(), idle.done()), (True, False))

    async def test_charge_is_corrected_at_the_end(self):
        """Guards against calls that were never sent but count as use."""
        queue = make_queue(slots=1)
        call = make_call(workspace="w1")
        queue.admit(call, 0.0)
        share = queue.ranking.fair_share
        self.assertAlmostEqual(share.use_s("w1", 0.0), LONG_S)
        queue.record_end(call, 0.0, 1.0, 0.0)
        self.assertAlmostEqual(share.use_s("w1", 0.0), 0.0)

    async def test_call_with_much_time_waits_for_the_end_of_a_slow_phase(self):
        """Guards against refusals of work that has time to wait for normal pace.

        At pace 7, the call alone seems to take 1.4 s of the 1.5 s that it has.
        """
        for workspace, waits in (("w1", True), ("", False)):
            queue, _ = make_queue_with_pace(7.0, slots=2, running=2)
            call = make_call(
                now=0.01, soft_deadline=1.5, deadline=3.0, workspace=workspace
            )
            with self.subTest(workspace=workspace):
                if not waits:
                    with self.assertRaises(Saturated):
                        queue.admit(call, 0.01)
                    continue
                waiting = queue.admit(call, 0.01)
                queue.pace.record(1.0, 1.45)
                queue.expire(1.45)
                self.assertFalse(waiting.done())

    async def test_call_with_much_time_gives_way(self):
        """Guards against calls that miss their time for ones that could wait."""
        queue = make_queue(slots=1, running=1)
        patient = queue.admit(make_call(workspace="w1", **FAR), 0.0)
        hurried = queue.admit(make_call(workspace="w2", soft_deadline=0.9), 0.0)
        queue.release(0.0)
        self.assertEqual((hurried.done(), patient.done()), (True, False))

    async def test_call_that_waits_for_pace_blocks_no_other_work(self):
        """Guards against free slots behind a call that must not start yet."""
        queue, _ = make_queue_with_pace(7.0, slots=2, running=1)
        kinds = queue.ranking.kinds
        for _ in range(20):
            kinds.record("accession", 1, False, 0.0)
            kinds.record("rights", 1, True, 0.0)
        queue.paused_until = 0.02
        patient = {"soft_deadline": 1.5, "workspace": "w1"}
        first = queue.admit(make_call(now=0.01, **patient), 0.01)
        second = queue.admit(make_call("rights", 0.01, workspace="w1"), 0.01)
        queue.expire(0.03)
        self.assertEqual((first.done(), second.done()), (False, True))


class OverloadTest(unittest.IsolatedAsyncioTestCase):
    """Shares served at 1.6 times the capacity, for calls that are offered once.

    Of the offered work, 1 / 1.6 = 0.62 fits. Callers that are refused return once, so
    0.75 of a small workspace's offers give 0.94 of its requests a response.
    """

    def run_records(self, **values):
        """Run a load whose accounts are lost once, as by a restart of the daemon."""
        load = QueueLoad(make_records_kinds(**values), 11)
        load.later(75.0, lambda: load.queue.ranking.fair_share.accounts.clear())
        return load.run(150.0)

    async def test_kinds_are_served_by_their_priority_and_none_starves(self):
        """Guards against kinds that get no slots for others that are less urgent.

        The shares may differ by 0.05, twice the standard deviation of 400 calls. No
        kind gets less than a quarter of what fits, whatever its priority.
        """
        names = "statement-archive", "loan-summary", "member-profile"
        for priorities in ((202, 101, 101), (101, 202, 202), (101, 202, 303)):
            load = self.run_records(overload=1.6, priorities=priorities)
            shares = [load.share("served", kind=name) for name in names]
            with self.subTest(priorities=priorities, shares=shares):
                self.assertGreater(min(shares), 0.62 / 4)
                for first, share in zip(priorities, shares, strict=True):
                    for other, less in zip(priorities, shares, strict=True):
                        self.assertTrue(first >= other or share > less - 0.05)

    async def test_small_workspaces_are_served_under_overload(self):
        """Guards against overload of which all get the same part, whoever causes it."""
        load = self.run_records(overload=1.6)
        self.assertGreater(share_of_group(load, "rank 11 to 80"), 0.75)

    async def test_flood_of_one_workspace_leaves_the_others_their_share(self):
        """Guards against a workspace that takes the slots of all others.

        At 0.56 of the capacity, and with one workspace at 7.5 times its usual load, the
        others get what two attempts need, 0.75, and the flood what is left.
        """
        load = self.run_records(overload=0.56, flood=7.5)
        for group in ("rank 2 to 10", "rank 11 to 80"):
            self.assertGreater(share_of_group(load, group), 0.75)
        self.assertGreater(share_of_group(load, "largest"), 0.3)


if __name__ == "__main__":
    unittest.main()
