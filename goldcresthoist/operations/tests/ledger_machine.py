"""Stateful property test of at-most-once operations."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import rule

from goldcresthoist.operations._records import RecordTable, State
from goldcresthoist.operations.results import (
    Settlement,
    Started,
)
from goldcresthoist.operations.tests.builders import (
    Daemon,
    deadline_in,
)
from goldcresthoist.operations.tests.oracle import (
    KEYS,
    SERVICE,
    ExecutionOracle,
    answer_of,
)
from goldcresthoist.tests.fake_platform import Host
from goldcresthoist.tests.machine_base import (
    DAEMON_INDEXES,
    ONE_IN_THREE,
    WRITE_FAULTS,
    PlatformMachine,
)

__all__ = ["LedgerMachine"]


class LedgerMachine(PlatformMachine):
    """Callers and operators that use several daemons with one ledger table."""

    def __init__(self):
        super().__init__()
        self.oracle = ExecutionOracle(self.violation)
        self.new_keys = 0

    def make_daemon(self, name):
        """Create a daemon that uses the fake table and the fake object store."""
        return Daemon(self, name)

    @rule(
        index=DAEMON_INDEXES,
        key=KEYS,
        reached=st.booleans(),
        seconds=st.sampled_from([0.01, 5]),
        work_s=st.sampled_from([0, 5]),
        fault=WRITE_FAULTS,
    )
    def call(self, index, key, reached, seconds, work_s, fault):
        """Send an at-most-once request to a daemon.

        `reached` is whether the request reaches the upstream, `seconds` the time until
        the deadline, and `work_s` the processing time of the upstream.
        """
        daemon = self.daemons[index]
        self.add_fault(daemon, fault)
        self.spawn(daemon, self._serve(daemon, key, reached, seconds, work_s))

    @rule(key=KEYS, seconds=st.sampled_from([0.01, 5]), fault=WRITE_FAULTS)
    def call_everywhere(self, key, seconds, fault):
        """Send the same request to all daemons."""
        for index in range(3):
            self.call(index, key, True, seconds, 0, "" if index else fault)

    @rule(index=DAEMON_INDEXES, seconds=st.sampled_from([0.01, 5]), fault=WRITE_FAULTS)
    def call_new_key(self, index, seconds, fault):
        """Send a request whose key is used only once."""
        self.new_keys += 1
        self.call(index, f"new {self.new_keys}", True, seconds, 0, fault)

    @rule(index=DAEMON_INDEXES)
    def drop_calls(self, index):
        """Close all caller connections of a daemon."""
        for task in self.tasks.pop(self.daemons[index].host.name, ()):
            task.cancel()

    @rule(index=DAEMON_INDEXES, key=KEYS, selected=ONE_IN_THREE)
    def cancel(self, index, key, selected):
        """Ask a daemon to cancel an operation."""
        if not selected:
            return
        daemon = self.daemons[index]

        async def cancel():
            result = await daemon.ledger.cancel(SERVICE, key, deadline_in())
            self.oracle.record_result(key, result)

        self.spawn(daemon, cancel())

    @rule(index=DAEMON_INDEXES, key=KEYS)
    def ask_state(self, index, key):
        """Request the state of an operation from a daemon."""
        daemon = self.daemons[index]

        async def ask():
            self.oracle.record_result(key, await daemon.ledger.state(SERVICE, key))

        self.spawn(daemon, ask())

    @rule(index=DAEMON_INDEXES)
    def settle(self, index):
        """Settle the unknown operations of killed daemons with their true outcome."""
        daemon = self.daemons[index]
        self.spawn(daemon, self._settle(daemon))

    async def _serve(self, daemon, key, reached, seconds, work_s):
        result = await daemon.ledger.start(
            SERVICE, key, f"digest of {key}", daemon.name, deadline_in(seconds)
        )
        self.oracle.record_result(key, result)
        if not isinstance(result, Started):
            return
        if not reached:
            await daemon.ledger.release_start(result, deadline_in())
            return
        await asyncio.shield(self._run(daemon, key, result, work_s))

    async def _run(self, daemon, key, started, work_s):
        await daemon.host.checkpoint()
        self.oracle.run(key, daemon.name)
        await asyncio.sleep(work_s)
        await daemon.host.checkpoint()
        await daemon.ledger.finish(started, answer_of(key), deadline_in())

    async def _settle(self, daemon):
        page = await daemon.ledger.list_unknown(SERVICE, self.dead.__contains__)
        for operation in page.operations:
            ran = operation.owner in self.oracle.runners[operation.key]
            settlement = Settlement.FINISHED if ran else Settlement.REFUSED
            await daemon.ledger.settle(operation, settlement, "ann", "", deadline_in())

    def check_recovered(self):
        """Check that records match the runs, and that none stays started for ever.

        Operations whose owner was killed may stay started.
        """
        records = RecordTable(self.table.client(Host("check")))
        for _, key in list(self.table.items):
            record = self.loop.run_until_complete(records.get(SERVICE, key))
            state = record.state if record else None
            if state == State.STARTED and record.owner not in self.dead:
                self.violation(f"{key} is started for ever by {record.owner}")
            if self.oracle.runs[key] and state not in (State.STARTED, State.FINISHED):
                self.violation(f"{key} ran and is {state}")
            if not self.oracle.runs[key] and state == State.FINISHED:
                self.violation(f"{key} did not run and is finished")
