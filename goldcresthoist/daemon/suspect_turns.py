"""Order in which requests run that may crash the upstream."""

import asyncio
from time import monotonic

__all__ = ["SuspectTurns"]


class SuspectTurns:
    """Lets one crash suspect run at a time; the others wait.

    Parameters
    ----------
    suspects : CrashSuspects
    """

    def __init__(self, suspects):
        self.suspects = suspects
        self.waiters = []

    def refuses(self, message):
        """Return whether the request of an `Open` must not run again."""
        return self.suspects.refused(
            message.fingerprint, monotonic(), message.crash_count
        )

    def refuses_hedge(self, message):
        """Return whether an `Open` is a second copy of a suspect.

        Two copies could end two upstreams before either crash is counted.
        """
        known = self.suspects.count(message.fingerprint, monotonic())
        return message.hedge and known > 0

    async def take(self, message, deadline):
        """Wait until no other suspect runs; return at once for other requests.

        Returns
        -------
        bool
            False when the deadline, in monotonic seconds, passed first.
        """
        loop = asyncio.get_running_loop()
        start = self.suspects.try_start
        while not start(message.fingerprint, monotonic(), message.crash_count):
            waiter = loop.create_future()
            self.waiters.append(waiter)
            timeout_s = deadline - monotonic()
            done, _ = await asyncio.wait((waiter,), timeout=timeout_s)
            if not done:
                return False
        return True

    def end(self, fingerprint, succeeded):
        """End the turn of a request and wake those that wait."""
        self.suspects.end(fingerprint, succeeded)
        if self.waiters and self.suspects.running is None:
            waiters, self.waiters = self.waiters, []
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
