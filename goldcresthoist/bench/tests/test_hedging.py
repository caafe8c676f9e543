"""Tests of the measurement of hedges."""

import unittest

from goldcresthoist.bench.hedging import draw_latencies, measure


class HedgingBenchTest(unittest.TestCase):
    def test_limit_shortens_the_tail_within_the_share(self):
        """Guards against a limit that is exceeded, or has no effect on slow requests.

        The same seed must give the same figures.
        """
        latencies = draw_latencies(0.04, requests=20_000)
        without = measure(None, latencies)
        limited = measure(0.02, latencies)
        self.assertEqual(measure(0.02, latencies), limited)
        self.assertEqual(without.hedge_share, 0.0)
        self.assertLessEqual(limited.hedge_share, 0.02)
        self.assertGreater(limited.hedge_share, 0.01)
        self.assertLess(limited.p99_s, without.p99_s)
        self.assertLess(limited.added_work, 0.02)


if __name__ == "__main__":
    unittest.main()
