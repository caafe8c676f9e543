"""Test that deployments without workspaces get the decisions of earlier releases."""

import hashlib
import unittest

from goldcresthoist.bench.queue_load import Kind, QueueLoad

# Decisions of `SlotQueue` at commit 34ffeb7, which knew no fairness, in runs of 60 s:
# load relative to the first, seed, number of decisions and digest.
RECORDED = (
    (1.0, 1, 594, "c80d09882c5a1430"),
    (1.0, 2, 552, "e1d92bf20f43ab58"),
    (2.0, 1, 1127, "68e1ade4152f194d"),
    (2.0, 2, 1065, "0b4e24505b03d069"),
    (3.2, 1, 1743, "cce19fd6fdfcfd0d"),
    (3.2, 2, 1783, "1bed2148689a38d1"),
)


def make_mixed_kinds(load):
    """Return kinds of work without workspaces, with several priorities."""
    values = (
        ("statement-archive", 0.3, 1.506, 3.011, 3.0, (1, 2)),
        ("loan-summary", 0.048, 0.156, 0.622, 2.05, (0, 1)),
        ("balance-view", 0.12, 0.406, 1.521, 2.5, (1, 2, 3)),
        ("member-profile", 0.03, 0.123, 0.411, 1.9, (1,)),
    )
    return tuple(
        Kind(*times, per_s * load, {}, priorities, (0, 0, 1, 3))
        for *times, per_s, priorities in values
    )


class UnchangedOrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_decisions_without_workspaces_are_those_recorded(self):
        """Guards against changes to deployments that have no workspaces.

        The runs include slow phases, pauses, the end of callers that wait and calls
        with alternatives.
        """
        for load_factor, seed, count, digest in RECORDED:
            load = QueueLoad(make_mixed_kinds(load_factor), seed)
            for second in range(60):
                load.later(second + 0.3, lambda: load.queue.pause_until(load.now + 0.1))
                load.later(second + 0.8, load.abandon_oldest)
            load.run(60.0)
            trace = "\n".join(load.trace)
            found = hashlib.sha256(trace.encode()).hexdigest()[:16]
            with self.subTest(load=load_factor, seed=seed):
                self.assertEqual((len(load.trace), found), (count, digest))


if __name__ == "__main__":
    unittest.main()
