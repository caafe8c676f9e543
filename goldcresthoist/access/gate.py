"""Limit on the calls of one daemon to one platform service."""

import asyncio
import random
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass

from goldcresthoist.access.errors import CallFailed, CallNotSent

__all__ = ["CallGate", "GateLimits"]


@dataclass(frozen=True, slots=True)
class GateLimits:
    """Limits of one gate. Times are in seconds.

    ``failures_to_open`` consecutive failures open the circuit. The pause before the
    next probe doubles from ``first_pause_s`` to ``longest_pause_s``.
    """

    concurrency: int = 16
    waiting: int = 256
    failures_to_open: int = 3
    first_pause_s: float = 0.1
    longest_pause_s: float = 5.0


class CallGate:
    """Concurrency limit and circuit breaker in front of one service.

    While the circuit is open, calls are refused at once and a single call at a time
    is let through as a probe. After a probe succeeds, the limit starts at one call
    and grows by one with each success, so that the daemons of a fleet do not send
    their full load to a service that has just recovered.

    Parameters
    ----------
    name : str
        Name of the service, for error messages.
    limits : GateLimits
    rng : random.Random
        Source of the jitter of the pauses.
    """

    def __init__(self, name, limits=None, rng=None):
        self.name = name
        self.limits = limits or GateLimits()
        self.rng = rng or random.Random()
        self.allowed = self.limits.concurrency
        self.in_flight = 0
        self.failures = 0
        self.pause_s = self.limits.first_pause_s
        self.probe_at = None
        self.probing = False
        self.waiters = deque()

    @property
    def is_open(self):
        """Whether calls are refused because the service is down."""
        return self.probe_at is not None

    @asynccontextmanager
    async def admit(self, deadline):
        """Hold one place for a call until the block ends.

        The block raises `CallFailed` or `CallNotSent` when the service did not
        answer; that is counted against the service.

        Parameters
        ----------
        deadline : float
            Time of the running loop's clock, in seconds.

        Raises
        ------
        CallNotSent
            If the circuit is open, the queue is full or the deadline passes first.
        """
        probe = await self._enter(deadline)
        try:
            yield
        except (CallFailed, CallNotSent):
            self._record_failure(probe)
            raise
        except BaseException:
            self._abandon(probe)
            raise
        else:
            self._record_success(probe)
        finally:
            self.in_flight -= 1
            self._wake()

    def throttled(self):
        """Halve the limit after the service asked for fewer calls."""
        self.allowed = max(1, self.allowed // 2)

    async def _enter(self, deadline):
        if self.is_open:
            self._begin_probe()
            return True
        if self.in_flight < self.allowed and not self.waiters:
            self.in_flight += 1
            return False
        if len(self.waiters) >= self.limits.waiting:
            raise CallNotSent(f"{self.name}: {len(self.waiters)} calls are waiting")
        await self._wait(deadline)
        return False

    def _begin_probe(self):
        now = asyncio.get_running_loop().time()
        if self.probing or now < self.probe_at:
            raise CallNotSent(f"{self.name}: service is down, circuit is open")
        self.probing = True
        self.in_flight += 1

    async def _wait(self, deadline):
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except BaseException as exc:
            self._leave_queue(waiter)
            if isinstance(exc, TimeoutError):
                raise CallNotSent(f"{self.name}: deadline passed in queue") from exc
            raise

    def _leave_queue(self, waiter):
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        granted = waiter.done() and not waiter.cancelled() and not waiter.exception()
        if granted:
            self.in_flight -= 1
            self._wake()

    def _wake(self):
        while self.waiters and not self.is_open and self.in_flight < self.allowed:
            waiter = self.waiters.popleft()
            if not waiter.done():
                self.in_flight += 1
                waiter.set_result(None)

    def _record_success(self, probe):
        if probe:
            self.probing = False
            self.probe_at = None
            self.allowed = 1
        if self.is_open:
            return
        self.failures = 0
        self.pause_s = self.limits.first_pause_s
        self.allowed = min(self.limits.concurrency, self.allowed + (not probe))

    def _record_failure(self, probe):
        if probe:
            self.probing = False
            self.pause_s = min(self.limits.longest_pause_s, 2 * self.pause_s)
            self._schedule_probe()
            return
        self.failures += 1
        if self.failures >= self.limits.failures_to_open and not self.is_open:
            self._schedule_probe()
            self._refuse_waiters()

    def _abandon(self, probe):
        # A cancelled probe says nothing about the service; the next call may probe.
        if probe:
            self.probing = False

    def _schedule_probe(self):
        # Jitter keeps the daemons of a fleet from probing at the same moment.
        pause = self.pause_s * self.rng.uniform(0.5, 1.5)
        self.probe_at = asyncio.get_running_loop().time() + pause

    def _refuse_waiters(self):
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_exception(CallNotSent(f"{self.name}: service went down"))
