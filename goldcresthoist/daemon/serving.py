"""Server for calls to the local upstream.

The calls come from other daemons over links, or from the router of this daemon.
"""

import asyncio

import msgspec

from goldcresthoist.balance import (
    AdmissionRefused,
    Draining,
    Saturated,
)
from goldcresthoist.clock import monotonic
from goldcresthoist.config.model import AtMostOnce, Upload
from goldcresthoist.daemon.at_most_once import AtMostOnceRunner
from goldcresthoist.daemon.kinds import KEYED_KINDS
from goldcresthoist.daemon.load_budget import LoadReportBudget
from goldcresthoist.daemon.suspect_lock import SuspectLock
from goldcresthoist.daemon.upstream_call import UpstreamCall
from goldcresthoist.deadlines import PAUSE_GRACE_S, passed_in_pause
from goldcresthoist.links.frames import FailureKind, LoadReport
from goldcresthoist.pauses import PauseDetector
from goldcresthoist.telemetry import log_event

__all__ = ["CallServer"]

DEADLINE_CHECK_INTERVAL_S = 0.02
SUSPECT_RETRY_AFTER_MS = 200


class CallServer:
    """Admits calls, runs them at the local upstream and sends the responses.

    Parameters
    ----------
    service : str
        Service of the local upstream.
    instance : str
        Name of this daemon.
    configurations
        Has ``service(name) -> ServiceConfiguration | None``.
    make_admission : callable
        ``make_admission(configuration)`` returns an `Admission`.
    upstream : ConnectionPool
        Connections to the local upstream.
    suspects : CrashSuspects
        Requests that were running when an upstream of the service crashed.
    ledger : OperationRecorder
        Records the start and end of at-most-once work.
    counters
        Has ``add(name, amount=1, **labels)``.
    """

    def __init__(
        self,
        service,
        instance,
        configurations,
        make_admission,
        upstream,
        suspects,
        ledger,
        counters,
    ):
        self.service = service
        self.instance = instance
        self.configurations = configurations
        self.make_admission = make_admission
        self.upstream = upstream
        upstream.on_change = self._on_upstream_change
        self.suspects = suspects
        self.suspect_lock = SuspectLock(suspects)
        self.load_report_budget = LoadReportBudget()
        self.at_most_once = AtMostOnceRunner(service, upstream, ledger)
        # An `UploadRunner`, set by daemons that have an object store.
        self.uploads = None
        self.counters = counters
        self.pauses = PauseDetector()
        # Both are None until the first call after a configuration was loaded.
        self.configuration = None
        self.admission = None
        self.draining = False
        # A `LinkServer` replaces this with its method `announce_load`.
        self.announce_load = lambda: None
        self.loop = asyncio.get_running_loop()
        # Tasks of `_run_shielded`.
        self.shielded_tasks = set()
        # Calls that were sent to the upstream. One task checks all their deadlines,
        # which costs less than a timer for each call.
        self.active_calls = set()
        # Number of admitted calls that have not ended.
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.deadline_task = self.loop.create_task(self._check_deadlines())

    def load_report(self):
        """Return the `LoadReport` that is sent to other daemons."""
        if self.admission is None:
            return LoadReport(0, 0, 0, 0.0, self.draining or self.upstream.down)
        report = self.admission.report(monotonic())
        if self.upstream.down:
            # Other daemons then stop sending calls here at once. Otherwise each of them
            # would have to get a refusal first.
            report = msgspec.structs.replace(report, draining=True)
        return report

    def load_within_budget(self, answer_bytes=0):
        """Return the load to send with a response; None when the budget is used up.

        Parameters
        ----------
        answer_bytes : int
            Size of the response body. The body and its frames add to the budget.
        """
        self.load_report_budget.record_call(answer_bytes)
        return self.load_for_pong()

    def load_for_pong(self):
        """Return the load to send with a pong; None when the budget is used up.

        A pong adds nothing to the budget.
        """
        # While draining or down, every message reports it, regardless of the budget.
        if self.draining or self.upstream.down or self.load_report_budget.try_spend():
            return self.load_report()
        return None

    def _on_upstream_change(self):
        state = "down" if self.upstream.down else "up"
        log_event("warning", "upstream changed", service=self.service, state=state)
        self.announce_load()

    def start_draining(self):
        """Refuse new and queued calls from now on; running calls continue."""
        self.draining = True
        if self.admission is not None:
            self.admission.drain()

    async def wait_until_idle(self):
        """Wait until no call runs."""
        await self.idle.wait()

    def add_suspect(self, fingerprint, count, instance):
        """Record a request that was running when another upstream crashed.

        Parameters
        ----------
        fingerprint : bytes
            Identifies the request, see `request_matching.fingerprint`.
        count : int
            Number of upstreams that crashed while they ran the request.
        instance : str
            Instance whose upstream crashed last.
        """
        self.counters.add("crash_suspects")
        self.suspects.add_report(fingerprint, count, monotonic())
        log_event(
            "warning",
            "crash suspect",
            fingerprint=fingerprint,
            count=count,
            instance=instance,
        )

    async def close(self):
        """Stop the tasks of this object."""
        self.deadline_task.cancel()
        for task in tuple(self.shielded_tasks):
            task.cancel()

    def begin(self, call):
        """Start or refuse a call synchronously if that needs no waiting."""
        try:
            self._try_start(call)
        except Exception as exc:
            self._fail_with_error(call, exc)

    async def serve(self, call):
        """Handle one `IncomingCall` until its response is sent."""
        call.started = True
        try:
            if call.begin_result is not None:
                await self._run_and_release(*call.begin_result)
            elif not call.cancelled:
                await self._admit_and_run(call)
        except Exception as exc:
            self._fail_with_error(call, exc)
        finally:
            call.begin_result = None

    def _try_start(self, call):
        """Send the request of a call at once if nothing has to be awaited.

        Calls whose body is incomplete, work that needs a start record, and all calls
        while there are crash suspects are left to `serve`.
        """
        message = call.open
        rule = self._find_rule(message)
        if rule is None or not message.end or isinstance(rule.kind, KEYED_KINDS):
            return
        if message.crash_count or self.suspects.by_fingerprint:
            return
        now = monotonic()
        deadline = self._deadline(message, now)
        if deadline <= now:
            return
        try:
            slot = self.admission.acquire_nowait(rule, deadline, now)
        except AdmissionRefused as exc:
            self._refuse_admission(call, exc)
            return
        if slot is not None:
            self._record_call_start()
            upstream_call = UpstreamCall(call, self.upstream, rule, deadline, self)
            call.begin_result = (upstream_call, slot)
            upstream_call.send_on_idle_connection()

    def _deadline(self, message, now):
        """Return the deadline of a call that is read now.

        It may have arrived during a pause of this process.
        """
        return now - self.pauses.input_age_s() + message.time_left_us / 1e6

    def _record_call_start(self):
        self.running += 1
        self.idle.clear()

    def _fail_with_error(self, call, error):
        """Log an unexpected exception and report it as a failure of the call."""
        log_event("error", "call failed", service=self.service, error=error)
        if not call.done:
            call.fail(FailureKind.BROKEN, repr(error), self.load_report())

    async def _admit_and_run(self, call):
        """Run a call once it has the suspect lock and a slot, or refuse it."""
        message = call.open
        now = monotonic()
        deadline = self._deadline(message, now)
        if deadline <= now:
            self._refuse(call, "deadline-exceeded", "the deadline passed")
            return
        rule = self._find_rule(message)
        if rule is None:
            self._refuse(call, "not-ready", "no configuration for this work is loaded")
            return
        if self._refuse_crash_suspect(call):
            return
        if self.suspect_lock.is_suspect_hedge(message):
            self._refuse(call, "saturated", "hedge of a crash suspect refused")
            return
        if not await self.suspect_lock.acquire(message, deadline):
            text = "another crash suspect is running; suspects run one at a time"
            self._refuse(call, "saturated", text, SUSPECT_RETRY_AFTER_MS)
            return
        if self._refuse_crash_suspect(call):
            # The same request may have crashed its second upstream during the wait.
            self.suspect_lock.release(message.fingerprint, False)
            return
        slot = None
        try:
            now = monotonic()
            slot = self.admission.acquire_nowait(rule, deadline, now)
            if slot is None:
                slot = await self.admission.acquire(rule, deadline, now)
        except AdmissionRefused as exc:
            self._refuse_admission(call, exc)
            return
        finally:
            if slot is None:
                self.suspect_lock.release(message.fingerprint, False)
        self._record_call_start()
        upstream_call = UpstreamCall(call, self.upstream, rule, deadline, self)
        if isinstance(rule.kind, KEYED_KINDS):
            await self._run_shielded(self._run_and_release(upstream_call, slot))
        else:
            await self._run_and_release(upstream_call, slot)

    def _refuse_crash_suspect(self, call):
        """Refuse a call whose request has crashed too many upstreams.

        Returns whether the call was refused.
        """
        refused = self.suspect_lock.is_refused(call.open)
        if refused:
            self._refuse(call, "crash-suspect", "the request crashed two upstreams")
        return refused

    async def _run_and_release(self, upstream_call, slot):
        """Run an admitted call, then release the suspect lock and the slot."""
        succeeded = False
        try:
            succeeded = await self._run(upstream_call)
        finally:
            self.suspect_lock.release(upstream_call.call.open.fingerprint, succeeded)
            now = monotonic()
            self.admission.release(slot, now)
            self._record_health(upstream_call.upstream_failed, slot.started, now)
            self.running -= 1
            if not self.running:
                self.idle.set()

    def _record_health(self, failed, started, now):
        """Record whether the upstream failed; None means that this is not known.

        The load is announced to other daemons if the health of the upstream changed.
        """
        if failed is not None and self.admission.health.record(failed, started, now):
            self.announce_load()

    async def _run(self, upstream_call):
        """Run an admitted call; return whether the upstream responded completely."""
        match upstream_call.rule.kind:
            case Upload() if self.uploads is not None:
                return await self.uploads.run(upstream_call)
            case AtMostOnce() | Upload():
                return await self.at_most_once.run(upstream_call)
        return await upstream_call.run()

    def crashed(self, call):
        """Record a crash of the upstream during a call; return the call's crash count.

        The call counts as a crash suspect afterwards.
        """
        self.counters.add("upstream_crashes")
        fingerprint = call.open.fingerprint
        now = monotonic()
        self.suspects.add_report(fingerprint, call.open.crash_count, now)
        return self.suspects.record_crash(fingerprint, now)

    async def _run_shielded(self, coroutine):
        """Run a coroutine to its end even if the call is cancelled.

        The end of at-most-once work must be recorded once it has started. Otherwise its
        result would remain unknown.
        """
        task = self.loop.create_task(coroutine)
        self.shielded_tasks.add(task)
        task.add_done_callback(self.shielded_tasks.discard)
        await asyncio.shield(task)

    def _find_rule(self, message):
        """Return the rule of a call, or None when this service has no such rule.

        A configuration that was loaded since the last call is applied first.
        """
        configuration = self.configurations.service(self.service)
        if configuration is None or message.service != self.service:
            return None
        if configuration is not self.configuration:
            self._apply(configuration)
        for rule in configuration.work:
            if rule.name == message.work:
                return rule
        return None

    def _apply(self, configuration):
        self.configuration = configuration
        self.load_report_budget.apply(configuration)
        if self.admission is None:
            self.admission = self.make_admission(configuration)
        else:
            self.admission.apply(configuration)

    def _refuse(self, call, code, message, retry_after_ms=0):
        call.refuse(code, message, self.load_within_budget(), retry_after_ms)

    def _refuse_admission(self, call, error):
        match error:
            case Draining():
                self._refuse(call, "draining", "the upstream is draining")
            case Saturated():
                retry_after_ms = max(1, round(error.retry_after_s * 1000))
                self._refuse(call, "saturated", str(error), retry_after_ms)

    async def _check_deadlines(self):
        """Periodically end overdue calls, queued ones included.

        Pauses of a failing upstream that are over are ended as well.
        """
        while True:
            await asyncio.sleep(DEADLINE_CHECK_INTERVAL_S)
            self.pauses.tick()
            now = monotonic()
            for upstream_call in tuple(self.active_calls):
                if now < upstream_call.deadline:
                    continue
                if passed_in_pause(upstream_call.deadline, now):
                    # The response may have arrived during the pause. Without it, the
                    # outcome of an operation would be unknown.
                    upstream_call.deadline = now + PAUSE_GRACE_S
                else:
                    upstream_call.expire()
            if self.admission is None:
                continue
            if self.admission.queued:
                self.admission.expire(now)
            if self.admission.health.check(now):
                self.announce_load()
