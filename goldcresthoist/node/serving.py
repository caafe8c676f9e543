"""Admission of calls to the local upstream, on behalf of all entry daemons."""

import asyncio

from goldcresthoist.balance import (
    AdmissionRefused,
    Draining,
    SlotCall,
    SlotQueue,
    SuspectRecord,
    WarmingUp,
    WarmUp,
)
from goldcresthoist.balance._report_delay import clock_ms
from goldcresthoist.balance.suspects import SUSPECT_EXPIRY_S
from goldcresthoist.clock import monotonic
from goldcresthoist.links.frames import ConfigurationContent, FailureKind, LoadReport
from goldcresthoist.node.call_execution import CallExecution
from goldcresthoist.node.pace_probe import PaceProbe
from goldcresthoist.node.scheduling_report import SchedulingReport
from goldcresthoist.supervision import keep_running

__all__ = ["MAX_CRASHES", "STORED_CRASHES", "UpstreamServer"]

# Interval of the checks for queued calls whose response would come too late.
EXPIRY_INTERVAL_S = 0.02
# The reported pace is at least this while the local upstream warms up: it takes about
# twice its usual time in the first seconds after its start.
WARM_UP_PACE = 2.0
# The failure share is a moving average: weight of one call, and the half-life of the
# average while no calls end.
FAILURE_WEIGHT = 0.08
FAILURE_HALF_LIFE_S = 3.0
# A request is refused once upstreams have crashed this many times while it was running.
MAX_CRASHES = 3
# Number of crashes from which on a request is recorded in the store and reported to
# daemons that start.
STORED_CRASHES = 2
# Largest number of suspects that are reported to a daemon that starts.
MAX_REPORTED_SUSPECTS = 64


