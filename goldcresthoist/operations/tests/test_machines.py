"""Runs the state machines with a fixed seed, and with a mechanism off."""

import unittest
from unittest import mock

from hypothesis.stateful import run_state_machine_as_test

from goldcresthoist.operations import _ends, _parts, _starts, expiry, ledger
from goldcresthoist.operations._records import State
from goldcresthoist.operations.results import Released
from goldcresthoist.operations.tests.ledger_machine import LedgerMachine
from goldcresthoist.operations.tests.upload_machine import UploadMachine
from goldcresthoist.table import Seen, decided
from goldcresthoist.tests.fake_platform import FakeTable
from goldcresthoist.tests.machine_base import finds_violation, fixed_settings

EXAMPLES = 150
UPLOAD_EXAMPLES = 300
# A check with its mechanism off stops at the first example that fails.
MOST_EXAMPLES = 2000


class MachineTest(unittest.TestCase):
    """Guards at-most-once runs and acknowledged bytes in any interleaving."""

    def test_operations(self):
        run_state_machine_as_test(LedgerMachine, settings=fixed_settings(EXAMPLES))

    def test_uploads(self):
        chosen = fixed_settings(UPLOAD_EXAMPLES)
        run_state_machine_as_test(UploadMachine, settings=chosen)


class MechanismOffTest(unittest.TestCase):
    """Guards against checks that would not notice the loss of a mechanism."""

    def assert_found(self, machine, pattern, target, name, replacement):
        with mock.patch.object(target, name, replacement):
            self.assertTrue(finds_violation(machine, pattern, MOST_EXAMPLES))

    def test_conditions(self):
        off = {"target": FakeTable, "name": "holds", "replacement": lambda *_: True}
        self.assert_found(LedgerMachine, "ran 2 times", **off)
        self.assert_found(UploadMachine, "stored .* instead", **off)

    def test_read_back(self):
        async def assume_success(read_back):
            return Seen.OWN

        off = {"target": decided, "name": "_seen", "replacement": assume_success}
        self.assert_found(LedgerMachine, "ran 2 times", **off)
        self.assert_found(UploadMachine, "fell back", **off)

    def test_undecided_start_is_voided(self):
        self.assert_found(
            LedgerMachine,
            "started for ever",
            _starts.OperationStarter,
            "release_in_background",
            lambda *_: None,
        )

    def test_release_leaves_a_record_against_the_late_write(self):
        release = _ends.OutcomeRecorder.release

        async def without_record(self, previous, started):
            record = await self.records.get(started.service, started.key)
            if record is None:
                return Released()
            return await release(self, previous, started)

        self.assert_found(
            LedgerMachine,
            "started for ever",
            _ends.OutcomeRecorder,
            "release",
            without_record,
        )

    def test_started_operation_is_not_taken_over(self):
        def take_over(record, digest):
            return record is None or record.state in (State.RELEASED, State.STARTED)

        self.assert_found(LedgerMachine, "ran 2 times", ledger, "_may_start", take_over)

    def test_started_operation_is_not_cancelled(self):
        def any_open(record):
            return record.state in (State.STARTED, State.CLAIMED, State.RELEASED)

        self.assert_found(LedgerMachine, "not-run", ledger, "_may_cancel", any_open)

    def test_part_item_decides_after_a_lost_answer(self):
        async def never(self, part):
            return False

        self.assert_found(
            UploadMachine, "missing", _parts.PartStore, "is_committed", never
        )

    def test_expiry_waits_until_the_upload_is_quiet(self):
        self.assert_found(UploadMachine, "expired", expiry, "MIN_IDLE_S", 0)
