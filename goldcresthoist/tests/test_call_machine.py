"""Runs the call state machine on a fixed set of examples."""

from goldcresthoist.tests.call_machine import CallMachine
from goldcresthoist.tests.machine_base import fixed_settings

CallMachineTest = CallMachine.TestCase
CallMachineTest.settings = fixed_settings(6, steps=15)
