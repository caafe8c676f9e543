"""Base of the state machines that interleave daemons over fake platform services."""

import asyncio
import re

from hypothesis import HealthCheck, Phase, Verbosity, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from goldcresthoist.objects import ObjectsUnavailable
from goldcresthoist.table import TableUnavailable
from goldcresthoist.tests.fake_platform import FakeObjects, FakeTable, VirtualTimeLoop

__all__ = [
    "DAEMONS",
    "FAULTS",
    "SELDOM",
    "PlatformMachine",
    "finds_violation",
    "fixed_settings",
]

DAEMONS = st.integers(0, 2)
FAULTS = st.sampled_from(["", "lose", "late", "vanish", "lose-and-pause"])
OUTAGES_S = st.sampled_from([0.3, 3.0, 30.0])
# An action that ends a key is drawn less often than those that use it.
SELDOM = st.integers(0, 2).map(lambda number: number == 2)
# Long enough for every background write after the faults end.
SETTLING_S = 600.0


def fixed_settings(examples, steps=40):
    """Return settings that give the same examples in every run."""
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        # Shrinking a failure takes minutes; `make fuzz` does it.
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )


def finds_violation(machine, pattern, examples):
    """Return whether some example violates the check whose text matches a pattern.

    Shows that the check finds the fault that a patch has put in.
    """

    class OneCheck(machine):
        def violation(self, text):
            if re.search(pattern, text):
                super().violation(text)

    chosen = settings(fixed_settings(examples), verbosity=Verbosity.quiet)
    try:
        run_state_machine_as_test(OneCheck, settings=chosen)
    except (AssertionError, ExceptionGroup):
        return True
    return False


class PlatformMachine(RuleBasedStateMachine):
    """Daemons that can be paused and killed, over services that can fail.

    A subclass gives `make_daemon`, which returns an object with a `host`. Tasks
    report violations with `violation`, as their own exceptions would be lost.
    """

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.loop.set_exception_handler(self._report)
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.violations = []
        self.tasks = {}
        self.dead = set()
        self.started = 0
        self.daemons = [self.new_daemon() for _ in range(3)]
        self.ended = []

    def new_daemon(self):
        """Return a daemon with a name that no other has had."""
        self.started += 1
        return self.make_daemon(f"daemon-{self.started}")

    def _report(self, loop, context):
        self.violation(f"{context['message']}: {context.get('exception')!r}")

    def violation(self, text):
        """Fail the example after the current step."""
        self.violations.append(text)

    def spawn(self, daemon, coroutine):
        """Run a coroutine in a daemon."""
        task = self.loop.create_task(self._guard(coroutine))
        # A task that is cancelled before its first step does not enter the coroutine.
        task.add_done_callback(lambda task: coroutine.close())
        self.tasks.setdefault(daemon.host.name, []).append(task)

    async def _guard(self, coroutine):
        try:
            await coroutine
        except asyncio.CancelledError:
            raise
        except (ObjectsUnavailable, TableUnavailable):
            pass
        except Exception as exc:
            self.violation(f"unexpected {exc!r}")

    def run_for(self, seconds):
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(steps=st.integers(1, 8))
    def run_steps(self, steps):
        """Run the tasks a few steps, without time passing."""
        for _ in range(steps):
            self.run_for(0)

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def pass_time(self, seconds):
        """Let timers fire."""
        self.run_for(seconds)

    @rule(index=DAEMONS)
    def pause(self, index):
        """Stop a daemon before its next step."""
        self.daemons[index].host.running.clear()

    @rule(index=DAEMONS)
    def resume(self, index):
        """Let a daemon go on."""
        self.daemons[index].host.running.set()

    @rule(index=DAEMONS, sure=SELDOM)
    def kill(self, index, sure):
        """End a daemon and start another in its place."""
        if not sure:
            return
        host = self.daemons[index].host
        host.dead = True
        self.dead.add(host.name)
        # Without a reference, the tasks that hang in it would be collected.
        self.ended.append(self.daemons[index])
        self.daemons[index] = self.new_daemon()

    @rule(index=DAEMONS, fault=FAULTS)
    def fail_next_write(self, index, fault):
        """Lose the answer of the next write of a daemon."""
        self.add_fault(self.daemons[index], fault)

    def add_fault(self, daemon, fault):
        """Let a later write of a daemon fail, unless the fault is empty."""
        if fault:
            daemon.host.faults.append(fault)

    @precondition(lambda self: self.table.held)
    @rule()
    def release_late_writes(self):
        """Let the held writes arrive."""
        self.table.release()

    @rule(service=st.sampled_from(["table", "objects"]), seconds=OUTAGES_S, sure=SELDOM)
    def begin_outage(self, service, seconds, sure):
        """Take a service away for a time."""
        if sure:
            self._set_for(getattr(self, service), "down", True, False, seconds)

    @rule(seconds=OUTAGES_S)
    def slow_table(self, seconds):
        """Make each table call take half a second for a time."""
        self._set_for(self.table, "slow_s", 0.5, 0, seconds)

    def _set_for(self, service, name, value, usual, seconds):
        setattr(service, name, value)
        self.loop.call_later(seconds, setattr, service, name, usual)

    @invariant()
    def nothing_was_violated(self):
        """Raise what the tasks found."""
        assert not self.violations, self.violations

    def recover(self):
        """End all faults and let every living daemon finish its work."""
        self.table.down = self.objects.down = False
        self.table.slow_s = 0
        for daemon in self.daemons:
            daemon.host.faults.clear()
            daemon.host.running.set()
        self.run_for(SETTLING_S)
        self.table.release()
        self.run_for(SETTLING_S)

    def teardown(self):
        """Recover, check the final state and close the loop."""
        try:
            self.recover()
            self.check_recovered()
            self.nothing_was_violated()
        finally:
            self._close_loop()

    def check_recovered(self):
        """Check the state after all faults have ended."""

    def _close_loop(self):
        self.loop.set_exception_handler(lambda loop, context: None)
        # Cancelling a task of a killed daemon may begin another write, which hangs.
        while remaining := asyncio.all_tasks(self.loop):
            for task in remaining:
                task.cancel()
            self.run_for(0)
        self.loop.close()
