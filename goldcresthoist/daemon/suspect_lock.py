"""Mutual exclusion of requests that are suspected of crashing the upstream."""

import asyncio

from goldcresthoist.clock import monotonic

__all__ = ["SuspectLock"]


class SuspectLock:
    """Lets one crash suspect run at a time, while the others wait.

    A crash suspect is a request that was running when an upstream crashed. If only one
    runs at a time, a second crash identifies the request that causes it.

    Parameters
    ----------
    suspects : CrashSuspects
    """

    def __init__(self, suspects):
        self.suspects = suspects
        self.waiters = []

    def is_refused(self, message):
        """Return whether the request of an `Open` message must not run again."""
        return self.suspects.refused(
            message.fingerprint, monotonic(), message.crash_count
        )

    def is_suspect_hedge(self, message):
        """Return whether an `Open` message is a hedge of a crash suspect.

        Two copies could crash two upstreams before the first crash is counted.
        """
        known = self.suspects.count(message.fingerprint, monotonic())
        return message.hedge and known > 0

    async def acquire(self, message, deadline):
        """Wait until no other suspect runs, if the request is a suspect itself.

        Parameters
        ----------
        message : Open
        deadline : float
            End of the wait, on the clock of `goldcresthoist.clock`.

        Returns
        -------
        bool
            False when the deadline passed before the request could run.
        """
        loop = asyncio.get_running_loop()
        start = self.suspects.try_start
        while not start(message.fingerprint, monotonic(), message.crash_count):
            waiter = loop.create_future()
            self.waiters.append(waiter)
            timeout_s = deadline - monotonic()
            try:
                done, _ = await asyncio.wait((waiter,), timeout=timeout_s)
            finally:
                if waiter in self.waiters:
                    self.waiters.remove(waiter)
            if not done:
                return False
        return True

    def release(self, fingerprint, succeeded):
        """Release the lock if the request holds it, and wake the waiting requests."""
        self.suspects.end(fingerprint, succeeded)
        if self.waiters and self.suspects.running is None:
            waiters, self.waiters = self.waiters, []
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
