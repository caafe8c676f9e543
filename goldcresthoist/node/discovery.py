"""Discovery of the local upstream by its health check after a start of the daemon."""

import asyncio

from goldcresthoist.clock import monotonic
from goldcresthoist.platform.fields import parse_response_fields
from goldcresthoist.upstreams import UpstreamError

__all__ = ["UpstreamDiscovery"]

# Time in which peers report a departure that the store does not have.
PEER_REPORT_S = 0.1
# Interval between health checks, their time limit and their largest number. Each health
# check is priced, and the next announcement makes them needless.
RETRY_INTERVAL_S = 0.3
TIMEOUT_S = 0.2
MAX_ATTEMPTS = 4
# Interval of the checks for a configuration with the path of the health check.
PATH_POLL_S = 0.05


class UpstreamDiscovery:
    """Learns the identity of the local upstream before it announces itself.

    An upstream announces itself every 1.5 s. When only its daemon restarts, it would
    get no calls until then. This class also confirms upstreams that have announced
    themselves but may have departed before; see `LocalUpstream.unconfirmed`.

    Nothing is learned about an identity that has departed in any run, since a health
    check does not tell which run responds, and nothing before the departures that an
    earlier process of this daemon acknowledged are known.

    Parameters
    ----------
    own : LocalUpstream
    server : UpstreamServer
    registration : Registration
    log
        Has ``event(name, **fields)``.
    """

    def __init__(self, own, server, registration, log):
        self.own = own
        self.server = server
        self.registration = registration
        self.log = log
        self.confirmation = None

    async def run(self):
        """Ask until the identity is known or no attempt is left."""
        await self.registration.rows_loaded.wait()
        await asyncio.sleep(PEER_REPORT_S)
        attempts = 0
        while self.own.identity is None and attempts < MAX_ATTEMPTS:
            path = self.server.probe.health_path()
            if not path:
                await asyncio.sleep(PATH_POLL_S)
                continue
            attempts += 1
            self._apply(await self._ask(path))
            await asyncio.sleep(RETRY_INTERVAL_S)

    def start_confirmation(self):
        """Ask an unconfirmed upstream once whether it may get calls."""
        if self.confirmation is None or self.confirmation.done():
            loop = asyncio.get_running_loop()
            self.confirmation = loop.create_task(self._confirm())

    async def close(self):
        """Cancel the question that `start_confirmation` has started."""
        if self.confirmation is not None:
            self.confirmation.cancel()

    async def _confirm(self):
        while self.own.unconfirmed:
            path = self.server.probe.health_path()
            if not path:
                await asyncio.sleep(PATH_POLL_S)
                continue
            fields = await self._ask(path)
            if fields is not None and self.own.confirm(fields.identity):
                self.log.event("upstream confirmed", upstream=fields.identity)
                self.server.queue.pace.record(fields.pace, monotonic())
                self.server.upstream_changed(True)
            return

    async def _ask(self, path):
        """Return the `ResponseFields` of a good health check, or None."""
        if self.server.domain_drained:
            return None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                answer = await self.server.probe.fetch(path)
        except (TimeoutError, UpstreamError, OSError, RuntimeError) as exc:
            self.log.event("upstream not discovered", reason=repr(exc))
            return None
        if answer.status != 200:
            self.log.event("upstream not discovered", reason=f"status {answer.status}")
            return None
        return parse_response_fields(answer.headers)

    def _apply(self, fields):
        if fields is None or fields.identity is None or fields.slots < 1:
            return
        if self.own.discover(fields.identity, fields.slots):
            self.log.event("upstream discovered", upstream=fields.identity)
            self.server.queue.pace.record(fields.pace, monotonic())
            self.server.upstream_changed(False)
