"""Runs the state machine of calls with a fixed seed."""

from hypothesis import HealthCheck, settings

from goldcresthoist.tests.call_machine import CallMachine

CallMachineTest = CallMachine.TestCase
# The verdict must be the same each time, and must not depend on the machine's speed.
CallMachineTest.settings = settings(
    max_examples=12,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
