"""Probe for the current pace of the local upstream.

The pace is the ratio of the current processing time to the usual one: 1 at usual speed,
larger while the instance is slow.
"""

import asyncio

from goldcresthoist.clock import monotonic
from goldcresthoist.node.call_execution import (
    MAX_IDLE_S,
    acquire_recent_idle,
    mark_idle,
)
from goldcresthoist.platform.fields import parse_response_fields
from goldcresthoist.upstreams import UpstreamError

__all__ = ["PaceProbe"]

# Upstreams do not queue health checks and respond to them in 1 to 6 ms.
PROBE_TIMEOUT_S = 0.06
# After two probes that returned no pace, calls start without one for the initial
# back-off time. It doubles with each further failure, up to the maximum.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
# Limits the probes to 33 a second; operators allow 60 a second for each upstream.
MIN_INTERVAL_S = 0.03


class PaceProbe:
    """Reads the pace from responses to health checks of the local upstream.

    At most one probe is in progress. The response also gives the remaining warm-up, the
    limit of the upstream and whether it leaves. The first failure is followed by
    another probe at once, because it may be due to a delay of this daemon. As long as
    no pace was ever read, probes are repeated after the back-off time, since calls
    would start at any pace.

    Parameters
    ----------
    server : UpstreamServer
        Its queue records the pace and then starts the calls that wait for it.
    counters
        Has ``add(name, amount=1, **labels)``.
    log
        Has ``event(name, **fields)``.

    Attributes
    ----------
    health_path : callable
        Returns the path of the health check; None or "" when none is configured.
    failures : int
        Number of consecutive probes that returned no pace.
    """

    def __init__(self, server, counters, log):
        self.server = server
        self.counters = counters
        self.log = log
        self.health_path = lambda: None
        self.task = None
        self.repeat_handle = None
        self.failures = 0
        self.last_probe_at = float("-inf")

    def trigger(self):
        """Start a probe unless one is in progress."""
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._probe_once())

    async def close(self):
        """Cancel the probe in progress and the next one."""
        self._cancel_repeat()
        if self.task is not None:
            self.task.cancel()

    async def _probe_once(self):
        await asyncio.sleep(max(0.0, self.last_probe_at + MIN_INTERVAL_S - monotonic()))
        self.last_probe_at = monotonic()
        queue = self.server.queue
        if self.server.domain_drained or not queue.warm_up.may_check(monotonic()):
            # Calls to a cold upstream start at any pace, so none waits for the probe.
            queue.dispatch(monotonic())
            return
        path = self.health_path()
        if not path:
            # No configuration has arrived yet, or it does not contain the service.
            queue.pace_unavailable_until = monotonic() + INITIAL_BACKOFF_S
            queue.dispatch(monotonic())
            return
        pace, reason = await self._ask(path)
        is_cold = queue.warm_up.is_cold(monotonic())
        if pace <= 0.0 and not self.failures and not is_cold:
            pace, reason = await self._ask(path)
        now = monotonic()
        if pace > 0.0:
            self.failures = 0
            queue.pace.record(pace, now)
        else:
            pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**self.failures)
            self.failures += 1
            queue.pace_unavailable_until = now + pause_s
            self.log.event("pace unknown", reason=reason, pause_s=pause_s)
            if not queue.pace.known:
                self._cancel_repeat()
                loop = asyncio.get_running_loop()
                self.repeat_handle = loop.call_later(pause_s, self.trigger)
        queue.dispatch(now)

    def _cancel_repeat(self):
        if self.repeat_handle is not None:
            self.repeat_handle.cancel()

    async def _ask(self, path):
        """Return the pace, 0 if there is none, and the reason for which there is none.

        Errors are caught: queued calls wait for the result of the probe, so the task
        must not end before the queue is dispatched.
        """
        pace, reason = 0.0, "health answer contains no pace"
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                answer = await self.fetch(path)
            fields = parse_response_fields(answer.headers)
            pace = fields.pace
            if fields.limit_per_s is not None:
                self.server.update_limit(fields.limit_per_s)
            if fields.leaving:
                self.server.apply_leaving(fields.identity, self.server.own.born_ms)
        except TimeoutError:
            reason = f"no answer within {PROBE_TIMEOUT_S} s"
        except (UpstreamError, OSError, RuntimeError) as exc:
            # uvloop raises RuntimeError when a closed connection is used.
            reason = repr(exc)
        self.counters.add("pace_probes", outcome="told" if pace > 0.0 else "failed")
        return pace, reason

    async def fetch(self, path):
        """Send one health check; return the `UpstreamResponse`, whose body was read.

        Raises
        ------
        UpstreamError, OSError, RuntimeError
            When there is no complete response.
        """
        warm_up = self.server.queue.warm_up
        sent_at = monotonic()
        warm_up.record_check_sent(sent_at)
        remaining_s = None
        try:
            answer = await self._fetch(path)
            remaining_s = _remaining_warm_up_s(answer)
            return answer
        finally:
            if remaining_s is None:
                warm_up.record_check_failed(monotonic())
            else:
                warm_up.record_check(remaining_s, sent_at, monotonic())

    async def _fetch(self, path):
        pool = self.server.pool
        connection = acquire_recent_idle(pool, MAX_IDLE_S) or await pool.acquire()
        try:
            self.counters.add("upstream_requests", kind="probe")
            connection.expect(None)
            host = f"{pool.host}:{pool.port}"
            head = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n"
            connection.send(head.encode(), False)
            answer = await connection.head()
            while await answer.body.read():
                pass
            mark_idle(connection, answer.headers)
            return answer
        finally:
            pool.release(connection)


def _remaining_warm_up_s(answer):
    """Return the remaining warm-up that a response to a health check states.

    It is 0 when a response of an upstream does not name it, and None when nothing shows
    that an upstream has responded.
    """
    fields = parse_response_fields(answer.headers)
    if fields.warm_up_s is not None:
        return fields.warm_up_s
    return 0.0 if answer.status == 200 or fields.slots >= 0 else None
