"""Calls to the own upstream, for the daemons that open links to this one."""

import asyncio
from time import monotonic

import msgspec

from goldcresthoist.balance import (
    AdmissionRefused,
    Draining,
    Saturated,
)
from goldcresthoist.config.model import AtMostOnce, Upload
from goldcresthoist.daemon.at_most_once import AtMostOnceRunner
from goldcresthoist.daemon.kinds import KEYED
from goldcresthoist.daemon.load_budget import LoadBudget
from goldcresthoist.daemon.suspect_turns import SuspectTurns
from goldcresthoist.daemon.upstream_call import UpstreamCall
from goldcresthoist.links.frames import FailureKind, LoadReport
from goldcresthoist.telemetry import log_event

__all__ = ["CallServer"]

EXPIRY_INTERVAL_S = 0.02
SUSPECT_RETRY_MS = 200


class CallServer:
    """Admits calls, runs them at the upstream and answers.

    Parameters
    ----------
    service : str
        Service of the own upstream.
    instance : str
        Name of the own daemon.
    configurations
        Has ``service(name) -> ServiceConfiguration | None``.
    make_admission : callable
        ``make_admission(configuration)`` returns an `Admission`.
    upstream : ConnectionPool
        Connections to the own upstream.
    suspects : CrashSuspects
        Requests that were running when an upstream of the service crashed.
    ledger : OperationLedger
        Records of at-most-once work.
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
        self.turns = SuspectTurns(suspects)
        self.load_budget = LoadBudget()
        self.at_most_once = AtMostOnceRunner(service, upstream, ledger)
        # An `UploadRunner`, set by a daemon that has an object store.
        self.uploads = None
        self.counters = counters
        self.configuration = None
        self.admission = None
        self.draining = False
        # Set to `LinkServer.announce_load` by whoever has one.
        self.announce_load = lambda: None
        self.loop = asyncio.get_running_loop()
        self.kept = set()
        # Calls at the upstream. Their deadlines are checked by one task, since a timer
        # for each call costs more than the check.
        self.active = set()
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.expirer = self.loop.create_task(self._expire())

    def load_report(self):
        """Return the load as it is told to other daemons."""
        if self.admission is None:
            return LoadReport(0, 0, 0, 0.0, self.draining or self.upstream.down)
        report = self.admission.report(monotonic())
        if self.upstream.down:
            # Other daemons must not learn it from refusals, one call after another.
            report = msgspec.structs.replace(report, draining=True)
        return report

    def load_within_budget(self, answer_bytes=0):
        """Return the load to send with an answer; None when the budget is used up.

        Parameters
        ----------
        answer_bytes : int
            Body of the answer, which earns budget together with its frames.
        """
        self.load_budget.earn(answer_bytes)
        return self.load_for_pong()

    def load_for_pong(self):
        """Return the load to send with a pong, which earns no budget, or None."""
        # A change of state must be known at once, whatever it costs.
        if self.draining or self.upstream.down or self.load_budget.allows_report():
            return self.load_report()
        return None

    def _on_upstream_change(self):
        state = "down" if self.upstream.down else "up"
        log_event("warning", "upstream changed", service=self.service, state=state)
        self.announce_load()

    def start_draining(self):
        """Refuse new and waiting calls from now on; running calls go on."""
        self.draining = True
        if self.admission is not None:
            self.admission.drain()

    async def wait_until_idle(self):
        """Wait until no call runs."""
        await self.idle.wait()

    def add_suspect(self, fingerprint, count, instance):
        """Count a request that was running when another upstream crashed."""
        self.counters.add("crash_suspects")
        self.suspects.learn(fingerprint, count, monotonic())
        log_event(
            "warning",
            "crash suspect",
            fingerprint=fingerprint,
            count=count,
            instance=instance,
        )

    async def close(self):
        """Stop the tasks of this object."""
        self.expirer.cancel()
        for task in tuple(self.kept):
            task.cancel()

    def begin(self, call):
        """Start or refuse a call at once if nothing has to be waited for."""
        try:
            self._begin(call)
        except Exception as exc:
            self._report_error(call, exc)

    async def serve(self, call):
        """Answer one `IncomingCall`."""
        call.started = True
        try:
            if call.begun is not None:
                await self._run_in_slot(*call.begun)
            elif not call.cancelled:
                await self._admit(call)
        except Exception as exc:
            self._report_error(call, exc)
        finally:
            call.begun = None

    def _begin(self, call):
        message = call.open
        rule = self._rule_for(message)
        if rule is None or not message.end or isinstance(rule.kind, KEYED):
            return
        if message.crash_count or self.suspects.by_fingerprint:
            return
        now = monotonic()
        deadline = now + message.time_left_us / 1e6
        try:
            slot = self.admission.acquire_nowait(rule, deadline, now)
        except AdmissionRefused as exc:
            self._refuse_admission(call, exc)
            return
        if slot is not None:
            self._take_up_work()
            upstream_call = UpstreamCall(call, self.upstream, rule, deadline, self)
            call.begun = (upstream_call, slot)
            upstream_call.begin()

    def _take_up_work(self):
        self.running += 1
        self.idle.clear()

    def _report_error(self, call, error):
        log_event("error", "call failed", service=self.service, error=error)
        if not call.done:
            call.fail(FailureKind.BROKEN, repr(error), self.load_report())

    async def _admit(self, call):
        message = call.open
        now = monotonic()
        deadline = now + message.time_left_us / 1e6
        rule = self._rule_for(message)
        if rule is None:
            self._refuse(call, "not-ready", "no configuration for this work yet")
            return
        if self._refuse_crash_suspect(call):
            return
        if self.turns.refuses_hedge(message):
            self._refuse(call, "saturated", "a crash suspect is not hedged")
            return
        if not await self.turns.take(message, deadline):
            text = "other requests that may crash the upstream run first"
            self._refuse(call, "saturated", text, SUSPECT_RETRY_MS)
            return
        if self._refuse_crash_suspect(call):
            # The turn before this one may have ended with its second crash.
            self.turns.end(message.fingerprint, False)
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
                self.turns.end(message.fingerprint, False)
        self._take_up_work()
        upstream_call = UpstreamCall(call, self.upstream, rule, deadline, self)
        if isinstance(rule.kind, KEYED):
            await self._keep(self._run_in_slot(upstream_call, slot))
        else:
            await self._run_in_slot(upstream_call, slot)

    def _refuse_crash_suspect(self, call):
        refused = self.turns.refuses(call.open)
        if refused:
            self._refuse(call, "crash-suspect", "the request crashed two upstreams")
        return refused

    async def _run_in_slot(self, upstream_call, slot):
        succeeded = False
        try:
            succeeded = await self._run(upstream_call)
        finally:
            self.turns.end(upstream_call.call.open.fingerprint, succeeded)
            now = monotonic()
            self.admission.release(slot, now)
            self._record_health(upstream_call.failed, slot.started, now)
            self.running -= 1
            if not self.running:
                self.idle.set()

    def _record_health(self, failed, started, now):
        if failed is not None and self.admission.health.record(failed, started, now):
            self.announce_load()

    async def _run(self, upstream_call):
        match upstream_call.rule.kind:
            case Upload() if self.uploads is not None:
                return await self.uploads.run(upstream_call)
            case AtMostOnce() | Upload():
                return await self.at_most_once.run(upstream_call)
        return await upstream_call.run()

    def crashed(self, call):
        """Count a crash of the upstream during a call; return its crash count."""
        self.counters.add("upstream_crashes")
        fingerprint = call.open.fingerprint
        now = monotonic()
        self.suspects.learn(fingerprint, call.open.crash_count, now)
        return self.suspects.record_crash(fingerprint, now)

    async def _keep(self, coroutine):
        """Run to the end even when the caller leaves.

        At-most-once work that was started must have its end recorded; cut off, its
        result would be unknown to everybody.
        """
        task = self.loop.create_task(coroutine)
        self.kept.add(task)
        task.add_done_callback(self.kept.discard)
        await asyncio.shield(task)

    def _rule_for(self, message):
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
        self.load_budget.apply(configuration)
        if self.admission is None:
            self.admission = self.make_admission(configuration)
        else:
            self.admission.apply(configuration)

    def _refuse(self, call, code, message, retry_after_ms=0):
        call.refuse(code, message, self.load_within_budget(), retry_after_ms)

    def _refuse_admission(self, call, error):
        match error:
            case Draining():
                self._refuse(call, "draining", "the upstream is leaving")
            case Saturated():
                retry_after_ms = max(1, round(error.retry_after_s * 1000))
                self._refuse(call, "saturated", str(error), retry_after_ms)

    async def _expire(self):
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = monotonic()
            for upstream_call in tuple(self.active):
                if now >= upstream_call.deadline:
                    upstream_call.expire()
            if self.admission is None:
                continue
            if self.admission.queued:
                self.admission.expire(now)
            if self.admission.health.check(now):
                self.announce_load()
