"""Base of the state machines that interleave daemons on fake platform services."""

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
    "DAEMON_INDEXES",
    "WRITE_FAULTS",
    "ONE_IN_THREE",
    "PlatformMachine",
    "finds_violation",
    "fixed_settings",
]

DAEMON_INDEXES = st.integers(0, 2)
# Values of `Host.faults`; the empty text stands for a write without a fault.
WRITE_FAULTS = st.sampled_from(["", "lose", "late", "vanish", "lose-and-pause"])
OUTAGE_DURATIONS_S = st.sampled_from([0.3, 3.0, 30.0])
# This is true in one of three draws. Rules that cancel an operation, kill a daemon or
# begin an outage take effect only when it is true, and so less often than the rules
# that use the same operations, daemons and services.
ONE_IN_THREE = st.integers(0, 2).map(lambda number: number == 2)
# Virtual time in seconds that suffices for all background writes after the faults end.
RECOVERY_TIME_S = 600.0


def fixed_settings(examples, steps=40):
    """Return Hypothesis settings that generate the same examples in every run."""
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
    """Return whether some example violates a check whose message matches a pattern.

    Tests inject a fault by a patch and use this to prove that the check detects it.

    Parameters
    ----------
    machine : type
        A subclass of `PlatformMachine`.
    pattern : str
        Regular expression. Violations with other messages are ignored.
    examples : int
        Maximum number of examples to run.
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
    """Daemons that can be paused and killed, on platform services that can fail.

    A subclass defines ``make_daemon(name)``, which returns an object whose attribute
    ``host`` is a `Host`. Tasks report violations by calling `violation`, because
    nothing awaits them and their exceptions would be lost.

    Attributes
    ----------
    tasks : dict of str to list of asyncio.Task
        Tasks that run as part of a daemon, by the name of its host.
    dead : set of str
        Names of the hosts that were killed.
    started : int
        Number of daemons that were started, including those that were killed.
    """

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.loop.set_exception_handler(self._report_loop_error)
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.violations = []
        self.tasks = {}
        self.dead = set()
        self.started = 0
        self.daemons = [self.new_daemon() for _ in range(3)]
        self.killed_daemons = []

    def new_daemon(self):
        """Return a daemon with a name that has not been used before."""
        self.started += 1
        return self.make_daemon(f"daemon-{self.started}")

    def _report_loop_error(self, loop, context):
        self.violation(f"{context['message']}: {context.get('exception')!r}")

    def violation(self, text):
        """Record a violation, which fails the example after the current step."""
        self.violations.append(text)

    def spawn(self, daemon, coroutine):
        """Start a task that runs a coroutine as part of a daemon."""
        task = self.loop.create_task(self._report_exceptions(coroutine))
        # A task that is cancelled before its first step never starts the coroutine;
        # closing it avoids a warning that it was never awaited.
        task.add_done_callback(lambda task: coroutine.close())
        self.tasks.setdefault(daemon.host.name, []).append(task)

    async def _report_exceptions(self, coroutine):
        try:
            await coroutine
        except asyncio.CancelledError:
            raise
        except (ObjectsUnavailable, TableUnavailable):
            pass
        except Exception as exc:
            self.violation(f"unexpected {exc!r}")

    def run_for(self, seconds):
        """Run the loop for a span of virtual time."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(steps=st.integers(1, 8))
    def run_steps(self, steps):
        """Run the tasks for a few steps without advancing the virtual time."""
        for _ in range(steps):
            self.run_for(0)

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def pass_time(self, seconds):
        """Advance the virtual time, so that timers fire."""
        self.run_for(seconds)

    @rule(index=DAEMON_INDEXES)
    def pause(self, index):
        """Pause a daemon at its next `Host.checkpoint`."""
        self.daemons[index].host.running.clear()

    @rule(index=DAEMON_INDEXES)
    def resume(self, index):
        """Resume a paused daemon."""
        self.daemons[index].host.running.set()

    @rule(index=DAEMON_INDEXES, selected=ONE_IN_THREE)
    def kill(self, index, selected):
        """Kill a daemon and start another one in its place."""
        if not selected:
            return
        host = self.daemons[index].host
        host.dead = True
        self.dead.add(host.name)
        # The reference keeps its pending tasks from being garbage-collected.
        self.killed_daemons.append(self.daemons[index])
        self.daemons[index] = self.new_daemon()

    @rule(index=DAEMON_INDEXES, fault=WRITE_FAULTS)
    def fail_next_write(self, index, fault):
        """Make the next write of a daemon fail or lose its response."""
        self.add_fault(self.daemons[index], fault)

    def add_fault(self, daemon, fault):
        """Queue a fault for a later write of a daemon, unless it is empty."""
        if fault:
            daemon.host.faults.append(fault)

    @precondition(lambda self: self.table.held_writes)
    @rule()
    def release_late_writes(self):
        """Let the held writes take effect."""
        self.table.release()

    @rule(
        service=st.sampled_from(["table", "objects"]),
        seconds=OUTAGE_DURATIONS_S,
        selected=ONE_IN_THREE,
    )
    def begin_outage(self, service, seconds, selected):
        """Make a service unavailable for a time."""
        if selected:
            self._set_temporarily(getattr(self, service), "down", True, False, seconds)

    @rule(seconds=OUTAGE_DURATIONS_S)
    def slow_table(self, seconds):
        """Make each table call take 0.5 s for a time."""
        self._set_temporarily(self.table, "slow_s", 0.5, 0, seconds)

    def _set_temporarily(self, service, name, value, normal, seconds):
        setattr(service, name, value)
        self.loop.call_later(seconds, setattr, service, name, normal)

    @invariant()
    def nothing_was_violated(self):
        """Fail when a task has recorded a violation."""
        assert not self.violations, self.violations

    def recover(self):
        """End all faults and let every daemon that was not killed finish its work."""
        self.table.down = self.objects.down = False
        self.table.slow_s = 0
        for daemon in self.daemons:
            daemon.host.faults.clear()
            daemon.host.running.set()
        self.run_for(RECOVERY_TIME_S)
        self.table.release()
        self.run_for(RECOVERY_TIME_S)

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
        # Cancelling a task of a killed daemon may start another write, which never
        # completes, so cancelling is repeated until no task is left.
        while remaining := asyncio.all_tasks(self.loop):
            for task in remaining:
                task.cancel()
            self.run_for(0)
        self.loop.close()
