"""Runs the state machine with a fixed seed, and with single mechanisms disabled."""

import unittest
from unittest import mock

from hypothesis.stateful import run_state_machine_as_test

from goldcresthoist.config import store
from goldcresthoist.config.tests.machines import ConfigurationMachine
from goldcresthoist.table import ReadBack, conditional_write
from goldcresthoist.tests.fake_platform import FakeTable
from goldcresthoist.tests.machine_base import finds_violation, fixed_settings

EXAMPLES = 150
# A run with a disabled mechanism ends at the first example that finds the violation.
MAX_EXAMPLES = 2000


class MachineTest(unittest.TestCase):
    """Guards against loss or reversal of versions under concurrency and faults."""

    def test_configuration(self):
        run_state_machine_as_test(
            ConfigurationMachine, settings=fixed_settings(EXAMPLES)
        )


class DisabledMechanismTest(unittest.TestCase):
    """Guards against a state machine that misses the violations it is to find.

    Each test disables a mechanism of the store and expects the given violations.
    """

    def assert_found(self, patterns, target, name, replacement):
        for pattern in patterns:
            with self.subTest(pattern), mock.patch.object(target, name, replacement):
                self.assertTrue(
                    finds_violation(ConfigurationMachine, pattern, MAX_EXAMPLES)
                )

    def test_conditional_writes(self):
        patterns = ("went from", "two contents", "history")
        self.assert_found(patterns, FakeTable, "holds", lambda *_: True)

    def test_read_back(self):
        async def assume_success(read_back):
            return ReadBack.APPLIED

        patterns = ("is not current", "two contents")
        self.assert_found(patterns, conditional_write, "_seen", assume_success)

    def test_lost_response_is_not_taken_as_rejection(self):
        async def assume_rejection(read_back):
            return ReadBack.CONFLICT

        self.assert_found(("rejected",), conditional_write, "_seen", assume_rejection)

    def test_owner_items(self):
        async def no_owners(table, team, before, after):
            return []

        self.assert_found(("two teams",), store, "ownership_writes", no_owners)
