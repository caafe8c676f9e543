"""What the upstream beside the daemon tells it: heartbeats and departures."""

import asyncio
import time
from time import monotonic

from goldcresthoist.callers import CallerError
from goldcresthoist.fleet.messages import Departed
from goldcresthoist.node.own_upstream import Heard
from goldcresthoist.platform import (
    PlatformFormatError,
    decode_announcement,
    decode_departure,
    identity_in_path,
)

__all__ = ["AnnouncementServer"]

MAX_BODY_BYTES = 16 * 1024
JSON = (b"Content-Type", b"application/json")
# A restarted daemon waits this long for earlier departures before it trusts that the
# upstream is not leaving.
DEPARTURES_WAIT_S = 1.0


class AnnouncementServer:
    """Answers the upstream's calls; an acknowledgement is given after its effect.

    Parameters
    ----------
    own : OwnUpstream
    server : UpstreamServer
    directory : Directory
    registration : Registration
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
        directory.on_departure = self._on_reminder

    async def handle(self, request, exchange):
        """Answer one call of the upstream."""
        path = request.target.partition("?")[0]
        found = identity_in_path(path)
        if found is None or request.method != "POST":
            _answer(exchange, 404, b'{"error":"no such call"}')
            return
        kind, identity = found
        try:
            body = await request.body.read_up_to(MAX_BODY_BYTES)
            if not request.body.exhausted:
                raise PlatformFormatError(f"a body of over {MAX_BODY_BYTES} bytes")
            if kind == "Heartbeat":
                await self._heartbeat(decode_announcement(identity, body))
            else:
                await self._departure(decode_departure(identity, body))
        except PlatformFormatError as exc:
            self.counters.add("announcements", outcome="malformed")
            self.log.event("announcement ignored", upstream=identity, error=str(exc))
            _answer(exchange, 400, b'{"error":"malformed"}')
        except CallerError:
            return
        else:
            _answer(exchange, 200, b"{}")

    async def _heartbeat(self, announcement):
        if not self.registration.loaded.is_set():
            await self._wait_for_departures()
        heard = self.own.hear(announcement, monotonic())
        self.counters.add("announcements", outcome=heard.value)
        if heard is Heard.FOREIGN:
            raise PlatformFormatError(
                f"{announcement.identity!r} of service {announcement.service!r} "
                f"at {announcement.address!r} is not beside this daemon"
            )
        if heard is not Heard.KNOWN:
            self.log.event(
                "upstream announced",
                upstream=announcement.identity,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
                draining=announcement.draining,
                outcome=heard.value,
            )
        if heard is Heard.DRAINING:
            await self._depart(announcement.identity, announcement.born_ms)
        if heard in (Heard.KNOWN, Heard.NEW, Heard.DRAINING):
            self.server.upstream_changed(heard is Heard.NEW)

    async def _departure(self, departure):
        self.counters.add("announcements", outcome="deregistered")
        self.log.event("upstream leaves", upstream=departure.identity)
        await self._depart(departure.identity, departure.born_ms)
        self.server.upstream_changed(False)

    async def _depart(self, identity, born_ms):
        known = self.own.identity == identity and (
            not born_ms or born_ms == self.own.born_ms
        )
        was_known = (identity, born_ms or self.own.born_ms) in self.own.departed
        now_ms = int(time.time() * 1000)
        born_ms, before_ms = self.own.depart(identity, born_ms, now_ms)
        if known:
            self.server.upstream_changed(False)
        if was_known:
            return
        ip = self.directory.own.ip
        departed = Departed(ip, identity, born_ms, before_ms)
        self.directory.depart(departed)
        await self.registration.record_departure(departed)

    def _on_reminder(self, departed):
        """Take over a departure that an earlier process of this daemon acknowledged."""
        if (departed.identity, departed.born_ms) not in self.own.departed:
            self.log.event("departure remembered", upstream=departed.identity)
            before_ms = departed.before_ms
            self.own.depart(departed.identity, departed.born_ms, before_ms)
            self.server.upstream_changed(False)

    async def _wait_for_departures(self):
        left_s = self.started_at + DEPARTURES_WAIT_S - monotonic()
        if left_s <= 0:
            return
        try:
            async with asyncio.timeout(left_s):
                await self.registration.loaded.wait()
        except TimeoutError:
            self.log.event("departures unknown", reason="the store does not answer")


def _answer(exchange, status, body):
    exchange.start(status, [JSON], body, True)
