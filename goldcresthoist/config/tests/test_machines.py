"""Runs the state machine with a fixed seed, and with a mechanism off."""

import unittest
from unittest import mock

from hypothesis.stateful import run_state_machine_as_test

from goldcresthoist.config import store
from goldcresthoist.config.tests.machines import ConfigurationMachine
from goldcresthoist.table import Seen, decided
from goldcresthoist.tests.fake_platform import FakeTable
from goldcresthoist.tests.machine_base import finds_violation, fixed_settings

EXAMPLES = 150
# A check with its mechanism off stops at the first example that fails.
MOST_EXAMPLES = 2000


class MachineTest(unittest.TestCase):
    """Guards accepted versions in any interleaving of operators and faults."""

    def test_configuration(self):
        run_state_machine_as_test(
            ConfigurationMachine, settings=fixed_settings(EXAMPLES)
        )


class MechanismOffTest(unittest.TestCase):
    """Guards against checks that would not notice the loss of a mechanism."""

    def assert_found(self, patterns, target, name, replacement):
        for pattern in patterns:
            with self.subTest(pattern), mock.patch.object(target, name, replacement):
                self.assertTrue(
                    finds_violation(ConfigurationMachine, pattern, MOST_EXAMPLES)
                )

    def test_conditions(self):
        patterns = ("went from", "two contents", "history")
        self.assert_found(patterns, FakeTable, "holds", lambda *_: True)

    def test_read_back(self):
        async def assume_success(read_back):
            return Seen.OWN

        patterns = ("is not current", "two contents")
        self.assert_found(patterns, decided, "_seen", assume_success)

    def test_lost_answer_is_not_taken_as_refusal(self):
        async def assume_refusal(read_back):
            return Seen.OTHER

        self.assert_found(("rejected",), decided, "_seen", assume_refusal)

    def test_owner_items(self):
        async def no_owners(table, team, before, after):
            return []

        self.assert_found(("two teams",), store, "ownership_writes", no_owners)
