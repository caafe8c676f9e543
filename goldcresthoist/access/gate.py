"""Concurrency limit and circuit breaker for the calls to one platform service."""

import asyncio
import random
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass

from goldcresthoist.access.errors import CallFailed, CallNotSent

__all__ = ["CallGate", "GateLimits"]


@dataclass(frozen=True, slots=True)
class GateLimits:
    """Limits of one `CallGate`.

    Attributes
    ----------
    concurrency : int
        Calls that may run at the same time.
    max_waiting : int
        Calls that may wait for a running call to end; further calls are refused.
    failure_threshold : int
        Consecutive failures that open the circuit.
    first_probe_delay_s, max_probe_delay_s : float
        Mean time in seconds before an open circuit admits its first probe, and the
        longest mean time to which it doubles with each failed probe.
    """

    concurrency: int = 16
    max_waiting: int = 256
    failure_threshold: int = 3
    first_probe_delay_s: float = 0.1
    max_probe_delay_s: float = 5.0


class CallGate:
    """Concurrency limit and circuit breaker in front of one service.

    While the circuit is open, calls are refused immediately, except that one call at a
    time is admitted as a probe after a delay with jitter. When a probe succeeds, the
    circuit closes with a concurrency limit of 1, which grows by 1 with each further
    success. The daemons of a fleet thus do not send their full load to a service that
    has just recovered.

    Parameters
    ----------
    name : str
        Name of the service, for error messages.
    limits : GateLimits
    rng : random.Random
        Source of the jitter of the probe delays.

    Attributes
    ----------
    concurrency_limit : int
        Calls that may currently run at the same time.
    failures : int
        Consecutive failures since the last success.
    next_probe_at : float or None
        Loop time from which a probe is admitted; None while the circuit is closed.
    """

    def __init__(self, name, limits=None, rng=None):
        self.name = name
        self.limits = limits or GateLimits()
        self.rng = rng or random.Random()
        self.concurrency_limit = self.limits.concurrency
        self.in_flight = 0
        self.failures = 0
        self.pause_s = self.limits.first_probe_delay_s
        self.next_probe_at = None
        self.probing = False
        self.waiters = deque()

    @property
    def is_open(self):
        """Whether the circuit is open, so that only probes are admitted."""
        return self.next_probe_at is not None

    @asynccontextmanager
    async def admit(self, deadline, urgent=False, waits=False):
        """Return a context manager that holds one unit of concurrency for a call.

        The body must raise `CallFailed` or `CallNotSent` when the service did not
        respond; these are counted as failures. Other exceptions are counted neither
        as a success nor as a failure.

        Parameters
        ----------
        deadline : float
            Latest time to be admitted, on the clock of the running event loop, in
            seconds.
        urgent : bool
            Whether the call is admitted at once, whatever the state of the circuit. It
            is meant for rare calls that must reach the service soon after it has
            recovered.
        waits : bool
            Whether the service is asked to delay its response, as in a long poll. Such
            a call is no load for the service, so it is admitted without a unit of
            concurrency unless it is a probe.

        Raises
        ------
        CallNotSent
            If the circuit is open, or opens while the call waits; if too many calls
            are waiting; or if the deadline passes before the call is admitted.
        """
        holds_unit = self.is_open or not waits
        probe = holds_unit and await self._acquire(deadline, urgent)
        try:
            yield
        except (CallFailed, CallNotSent):
            self._record_failure(probe)
            raise
        except BaseException:
            self._release_probe(probe)
            raise
        else:
            self._record_success(probe)
        finally:
            if holds_unit:
                self.in_flight -= 1
            self._admit_waiters()

    def reduce_concurrency(self):
        """Halve the concurrency limit after a throttling response of the service."""
        self.concurrency_limit = max(1, self.concurrency_limit // 2)

    async def _acquire(self, deadline, urgent):
        if urgent:
            self.in_flight += 1
            return False
        if self.is_open:
            self._begin_probe()
            return True
        if self.in_flight < self.concurrency_limit and not self.waiters:
            self.in_flight += 1
            return False
        if len(self.waiters) >= self.limits.max_waiting:
            raise CallNotSent(
                f"{self.name}: queue is full, {len(self.waiters)} calls are waiting"
            )
        await self._wait(deadline)
        return False

    def _begin_probe(self):
        now = asyncio.get_running_loop().time()
        if self.probing or now < self.next_probe_at:
            raise CallNotSent(f"{self.name}: circuit is open after failed calls")
        self.probing = True
        self.in_flight += 1

    async def _wait(self, deadline):
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except BaseException as exc:
            self._remove_waiter(waiter)
            if isinstance(exc, TimeoutError):
                raise CallNotSent(
                    f"{self.name}: deadline passed while the call waited"
                ) from exc
            raise

    def _remove_waiter(self, waiter):
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        granted = waiter.done() and not waiter.cancelled() and not waiter.exception()
        if granted:
            self.in_flight -= 1
            self._admit_waiters()

    def _admit_waiters(self):
        while (
            self.waiters
            and not self.is_open
            and self.in_flight < self.concurrency_limit
        ):
            waiter = self.waiters.popleft()
            if not waiter.done():
                self.in_flight += 1
                waiter.set_result(None)

    def _record_success(self, probe):
        if probe:
            self.probing = False
            self.next_probe_at = None
            self.concurrency_limit = 1
        if self.is_open:
            return
        self.failures = 0
        self.pause_s = self.limits.first_probe_delay_s
        self.concurrency_limit = min(
            self.limits.concurrency, self.concurrency_limit + (not probe)
        )

    def _record_failure(self, probe):
        if probe:
            self.probing = False
            self.pause_s = min(self.limits.max_probe_delay_s, 2 * self.pause_s)
            self._schedule_probe()
            return
        self.failures += 1
        if self.failures >= self.limits.failure_threshold and not self.is_open:
            self._schedule_probe()
            self._refuse_waiters()

    def _release_probe(self, probe):
        # A cancelled probe does not show whether the service is up, so the next call is
        # admitted as a probe at once.
        if probe:
            self.probing = False

    def _schedule_probe(self):
        # Without jitter all daemons of a fleet would probe at the same time.
        pause = self.pause_s * self.rng.uniform(0.5, 1.5)
        self.next_probe_at = asyncio.get_running_loop().time() + pause

    def _refuse_waiters(self):
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_exception(
                    CallNotSent(f"{self.name}: circuit opened while the call waited")
                )
