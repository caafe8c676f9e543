"""HTTP handler for the heartbeats and deregistrations of the local upstream."""

import asyncio
import time

from goldcresthoist.callers import CallerError
from goldcresthoist.clock import monotonic
from goldcresthoist.fleet.messages import Departed
from goldcresthoist.node.local_upstream import AnnouncementResult
from goldcresthoist.platform import (
    PlatformFormatError,
    decode_announcement,
    decode_departure,
    parse_announcement_path,
)

__all__ = ["AnnouncementServer"]

MAX_BODY_BYTES = 16 * 1024
JSON_HEADER = (b"Content-Type", b"application/json")
# Heartbeats that arrive within this time after the start of the daemon wait until it
# has loaded the departures that its earlier process acknowledged, or until this time is
# over. Otherwise a restarted daemon could send calls to a local upstream that is
# leaving.
DEPARTURES_TIMEOUT_S = 1.0


class AnnouncementServer:
    """Processes announcements of the local upstream.

    An announcement is acknowledged only after it has taken effect.

    Parameters
    ----------
    own : LocalUpstream
        State of the local upstream, which the announcements update.
    server : UpstreamServer
        Is notified of each change of that state.
    directory : Directory
        Distributes departures to the other daemons.
    registration : Registration
        Writes departures to the store.
    log
        Has ``event(name, **fields)``.
    counters
        Has ``add(name, amount=1, **labels)``.
    """

    def __init__(self, own, server, directory, registration, log, counters):
        self.own = own
        self.server = server
        self.directory = directory
        self.registration = registration
        self.log = log
        self.counters = counters
        self.started_at = monotonic()
        self.tasks = set()
        # Called after each announcement of a run that is unconfirmed.
        self.on_unconfirmed = lambda: None
        server.on_leaving = self._on_leaving
        directory.on_departure = self._on_earlier_departure

    async def handle(self, request, exchange):
        """Process one request of the local upstream and send the response.

        The status is 200 when the announcement has been processed, 400 when it is
        malformed or from another upstream, and 404 for other paths and methods.
        """
        path = request.target.partition("?")[0]
        found = parse_announcement_path(path)
        if found is None or request.method != "POST":
            _respond(exchange, 404, b'{"error":"no such call"}')
            return
        kind, identity = found
        try:
            body = await request.body.read_up_to(MAX_BODY_BYTES)
            if not request.body.exhausted:
                raise PlatformFormatError(
                    f"body is larger than the limit of {MAX_BODY_BYTES} bytes"
                )
            if kind == "Heartbeat":
                await self._handle_heartbeat(decode_announcement(identity, body))
            else:
                await self._handle_deregistration(decode_departure(identity, body))
        except PlatformFormatError as exc:
            self.counters.add("announcements", outcome="malformed")
            self.log.event("announcement ignored", upstream=identity, error=str(exc))
            _respond(exchange, 400, b'{"error":"malformed"}')
        except CallerError:
            return
        else:
            _respond(exchange, 200, b"{}")

    async def _handle_heartbeat(self, announcement):
        arrived_at = monotonic() - self.server.pauses.input_age_s()
        if not self.registration.rows_loaded.is_set():
            await self._wait_for_departures()
        result = self.own.apply_announcement(announcement, monotonic())
        self.counters.add("announcements", outcome=result.value)
        if result is AnnouncementResult.FOREIGN:
            raise PlatformFormatError(
                f"{announcement.identity!r} of service {announcement.service!r} "
                f"at {announcement.address!r} is not the upstream in the settings"
            )
        if result is not AnnouncementResult.KNOWN:
            self.log.event(
                "upstream announced",
                upstream=announcement.identity,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
                draining=announcement.draining,
                outcome=result.value,
            )
        if result in (AnnouncementResult.KNOWN, AnnouncementResult.NEW):
            self.server.queue.warm_up.record_announcement(
                announcement.cold_s,
                result is AnnouncementResult.NEW,
                arrived_at,
                monotonic(),
            )
        if result is AnnouncementResult.DRAINING:
            await self._record_departure(announcement.identity, announcement.born_ms)
        if result in (
            AnnouncementResult.KNOWN,
            AnnouncementResult.NEW,
            AnnouncementResult.DRAINING,
        ):
            self.server.upstream_changed(result is AnnouncementResult.NEW)
        if self.own.unconfirmed:
            self.on_unconfirmed()

    async def _handle_deregistration(self, departure):
        self.counters.add("announcements", outcome="deregistered")
        self.log.event("upstream leaves", upstream=departure.identity)
        await self._record_departure(departure.identity, departure.born_ms)
        self.server.upstream_changed(False)

    def _on_leaving(self, identity, born_ms):
        """Record a departure that the upstream states in a response.

        No announcement may have told it, as those are lost while this daemon is down.
        """
        self.counters.add("announcements", outcome="leaving")
        self.log.event("upstream leaves", upstream=identity, stated_in="response")
        task = asyncio.create_task(self._record_departure(identity, born_ms))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _record_departure(self, identity, born_ms):
        """Stop the calls to a run, and record its departure at the other daemons.

        ``born_ms`` is the start time of the run in Unix milliseconds, or 0 when the
        upstream did not give it; see `LocalUpstream.mark_departed`.
        """
        self.own.complete_discovery(identity, born_ms)
        # Whether it is the current run that departs.
        known = self.own.identity == identity and (
            not born_ms or born_ms == self.own.born_ms
        )
        already_departed = (identity, born_ms or self.own.born_ms) in self.own.departed
        now_ms = int(time.time() * 1000)
        born_ms, before_ms = self.own.mark_departed(identity, born_ms, now_ms)
        if known:
            self.server.upstream_changed(False)
        if already_departed:
            return
        ip = self.directory.own.ip
        departed = Departed(ip, identity, born_ms, before_ms)
        self.directory.depart(departed)
        await self.registration.record_departure(departed)

    def _on_earlier_departure(self, departed):
        """Apply a departure that an earlier process of this daemon acknowledged."""
        if (departed.identity, departed.born_ms) not in self.own.departed:
            self.log.event("departure remembered", upstream=departed.identity)
            self.own.restore_departure(
                departed.identity, departed.born_ms, departed.before_ms
            )
            self.server.upstream_changed(False)

    async def _wait_for_departures(self):
        left_s = self.started_at + DEPARTURES_TIMEOUT_S - monotonic()
        if left_s <= 0:
            return
        try:
            async with asyncio.timeout(left_s):
                await self.registration.rows_loaded.wait()
        except TimeoutError:
            self.log.event(
                "departures unknown",
                reason=f"no answer from the store {DEPARTURES_TIMEOUT_S} s after start",
            )


def _respond(exchange, status, body):
    exchange.start(status, [JSON_HEADER], body, True)
