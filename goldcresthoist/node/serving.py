"""Calls to the own upstream, for the entry daemons of the fleet."""

import asyncio
from time import monotonic

from goldcresthoist.balance import (
    AdmissionRefused,
    Draining,
    SlotCall,
    SlotQueue,
)
from goldcresthoist.balance._lateness import clock_ms
from goldcresthoist.links.frames import ConfigurationContent, FailureKind, LoadReport
from goldcresthoist.node.pace_probe import PaceProbe
from goldcresthoist.node.upstream_run import UpstreamRun

__all__ = ["UpstreamServer"]

EXPIRY_INTERVAL_S = 0.02
# A new upstream takes about twice the usual time for its first seconds.
WARM_UP_PACE = 2.0
# Weight of one call in the share of failed ones, and the time in which half of the
# share is forgotten without calls.
FAILURE_WEIGHT = 0.08
FAILURE_HALF_LIFE_S = 3.0
# A crash counts against the requests that ran; a third one stops them.
MAX_CRASHES = 3


class UpstreamServer:
    """Admits calls, runs them at the upstream and answers.

    It alone reaches the upstream, so it knows the free slots, the connections and
    whether the upstream leaves, and its refusal proves that a call did not run.

    Parameters
    ----------
    own : LocalUpstream
    pool : ConnectionPool
    suspects : CrashSuspects
    counters
        Has ``add(name, amount=1, **labels)``.
    log
        Has ``event(name, **fields)``.
    """

    def __init__(self, own, pool, suspects, counters, log):
        self.own = own
        self.pool = pool
        pool.on_change = self._on_pool_change
        self.suspects = suspects
        self.counters = counters
        self.log = log
        self.queue = SlotQueue()
        self.queue.on_knee_verdict = self._on_local_knee_verdict
        self.probe = PaceProbe(self, counters, log)
        self.queue.ask_pace = self.probe.trigger
        self.draining = False
        # The reason for refusals that other daemons were told last.
        self.announced_state = ""
        self.loop = asyncio.get_running_loop()
        self.running = set()
        self.failures = 0.0
        self.failures_updated_at = 0.0
        self.detached_tasks = set()
        # Set by `LinkServer`.
        self.announce_load = lambda: None
        # Set by whoever keeps the configuration.
        self.configuration_content = lambda: ConfigurationContent(-1, -1, b"")
        # Called with a fingerprint and its count when that changes here.
        self.on_suspect = lambda fingerprint, count: None
        # Called with the own verdict on the knee, and whether it decided.
        self.on_knee_verdict = lambda verdict, decided: None
        self.expiry_task = self.loop.create_task(self._expire())

    def load_report(self):
        """Return the load as it is told to other daemons."""
        now = monotonic()
        queue = self.queue
        gauge = queue.pace
        pace = gauge.pace
        if self.own.is_warming_up(now):
            pace = max(pace, 1.0) * WARM_UP_PACE
        return LoadReport(
            queue.running,
            len(queue.waiting),
            queue.slots,
            round(queue.mean_service_s() * 1000),
            self.refusal_reason() is not None,
            clock_ms(now),
            False,
            round(pace, 2),
            min(60_000, int((now - gauge.pace_time) * 1000)),
            round(self.failure_share(now), 2),
        )

    def failure_share(self, now):
        """Return the share of recent calls that failed; it fades without new ones."""
        fade = 0.5 ** ((now - self.failures_updated_at) / FAILURE_HALF_LIFE_S)
        return self.failures * fade

    def record_end(self, failed, now):
        """Count the end of a call at the upstream."""
        share = self.failure_share(now)
        self.failures = share + FAILURE_WEIGHT * (float(failed) - share)
        self.failures_updated_at = now

    def load_for_pong(self):
        """Return the load to send with a pong."""
        return self.load_report()

    def refusal_reason(self):
        """Return the code with which every call is refused now, or None."""
        if self.draining or self.own.leaving:
            return "draining"
        if not self.own.usable():
            return "not-ready"
        if self.pool.down:
            return "no-upstream"
        return None

    def upstream_changed(self, is_new):
        """Follow what the upstream announced."""
        if is_new:
            self.queue.draining = False
            self._close_idle_connections()
            # Its first calls should not start in a slow phase.
            self.probe.trigger()
        if self.own.leaving:
            self.queue.drain()
        self.queue.slots = self.own.slots
        state = self.refusal_reason()
        if is_new or state != self.announced_state:
            self.announced_state = state
            self.announce_load()

    def start_draining(self):
        """Refuse new and waiting calls from now on; running calls go on."""
        self.draining = True
        self.queue.drain()
        self.announce_load()

    def add_suspect(self, fingerprint, count, instance):
        """Take over a crash suspect; part of the link protocol."""
        self.update_suspect(fingerprint, count)

    def update_suspect(self, fingerprint, count):
        """Take over what another daemon counts for a request; 0 clears it."""
        if count <= 0:
            self.suspects.end(fingerprint, True)
        else:
            self.suspects.learn(fingerprint, count, monotonic())

    def begin(self, call):
        """Give a call a slot, a place in the queue or a refusal."""
        message = call.open
        reason = self.refusal_reason()
        if reason is None and message.service != self.own.service:
            reason = "not-ready"
        now = monotonic()
        crashes = max(
            message.crash_count, self.suspects.count(message.fingerprint, now)
        )
        if reason is None and crashes >= MAX_CRASHES:
            reason = "crash-suspect"
        if reason is not None:
            self._refuse(call, reason, 0.0)
            return
        slot_call = SlotCall(
            message.work,
            message.priority,
            now + message.time_left_us / 1e6,
            now + message.aim_us / 1e6,
            message.others,
        )
        try:
            future = self.queue.admit(slot_call, now)
        except AdmissionRefused as exc:
            self._refuse_admission(call, exc)
            return
        call.begun = UpstreamRun(self, call, slot_call, future)

    async def serve(self, call):
        """Answer one `IncomingCall` that was admitted."""
        call.started = True
        run = call.begun
        call.begun = None
        if call.cancelled:
            run.abandon()
            return
        try:
            await run.wait_for_slot()
        except AdmissionRefused as exc:
            self._refuse_admission(call, exc)
            return
        except asyncio.CancelledError:
            run.abandon()
            raise
        if call.open.repeatable:
            await run.run()
            return
        # What may not be repeated is brought to its end: cut off, nobody would know
        # whether it ran.
        task = self.loop.create_task(run.run())
        self.detached_tasks.add(task)
        task.add_done_callback(self.detached_tasks.discard)
        await asyncio.shield(task)

    async def close(self):
        """Stop the tasks of this object."""
        self.expiry_task.cancel()
        await self.probe.close()
        for task in tuple(self.detached_tasks):
            task.cancel()
        await asyncio.sleep(0)

    def record_crash(self, message):
        """Count a crash of the upstream during a call; return its crash count."""
        now = monotonic()
        fingerprint = message.fingerprint
        self.counters.add("upstream_crashes")
        self.suspects.learn(fingerprint, message.crash_count, now)
        count = self.suspects.record_crash(fingerprint, now)
        self.on_suspect(fingerprint, count)
        return count

    def record_success(self, message):
        """Clear a request of suspicion after it has run well."""
        if self.suspects.by_fingerprint.get(message.fingerprint) is not None:
            self.suspects.end(message.fingerprint, True)
            self.on_suspect(message.fingerprint, 0)

    def report_internal_error(self, call, error):
        """Answer a call after a fault of the daemon itself."""
        self.log.event("call failed", error=repr(error))
        if not call.done:
            call.fail(FailureKind.BROKEN, repr(error), self.load_report())

    def _refuse(self, call, code, retry_after_s):
        self.counters.add("calls_refused", code=code)
        call.refuse(code, code, self.load_report(), int(retry_after_s * 1000))

    def _refuse_admission(self, call, error):
        match error:
            case Draining():
                self._refuse(call, "draining", 0.0)
            case _:
                self._refuse(call, "saturated", error.retry_after_s)

    def _on_pool_change(self):
        self.log.event("upstream connection", down=self.pool.down)
        self.announce_load()

    def add_knee_verdict(self, verdict):
        """Take over what another daemon of the service found; return if it decides."""
        decides = self.queue.knee.learn(verdict)
        if decides:
            self._log_knee_found("verdicts")
        return decides

    def restore_knee(self):
        """Take over what the daemons of the service found before this one started."""
        if not self.queue.knee.found:
            self.queue.knee.found = True
            self._log_knee_found("store")

    def _on_local_knee_verdict(self, verdict):
        self.log.event("verdict on nearly full upstream", slower=verdict)
        self.on_knee_verdict(verdict, self.add_knee_verdict(verdict))

    def _log_knee_found(self, source):
        slots = self.queue.slots
        limit = self.queue.knee.limit(slots)
        self.log.event(
            "slower when nearly full", slots=slots, limit=limit, source=source
        )

    def _close_idle_connections(self):
        """Close connections to an earlier run of the upstream."""
        for connection in tuple(self.pool.idle):
            self.pool.idle.remove(connection)
            connection.close()

    async def _expire(self):
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            if self.queue.waiting:
                self.queue.expire(monotonic())
