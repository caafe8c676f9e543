"""Admission control for calls to the local upstream of a daemon."""

import asyncio

from goldcresthoist.balance._report_delay import clock_ms
from goldcresthoist.balance._work_queues import (
    Slot,
    Waiter,
    WorkQueue,
    is_short,
    long_work_threshold_s,
)
from goldcresthoist.balance.errors import Draining, Saturated
from goldcresthoist.balance.health import UpstreamHealth
from goldcresthoist.balance.policy import Default, Naive
from goldcresthoist.links.frames import LoadReport

__all__ = ["Admission", "Slot"]

# Stands for no limit on the number of calls.
UNLIMITED = 1 << 30
# Weight of one call in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.05
# Lower bound of the retry-after time of refusals.
MIN_RETRY_AFTER_S = 0.01


class Admission:
    """Concurrency slots and a bounded queue for one upstream.

    Short work may use every slot, and long work all but ``short_slots``. Each kind of
    work has its own queue of waiting calls. Short work is served before long work,
    except while long work has fewer slots than ``long_minimum_share`` of the policy
    gives it. A call is refused at once when its expected wait is too long for its
    deadline, or longer than ``wait_multiple`` of the policy times its usual time.

    Parameters
    ----------
    configuration : ServiceConfiguration
        Slots, queue limit and work of the service.
    policy : Naive or Default
        ``Naive`` admits everything.

    Attributes
    ----------
    work_queues : dict
        Queue of the waiting calls of each kind of work, by its name.
    short_queues, long_queues : list of WorkQueue
        Queues of short and of long work, in the order in which they are served.
    health : UpstreamHealth
        Failure detection for the upstream; its result is part of the load reports.
    short_running, long_running : int
        Number of calls that hold a slot, by whether they count as short or long now.
    queued : int
        Number of waiting calls.
    service_s : float
        Moving average, over all calls, of the seconds for which a slot is held.
    refused : int
        Number of calls that were refused for lack of time, slots or queue space, or
        were waiting when the upstream began to drain.
    next_reclassification : float
        Monotonic time at which the next running short call begins to count as long.
    """

    def __init__(self, configuration, policy):
        self.policy = policy
        self.work_queues = {}
        self.health = UpstreamHealth(policy)
        self.running_slots = set()
        self.short_running = 0
        self.long_running = 0
        self.queued = 0
        self.service_s = 0.0
        self.draining = False
        self.refused = 0
        self.next_reclassification = float("inf")
        self.apply(configuration)

    def apply(self, configuration):
        """Apply a new configuration; running and waiting calls are kept."""
        self.configuration = configuration
        self.long_threshold_s = long_work_threshold_s(configuration)
        match self.policy:
            case Naive():
                self.slots = self.queue_limit = UNLIMITED
                self.long_limit, self.long_minimum = UNLIMITED, 0
                self.wait_multiple = self.short_multiple = float("inf")
            case Default() as policy:
                self.slots = configuration.slots
                self.queue_limit = configuration.queue_limit
                self.long_limit = configuration.slots - configuration.short_slots
                share = policy.long_minimum_share
                self.long_minimum = min(self.long_limit, int(self.slots * share))
                self.wait_multiple = policy.wait_multiple
                self.short_multiple = policy.short_multiple
        waiting = {
            name: queue for name, queue in self.work_queues.items() if queue.waiters
        }
        self.work_queues = waiting | {
            rule.name: self._make_queue(rule) for rule in configuration.work
        }
        self._sort_queues()

    @property
    def in_flight(self):
        """Number of calls that hold a slot."""
        return self.short_running + self.long_running

    def acquire_nowait(self, rule, deadline, now):
        """Return a slot if one is free and no other call waits for it, else None.

        Parameters
        ----------
        rule : WorkRule
            The work of the call.
        deadline, now : float
            Monotonic seconds.

        Raises
        ------
        Draining
            If the upstream accepts no new calls.
        Saturated
            If a slot is free but the deadline has passed.
        """
        if self.draining:
            raise Draining
        queue = self.work_queues.get(rule.name) or self._add_queue(rule)
        if now >= self.next_reclassification:
            self._reclassify(now)
        if self.queued and self._has_calls_ahead(queue):
            return None
        if not self._has_free_slot(queue.short):
            return None
        if deadline <= now:
            self._refuse(MIN_RETRY_AFTER_S)
        return self._start(queue, now)

    async def acquire(self, rule, deadline, now):
        """Wait for a slot and return it.

        Parameters
        ----------
        rule : WorkRule
            The work of the call.
        deadline, now : float
            Monotonic seconds.

        Raises
        ------
        Draining, Saturated
            The call was not started and holds no slot.
        """
        slot = self.acquire_nowait(rule, deadline, now)
        if slot is not None:
            return slot
        waiter = self._enqueue(self.work_queues[rule.name], deadline, now)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._abandon(waiter, now)
            raise

    def release(self, slot, now):
        """Release a slot and start the calls that wait for one."""
        if now >= self.next_reclassification:
            self._reclassify(now)
        self.running_slots.remove(slot)
        if slot.short:
            self.short_running -= 1
        else:
            self.long_running -= 1
        held_s = now - slot.started
        slot.queue.record_service(held_s)
        self.service_s += SERVICE_TIME_WEIGHT * (held_s - self.service_s)
        self._start_waiting(now)

    def report(self, now=None):
        """Return the load report that is sent to other daemons with responses.

        With ``now``, the report has a time stamp, from which the receivers estimate its
        delay.
        """
        slots = min(self.slots, self.configuration.slots)
        # In a frame, an integer is encoded in 1 to 3 bytes and a float in 9.
        service_ms = round(self.service_s * 1000.0)
        at_ms = -1 if now is None else clock_ms(now)
        return LoadReport(
            self.in_flight,
            self.queued,
            slots,
            service_ms,
            self.draining,
            at_ms,
            self.health.failing,
        )

    def drain(self):
        """Refuse waiting and new calls from now on; running calls continue."""
        self.draining = True
        for queue in self.work_queues.values():
            while queue.waiters:
                self._fail(queue.waiters.popleft(), Draining())

    def expire(self, now):
        """Refuse the waiting calls that can no longer end before their deadline."""
        for queue in self.work_queues.values():
            late = [item for item in queue.waiters if self._too_late(item, now)]
            for waiter in late:
                queue.waiters.remove(waiter)
                self._fail(waiter, Saturated(queue.service_s))

    def expected_wait_s(self, queue, now):
        """Return the expected wait of a new call in this queue, in seconds."""
        queues = self.short_queues if queue.short else self.long_queues
        # The queues are served in this order, so the new call waits for the calls of
        # all queues up to its own. One service time of its own work is added.
        work_s = 0.0
        for other in queues:
            work_s += len(other.waiters) * other.service_s
            if other is queue:
                break
        work_s += queue.service_s
        if queue.short:
            usable = self.slots - self.long_running
        elif any(other.waiters for other in self.short_queues):
            # While short calls wait, long work gets no more than its minimum.
            usable = self.long_minimum
        else:
            usable = self.long_limit
        return work_s / max(1, usable)

    def _make_queue(self, rule):
        """Return a new queue that takes over the state of the current one, if any."""
        old = self.work_queues.get(rule.name)
        short = is_short(rule, self.long_threshold_s)
        queue = WorkQueue(rule, short, self.short_multiple)
        if old is not None:
            queue.service_s = old.service_s
            queue.waiters = old.waiters
            for waiter in queue.waiters:
                waiter.queue = queue
        return queue

    def _add_queue(self, rule):
        queue = self.work_queues[rule.name] = self._make_queue(rule)
        self._sort_queues()
        return queue

    def _sort_queues(self):
        ordered = sorted(self.work_queues.values(), key=lambda queue: -queue.value_rate)
        self.short_queues = [queue for queue in ordered if queue.short]
        self.long_queues = [queue for queue in ordered if not queue.short]

    def _has_free_slot(self, short):
        if self.short_running + self.long_running >= self.slots:
            return False
        return short or self.long_running < self.long_limit

    def _has_calls_ahead(self, queue):
        """Return whether waiting calls are served before a new call in this queue."""
        if any(other.waiters for other in self.short_queues):
            return True
        return not queue.short and any(other.waiters for other in self.long_queues)

    def _start(self, queue, now):
        slot = Slot(queue, now)
        self.running_slots.add(slot)
        if queue.short:
            self.short_running += 1
            if slot.counts_as_long_at < self.next_reclassification:
                self.next_reclassification = slot.counts_as_long_at
        else:
            self.long_running += 1
        return slot

    def _reclassify(self, now):
        """Count short calls as long once they have run longer than `short_limit_s`."""
        self.next_reclassification = float("inf")
        for slot in self.running_slots:
            if not slot.short:
                continue
            if now >= slot.counts_as_long_at:
                slot.short = False
                self.short_running -= 1
                self.long_running += 1
            elif slot.counts_as_long_at < self.next_reclassification:
                self.next_reclassification = slot.counts_as_long_at

    def _enqueue(self, queue, deadline, now):
        wait_s = self.expected_wait_s(queue, now)
        limit_s = self.wait_multiple * queue.rule.usual_s
        if wait_s > limit_s or now + wait_s + queue.service_s > deadline:
            self._refuse(wait_s)
        if self.queued >= self.queue_limit and not self._evict_less_valuable(
            queue, wait_s
        ):
            self._refuse(wait_s)
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(queue, deadline, future)
        queue.waiters.append(waiter)
        self.queued += 1
        return waiter

    def _evict_less_valuable(self, queue, wait_s):
        """Refuse the newest waiting call of the least valuable queue to make room.

        Returns
        -------
        bool
            False if no queue with waiting calls is less valuable than this one.
        """
        waiting = [other for other in self.work_queues.values() if other.waiters]
        if not waiting:
            return False
        least_valuable = min(waiting, key=lambda other: other.value_rate)
        if least_valuable.value_rate >= queue.value_rate:
            return False
        self._fail(least_valuable.waiters.pop(), Saturated(wait_s))
        return True

    def _refuse(self, wait_s):
        self.refused += 1
        raise Saturated(max(wait_s, MIN_RETRY_AFTER_S))

    def _fail(self, waiter, error):
        self.queued -= 1
        if not waiter.future.done():
            self.refused += 1
            waiter.future.set_exception(error)

    def _abandon(self, waiter, now):
        """Release the slot of a cancelled call, or remove the call from its queue."""
        future = waiter.future
        if future.done() and not future.cancelled() and future.exception() is None:
            slot = future.result()
            self.release(slot, max(now, slot.started))
        elif waiter in waiter.queue.waiters:
            waiter.queue.waiters.remove(waiter)
            self.queued -= 1

    def _too_late(self, waiter, now):
        """Return whether the call would miss its deadline if it started now."""
        return now + waiter.queue.service_s > waiter.deadline

    def _start_waiting(self, now):
        """Start waiting calls while slots are free, and refuse those that are late."""
        while self.queued and self.in_flight < self.slots:
            queue = self._next_queue()
            if queue is None:
                return
            waiter = queue.waiters.popleft()
            if waiter.future.done():
                self.queued -= 1
            elif self._too_late(waiter, now):
                self._fail(waiter, Saturated(MIN_RETRY_AFTER_S))
            else:
                self.queued -= 1
                waiter.future.set_result(self._start(queue, now))

    def _next_queue(self):
        """Return the queue whose oldest call gets the next free slot, or None."""
        short = next((queue for queue in self.short_queues if queue.waiters), None)
        if self.long_running >= self.long_limit:
            return short
        long = next((queue for queue in self.long_queues if queue.waiters), None)
        if long is None or short is None:
            return short or long
        if self.long_running < self.long_minimum:
            return long
        return short