class UpstreamServer:
    """Admits calls, runs them at the local upstream and sends the responses.

    All calls to that upstream pass through this object. It therefore has the exact
    number of free slots, the state of the connections and the drain state, and a call
    that it refuses has certainly not run.

    Parameters
    ----------
    own : LocalUpstream
        Identity and state of the local upstream.
    pool : ConnectionPool
        Connections to the local upstream.
    suspects : CrashSuspects
        Requests that were running when an upstream of the service crashed.
    counters
        Has ``add(name, amount=1, **labels)``.
    log
        Has ``event(name, **fields)``.
    transfers : TransferBudget
        Memory for responses that are buffered completely.
    pauses : PauseDetector

    Attributes
    ----------
    queue : SlotQueue
        Assigns the slots of the local upstream to calls.
    scheduling : SchedulingReport
        Log events and metrics of the order of calls.
    probe : PaceProbe
        Fetches the pace of the local upstream when the queue requests it.
    limit_per_s : float or None
        Requests a second that the local upstream takes, as it names in its responses.
    domain_drained : bool
        Whether the operator wants nothing to be sent to the upstreams of this failure
        domain.
    draining : bool
        Whether this daemon is stopping and refuses all calls. The local upstream may
        drain separately; see `LocalUpstream.leaving`.
    running : set of CallExecution
        Calls that hold a slot and are being executed.
    """

    def __init__(self, own, pool, suspects, counters, log, transfers, pauses):
        self.own = own
        self.pool = pool
        pool.on_change = self._on_pool_change
        self.suspects = suspects
        self.counters = counters
        self.log = log
        self.transfers = transfers
        self.pauses = pauses
        self.queue = SlotQueue()
        self.queue.on_knee_verdict = self._on_local_knee_verdict
        self.scheduling = SchedulingReport(self.queue, counters, log)
        self.queue.warm_up = WarmUp(monotonic())
        self.queue.warm_up.on_change = self._on_warm_up_change
        self.probe = PaceProbe(self, counters, log)
        self.queue.request_pace = self.probe.trigger
        self.limit_per_s = None
        self.domain_drained = False
        self.draining = False
        # `StopDeadlines` while the daemon stops.
        self.stop = None
        # Result of `refusal_reason` when `upstream_changed` last announced the load.
        # The initial value is no valid result, so that the first change is announced.
        self.announced_reason = ""
        self.loop = asyncio.get_running_loop()
        self.running = set()
        # Moving average of the share of calls that failed, as of the monotonic time in
        # seconds below; `failure_share` returns its current value.
        self.failures = 0.0
        self.failures_updated_at = 0.0
        # Tasks of the calls that run to completion even when they are cancelled.
        self.detached_tasks = set()
        # Set by `LinkServer`. Sends the load report to all linked daemons.
        self.announce_load = lambda: None
        # Set by `Node`. Returns the configuration that other daemons fetch here.
        self.configuration_content = lambda: ConfigurationContent(-1, -1, b"")
        # Called with a request's fingerprint, its crash count and the count before when
        # this daemon changes the count.
        self.on_suspect = lambda fingerprint, count, before: None
        # Called with the identity and the start time of the current run of the local
        # upstream when a response states that it leaves.
        self.on_leaving = lambda identity, born_ms: None
        # Called with two booleans: each verdict of this daemon on whether the local
        # upstream is slower when nearly all of its slots are in use (see
        # `KneeDetector`), and whether this verdict lowered the slot limit.
        self.on_knee_verdict = lambda verdict, decided: None
        self.expiry_task = self.loop.create_task(
            keep_running("expiry", self._expire, log, counters)
        )

    def load_report(self):
        """Return the `LoadReport` for other daemons."""
        now = monotonic()
        queue = self.queue
        gauge = queue.pace
        pace = gauge.pace
        if self.own.is_warming_up(now):
            # Some upstreams include the warm-up in their pace.
            pace = max(pace, WARM_UP_PACE)
        pace_time = gauge.pace_time
        if queue.warm_up.limits(now):
            pace = max(pace, queue.warm_up_pace(now))
            pace_time = now
        return LoadReport(
            queue.running,
            len(queue.waiting),
            queue.usable_slots(now),
            round(queue.mean_service_s() * 1000),
            self.refusal_reason() is not None,
            clock_ms(now),
            False,
            round(pace, 2),
            min(60_000, int((now - pace_time) * 1000)),
            round(self.failure_share(now), 2),
        )

    def update_limit(self, limit_per_s):
        """Record the limit that the local upstream names, or None when it names none.

        Responses to calls decide, since each of them names the limit while it is in
        force. Health checks only add one.
        """
        if limit_per_s == self.limit_per_s:
            return
        self.log.event("upstream limit", per_s=limit_per_s, was=self.limit_per_s)
        self.limit_per_s = limit_per_s
        self.queue.rate.set(limit_per_s, monotonic())
        self.announce_load()

    def set_warm_up_limit(self, limit, bounds, can_check):
        """Set the load that the local upstream bears while it warms up.

        Parameters
        ----------
        limit : WarmUpLimit or None
        bounds : Bounds
        can_check : bool
            Whether the configuration has a health check for the service.
        """
        per_s = None if limit is None else limit.per_s
        self.queue.warm_up.set_limit(
            per_s,
            bounds.warm_up_share,
            bounds.warm_up_reserve,
            can_check,
            monotonic(),
        )

    def apply_leaving(self, identity, born_ms):
        """Apply a response in which a run of the local upstream states that it leaves.

        A response of another run than the current one has no effect.
        """
        own = self.own
        if (identity, born_ms) == (own.identity, own.born_ms) and not own.leaving:
            self.on_leaving(identity, born_ms)

    def failure_share(self, now):
        """Return the share of recent calls that failed, from 0 to 1.

        It decays while no calls end. ``now`` is in monotonic seconds.
        """
        decay = 0.5 ** ((now - self.failures_updated_at) / FAILURE_HALF_LIFE_S)
        return self.failures * decay

    def record_end(self, failed, now):
        """Count the end of a call at the local upstream."""
        share = self.failure_share(now)
        self.failures = share + FAILURE_WEIGHT * (float(failed) - share)
        self.failures_updated_at = now

    def retried_share(self, service):
        """Return the share of the running calls that are retries.

        It is 0 for the own service, as upstreams call other services.
        """
        if service == self.own.service or not self.running:
            return 0.0
        retried = sum(1 for run in self.running if run.call.open.retried)
        return retried / len(self.running)

    def load_for_pong(self):
        """Return the load to send with a pong."""
        return self.load_report()

    def refusal_reason(self):
        """Return the code with which all calls are currently refused, or None."""
        if self.draining or self.own.leaving:
            return "draining"
        if self.domain_drained:
            return "drained-domain"
        if not self.own.usable():
            return "not-ready"
        if self.pool.down:
            return "no-upstream"
        return None

    def upstream_changed(self, is_new):
        """Apply the local upstream's changed state to the queue and announce the load.

        Parameters
        ----------
        is_new : bool
            Whether calls may now be sent to another run of the upstream, or again after
            a rejected identity; see `AnnouncementResult`.
        """
        if is_new:
            self.queue.draining = self.domain_drained
            self.update_limit(None)
            self._close_idle_connections()
            # The pace must be known before the first calls, or they may start in a slow
            # phase of the instance.
            self.probe.trigger()
        if self.own.leaving:
            self.queue.drain()
        self.queue.slots = self.own.slots
        state = self.refusal_reason()
        if is_new or state != self.announced_reason:
            self.announced_reason = state
            self.announce_load()

    def set_domain_drained(self, drained):
        """Refuse new and queued calls from now on, or take calls again.

        Running calls continue. The upstream may have become cold while it got none, so
        afterwards it counts as warming up until a health check says otherwise.
        """
        if drained == self.domain_drained:
            return
        self.domain_drained = drained
        self.counters.add("domain_drains", drained=str(drained).lower())
        self.log.event(
            "failure domain drained" if drained else "failure domain in use",
            running=self.queue.running,
            queued=len(self.queue.waiting),
        )
        if drained:
            self.queue.drain()
        else:
            self.queue.draining = self.draining or self.own.leaving
            self.queue.warm_up.presume(monotonic(), check_only=True)
        self.announced_reason = self.refusal_reason()
        self.announce_load()

    def start_stopping(self, stop):
        """Refuse calls from now on as these `StopDeadlines` say."""
        self.stop = stop

    def start_draining(self):
        """Refuse new and queued calls from now on; running calls continue."""
        self.draining = True
        self.queue.drain()
        self.announce_load()

    def add_suspect(self, fingerprint, count, instance):
        """Apply a `Suspect` frame, for which `LinkServer` calls this method."""
        self.update_suspect(fingerprint, count)

    def update_suspect(self, fingerprint, count, time_left_s=SUSPECT_EXPIRY_S):
        """Apply the crash count that another daemon or the store reports.

        It expires after ``time_left_s`` seconds. A count of 0 clears the request.
        """
        if count <= 0:
            self.suspects.end(fingerprint, True)
        else:
            record = SuspectRecord(fingerprint, count, time_left_s)
            self.suspects.load((record,), monotonic())

    def reported_suspects(self):
        """Return a `SuspectRecord` for each request that a new daemon must know.

        Many requests may run when an upstream crashes. Those that ran during a single
        crash are left out, as most of them are not its cause.
        """
        records = self.suspects.export(monotonic())
        records = [item for item in records if item.count >= STORED_CRASHES]
        return records[-MAX_REPORTED_SUSPECTS:]

    def begin(self, call):
        """Give a call a slot, queue it or refuse it.

        Unless the call is refused, its `CallExecution` is stored as ``begin_result``.

        Parameters
        ----------
        call : IncomingCall or LocalIncomingCall
        """
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
        # The message may have arrived during a pause of this process.
        sent_at = now - self.pauses.input_age_s()
        deadline = sent_at + message.time_left_us / 1e6
        if reason is None and deadline <= now:
            reason = "deadline"
        stop = self.stop
        if reason is None and stop is not None and not stop.accepts_call(now, deadline):
            reason = "draining"
        if reason is not None:
            self._refuse(call, reason, 0.0)
            return
        slot_call = SlotCall(
            message.work,
            message.priority,
            deadline,
            sent_at + message.soft_deadline_us / 1e6,
            message.alternatives,
            message.workspace,
        )
        try:
            if message.spare_slot_only:
                self.queue.admit_to_spare_slot(slot_call, now)
                future = None
            else:
                future = self.queue.admit(slot_call, now)
        except AdmissionRefused as exc:
            self._refuse_admission(call, exc)
            return
        call.begin_result = CallExecution(self, call, slot_call, future)

    async def serve(self, call):
        """Execute a call that `begin` has not refused, and send the response.

        Parameters
        ----------
        call : IncomingCall or LocalIncomingCall
        """
        call.started = True
        run = call.begin_result
        call.begin_result = None
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
        # A call that must not be repeated runs to completion even when it is cancelled,
        # since after an abort it would be unknown whether the upstream executed it.
        task = self.loop.create_task(run.run())
        self.detached_tasks.add(task)
        task.add_done_callback(self.detached_tasks.discard)
        await asyncio.shield(task)

    async def close(self):
        """Cancel the background tasks and the calls that may not be repeated."""
        self.expiry_task.cancel()
        await self.probe.close()
        for task in tuple(self.detached_tasks):
            task.cancel()
        await asyncio.sleep(0)

    def record_crash(self, message):
        """Count a crash of the local upstream during a call.

        Parameters
        ----------
        message : Open
            Message that started the call.

        Returns
        -------
        int
            Number of crashes that are now attributed to the request.
        """
        now = monotonic()
        fingerprint = message.fingerprint
        self.counters.add("upstream_crashes")
        self.suspects.add_report(fingerprint, message.crash_count, now)
        before = self.suspects.count(fingerprint, now)
        count = self.suspects.record_crash(fingerprint, now)
        self.on_suspect(fingerprint, count, before)
        return count

    def record_success(self, message):
        """Clear the crash count of a request that succeeded.

        ``message`` is the `Open` that started its call.
        """
        before = self.suspects.count(message.fingerprint, monotonic())
        if before:
            self.suspects.end(message.fingerprint, True)
            self.on_suspect(message.fingerprint, 0, before)

    def report_internal_error(self, call, error):
        """Log an unexpected exception and end the call with a failure."""
        self.log.event("call failed", error=repr(error))
        if not call.done:
            call.fail(FailureKind.BROKEN, repr(error), self.load_report())

    def _refuse(self, call, code, retry_after_s):
        self.counters.add("calls_refused", code=code)
        call.refuse(code, code, self.load_report(), int(retry_after_s * 1000))

    def _refuse_admission(self, call, error):
        match error:
            case Draining():
                drained = self.refusal_reason() == "drained-domain"
                self._refuse(call, "drained-domain" if drained else "draining", 0.0)
            case _ if call.open.spare_slot_only:
                self._refuse(call, "no-spare-slot", 0.0)
            case WarmingUp():
                self._refuse(call, "warming-up", error.retry_after_s)
            case _:
                self._refuse(call, "saturated", error.retry_after_s)

    def _on_pool_change(self):
        self.log.event("upstream connection", down=self.pool.down)
        self.queue.warm_up.presume(monotonic())
        self.announce_load()

    def _on_warm_up_change(self, state):
        name = type(state).__name__.lower()
        self.counters.add("warm_up_changes", state=name)
        self.log.event("warm-up", state=name, per_s=self.queue.warm_up.per_s)
        self.announce_load()

    def add_knee_verdict(self, verdict):
        """Add a verdict of a daemon of the service.

        Parameters
        ----------
        verdict : bool
            Whether that daemon has found that its local upstream is slower when nearly
            all slots of the upstream are in use.

        Returns
        -------
        bool
            Whether this verdict completed the number of agreeing ones that lowers the
            slot limit.
        """
        decides = self.queue.knee.add_verdict(verdict)
        if decides:
            self._log_knee_found("verdicts")
        return decides

    def restore_knee(self):
        """Lower the slot limit because the store lists the service as having a knee.

        The daemons of the service found it before this daemon started.
        """
        if not self.queue.knee.confirmed:
            self.queue.knee.confirmed = True
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
        """Close the idle connections, which belong to an earlier run."""
        for connection in tuple(self.pool.idle):
            self.pool.idle.remove(connection)
            connection.close()

    async def _expire(self):
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = monotonic()
            if self.queue.waiting:
                self.queue.expire(now)
            self.scheduling.log_if_due(now)
            if self.queue.warm_up.check_due(now) and self.refusal_reason() is None:
                self.probe.trigger()
