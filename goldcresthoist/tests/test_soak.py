"""A short run of the soak test, and proofs that it finds what it is to find."""

import asyncio
import unittest

from goldcresthoist.tests.soak.run import (
    FAULTS,
    SERVICES,
    GuaranteeViolation,
    SoakRun,
)

CI_SEED = 20261204
CI_DURATION_S = 4.0
# (seed, seconds, cause) of runs that violated a guarantee.
FAILED_SEEDS = ()
# Number of seeds within which the soak test has to find a disabled mechanism.
MAX_SEEDS = 8
DISABLED_DURATION_S = 6.0


class SoakTest(unittest.TestCase):
    def test_short_run(self):
        """Guards against mixed-up responses, double execution and false refusals.

        During the load, daemons are killed, restarted, paused, slowed down and
        reloaded, also while they stop and while their store is away. They are cut off
        from each other and from the store, also one way, and what they send is delayed.
        Their store does not respond, loses rows or is restored from a copy, and their
        clocks are wrong.
        Upstreams drain, leave, crash and send malformed, late or endless responses.
        """
        answers = asyncio.run(SoakRun(CI_SEED, CI_DURATION_S).execute())
        self.assertGreater(answers.get(200, 0), 0)

    def test_seeds_that_failed(self):
        """Guards against the return of faults that the soak test has found."""
        for seed, duration_s, cause in FAILED_SEEDS:
            with self.subTest(seed=seed, cause=cause):
                asyncio.run(SoakRun(seed, duration_s).execute())


class DisabledMechanismTest(unittest.TestCase):
    """Guards against a soak test that finds nothing because it looks at nothing.

    The daemons do without one mechanism, and the soak test has to find the violation
    that this mechanism prevents.
    """

    def find(self, disabled, faults, message, interval_s=0.6, services=SERVICES):
        """Run seeds until one fails with a message."""
        for seed in range(1, MAX_SEEDS + 1):
            run = SoakRun(
                seed,
                DISABLED_DURATION_S,
                services=services,
                faults=faults,
                interval_s=interval_s,
                disabled=disabled,
            )
            found = ()
            try:
                asyncio.run(run.execute())
            except* GuaranteeViolation as group:
                found = group.exceptions
            if found:
                self.assertRegex(str(found), message)
                return
        self.fail(f"{MAX_SEEDS} seeds passed without {disabled}")

    def test_memory_of_departures(self):
        """Without it, a restarted daemon uses an upstream that has left."""
        self.find("departure-memory", ("leave_and_kill",), "after it had drained")

    def test_refusal_of_new_work(self):
        """Without it, an upstream gets work after its departure was acknowledged."""
        self.find("refusal-of-new-work", ("replace_upstream",), "after it had drained")

    def test_whole_responses(self):
        """Without it, a response that breaks off looks complete."""
        self.find("whole-responses", ("crash_upstream",), "got the response|no valid")

    def test_order_of_versions(self):
        """Without it, a late response of the store puts an older version in force."""
        faults = ("change_configuration", "change_configuration", "delay_store")
        # Only daemons that watch the store get late responses; of two, both do.
        services = ("listen", "ledger")
        self.find("order-of-versions", faults, "does not know", 0.15, services)

    def test_eras_of_the_store(self):
        """Without it, a change is not in force after the store was restored."""
        faults = ("restore_with_same_versions",)
        self.find("store-eras", faults, "does not serve version", 3.0)

    def test_pause_detection(self):
        """Without it, a paused daemon runs requests after their deadline."""
        self.find("pause-detection", ("pause",), "after its deadline")

    def test_each_fault_exists(self):
        """Guards against a fault that is named but never injected."""
        for name in FAULTS:
            self.assertTrue(callable(getattr(SoakRun, f"_{name}", None)), name)
