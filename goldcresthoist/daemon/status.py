"""State of the daemon as shown on the status page."""

from goldcresthoist import __version__
from goldcresthoist.clock import monotonic
from goldcresthoist.operators import ConfigurationSummary, Status

__all__ = ["StatusReporter"]

# A large fleet has thousands of teams, so the page lists only the first ones by name.
MAX_LISTED_CONFIGURATIONS = 50


class StatusReporter:
    """Collects the state of a `Daemon`."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.started_at = monotonic()
        self.state = "starting"
        self.reason = "no configuration yet"

    def set_state(self, state, reason=""):
        """Set the overall state of the daemon and the reason for it."""
        self.state = state
        self.reason = reason

    def status(self):
        """Return the current `Status`."""
        daemon = self.daemon
        settings = daemon.settings
        load = daemon.server.load_report()
        return Status(
            instance=settings.instance,
            failure_domain=settings.failure_domain,
            region=settings.region,
            service=settings.service,
            state=self.state,
            reason=self.reason,
            program_version=__version__,
            uptime_s=monotonic() - self.started_at,
            in_flight=load.in_flight,
            queued=load.queued,
            slots=load.slots,
            members=self._members(),
            stores={
                "table": _store_state(daemon.table),
                "objects": _store_state(daemon.objects),
            },
            configurations=self._configurations(),
            upstreams=tuple(self._upstreams()),
            counters=daemon.counters.snapshot(),
        )

    def _members(self):
        counts = self.daemon.membership.counts_by_domain().values()
        return {
            "alive": sum(count.alive for count in counts),
            "suspect": sum(count.suspect for count in counts),
            "dead": sum(count.dead for count in counts),
        }

    def _configurations(self):
        teams = self.daemon.holder.teams
        return tuple(
            ConfigurationSummary(team, teams[team].version, teams[team].digest.hex())
            for team in sorted(teams)[:MAX_LISTED_CONFIGURATIONS]
        )

    def _upstreams(self):
        now = monotonic()
        for name, route in sorted(self.daemon.router.routes.items()):
            for view in route.views:
                yield f"{name} {_describe(route, view, now)}"


def _store_state(client):
    return "away" if client.http.gate.is_open else "up"


def _describe(route, view, now):
    peer = route.peers.get(view.instance)
    is_linked = peer is None or peer.is_usable(now)
    state = "draining" if view.draining else "linked" if is_linked else "no link"
    return f"{view.instance} {state}, {view.in_flight} calls in flight"
