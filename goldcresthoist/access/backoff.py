"""Delays between the attempts of one call."""

import asyncio
import random

__all__ = ["Backoff"]


class Backoff:
    """Exponential backoff with jitter, limited by a deadline.

    The mean delay starts at ``first_s`` and doubles after each delay up to
    ``longest_s``. Each delay is drawn uniformly from 0.5 to 1.5 times the mean.

    Parameters
    ----------
    deadline : float
        On the clock of the running event loop, in seconds.
    first_s, longest_s : float
        Mean of the first and of the longest delay, in seconds.
    rng : random.Random or module, optional
        Source of the jitter.
    """

    def __init__(self, deadline, first_s=0.05, longest_s=2.0, rng=random):
        self.deadline = deadline
        self.longest_s = longest_s
        self.pause_s = first_s
        self.rng = rng

    async def pause(self):
        """Sleep for the next delay and return True.

        If the delay would reach the deadline, return False without sleeping.
        """
        pause = self.pause_s * self.rng.uniform(0.5, 1.5)
        if asyncio.get_running_loop().time() + pause >= self.deadline:
            return False
        await asyncio.sleep(pause)
        self.pause_s = min(self.longest_s, 2 * self.pause_s)
        return True
