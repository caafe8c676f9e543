"""Pauses between the attempts of one call."""

import asyncio
import random

__all__ = ["Backoff"]


class Backoff:
    """Jittered pauses that double, until a deadline.

    Parameters
    ----------
    deadline : float
        Time of the running loop's clock, in seconds.
    first_s, longest_s : float
        Mean of the first pause and of the longest.
    rng : random.Random
    """

    def __init__(self, deadline, first_s=0.05, longest_s=2.0, rng=random):
        self.deadline = deadline
        self.longest_s = longest_s
        self.pause_s = first_s
        self.rng = rng

    async def pause(self):
        """Wait; return False, at once, if the deadline would pass meanwhile."""
        pause = self.pause_s * self.rng.uniform(0.5, 1.5)
        if asyncio.get_running_loop().time() + pause >= self.deadline:
            return False
        await asyncio.sleep(pause)
        self.pause_s = min(self.longest_s, 2 * self.pause_s)
        return True
