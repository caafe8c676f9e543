"""Runs the state machine of calls with a fixed seed."""

from goldcresthoist.tests.call_machine import CallMachine
from goldcresthoist.tests.machine_base import fixed_settings

CallMachineTest = CallMachine.TestCase
CallMachineTest.settings = fixed_settings(6, steps=15)
