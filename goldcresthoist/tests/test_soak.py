"""A short seeded run of the fault soak, and each seed that ever failed."""

import asyncio
import unittest

from goldcresthoist.tests.soak.run import SoakRun

CI_SEED = 20261204
CI_LENGTH_S = 4.0
# (seed, seconds, cause) of runs that broke a promise once.
FAILED_SEEDS = ()


class SoakTest(unittest.TestCase):
    def test_short_run(self):
        """Guards against answers mixed up, second runs and false refusals.

        Daemons are killed, stopped, paused and reloaded, their store is cut, slow, away
        and forgetful, and upstreams leave, crash and spoil answers meanwhile.
        """
        answers = asyncio.run(SoakRun(CI_SEED, CI_LENGTH_S).play())
        self.assertGreater(answers.get(200, 0), 0)

    def test_seeds_that_failed(self):
        """Guards against faults that the soak has found before."""
        for seed, length_s, cause in FAILED_SEEDS:
            with self.subTest(seed=seed, cause=cause):
                asyncio.run(SoakRun(seed, length_s).play())
