"""Monotonic time that goes on while the machine is suspended."""

import asyncio
import time

__all__ = ["loop_time", "monotonic"]


def _boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_BOOT_OFFSET_S = _boot_time() - time.monotonic()


def monotonic():
    """Return monotonic seconds, the time of suspensions of the machine included.

    The clock of `time.monotonic` and of the event loop does not include them, so a
    deadline on that clock would be extended by each suspension. Both clocks agree until
    the first suspension after the start of the process.
    """
    return _boot_time() - _BOOT_OFFSET_S


def loop_time(deadline):
    """Return the time on the clock of the event loop that corresponds to a deadline.

    Parameters
    ----------
    deadline : float
        In seconds of `monotonic`.
    """
    return asyncio.get_running_loop().time() + deadline - monotonic()
