"""Runs the stateful property tests with a fixed seed.

A second group of tests disables one safety mechanism each and requires that the
property tests detect it.
"""

import unittest
from unittest import mock

from hypothesis.stateful import run_state_machine_as_test

from goldcresthoist.operations import (
    _operation_starter,
    _outcome_recorder,
    _parts,
    expiry,
    ledger,
)
from goldcresthoist.operations._records import State
from goldcresthoist.operations.results import Released
from goldcresthoist.operations.tests.ledger_machine import LedgerMachine
from goldcresthoist.operations.tests.upload_machine import UploadMachine
from goldcresthoist.table import ReadBack, conditional_write
from goldcresthoist.tests.fake_platform import FakeTable
from goldcresthoist.tests.machine_base import finds_violation, fixed_settings

LEDGER_EXAMPLES = 150
UPLOAD_EXAMPLES = 300
# A test with a disabled mechanism stops at the first example that fails.
MAX_EXAMPLES = 2000


class MachineTest(unittest.TestCase):
    """Tests the guarantees under random interleavings and faults.

    Operations run at most once, and acknowledged bytes are not lost.
    """

    def test_operations(self):
        run_state_machine_as_test(
            LedgerMachine, settings=fixed_settings(LEDGER_EXAMPLES)
        )

    def test_uploads(self):
        chosen = fixed_settings(UPLOAD_EXAMPLES)
        run_state_machine_as_test(UploadMachine, settings=chosen)


class DisabledMechanismTest(unittest.TestCase):
    """Tests that the property tests fail if a safety mechanism does not work."""

    def assert_violation_found(self, machine, pattern, target, name, replacement):
        with mock.patch.object(target, name, replacement):
            self.assertTrue(finds_violation(machine, pattern, MAX_EXAMPLES))

    def test_without_write_conditions(self):
        patch = {"target": FakeTable, "name": "holds", "replacement": lambda *_: True}
        self.assert_violation_found(LedgerMachine, "ran 2 times", **patch)
        self.assert_violation_found(UploadMachine, "stored .* instead", **patch)

    def test_without_read_back(self):
        async def always_applied(read_back):
            return ReadBack.APPLIED

        patch = {
            "target": conditional_write,
            "name": "_seen",
            "replacement": always_applied,
        }
        self.assert_violation_found(LedgerMachine, "ran 2 times", **patch)
        self.assert_violation_found(UploadMachine, "fell back", **patch)

    def test_without_release_of_undecided_starts(self):
        self.assert_violation_found(
            LedgerMachine,
            "started for ever",
            _operation_starter.OperationStarter,
            "release_in_background",
            lambda *_: None,
        )

    def test_without_record_of_released_starts(self):
        release = _outcome_recorder.OutcomeRecorder.release

        async def without_record(self, previous, started):
            record = await self.records.get(started.service, started.key)
            if record is None:
                return Released()
            return await release(self, previous, started)

        self.assert_violation_found(
            LedgerMachine,
            "started for ever",
            _outcome_recorder.OutcomeRecorder,
            "release",
            without_record,
        )

    def test_with_restart_of_started_operations(self):
        def may_restart_started(record, digest):
            return record is None or record.state in (State.RELEASED, State.STARTED)

        self.assert_violation_found(
            LedgerMachine, "ran 2 times", ledger, "_may_start", may_restart_started
        )

    def test_with_cancellation_of_started_operations(self):
        def may_cancel_started(record):
            return record.state in (State.STARTED, State.CLAIMED, State.RELEASED)

        self.assert_violation_found(
            LedgerMachine, "not-run", ledger, "_may_cancel", may_cancel_started
        )

    def test_without_read_back_of_the_part_item(self):
        async def never_committed(self, part):
            return False

        self.assert_violation_found(
            UploadMachine, "missing", _parts.PartStore, "is_committed", never_committed
        )

    def test_without_idle_time_before_expiry(self):
        self.assert_violation_found(UploadMachine, "expired", expiry, "MIN_IDLE_S", 0)
