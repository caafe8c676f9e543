"""Simulated suspension of the machine."""

import time
from unittest import mock

__all__ = ["suspended_for"]


def suspended_for(seconds):
    """Return a patch under which the machine seems to have been suspended until now.

    Only the clocks that count suspension go forward by ``seconds``; those of timers do
    not.
    """
    read_clock = time.clock_gettime

    def read_after_suspension(clock):
        return read_clock(clock) + (seconds if clock == time.CLOCK_BOOTTIME else 0.0)

    return mock.patch("time.clock_gettime", read_after_suspension)
