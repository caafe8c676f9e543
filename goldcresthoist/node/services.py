"""What the entry side of a daemon knows of each service."""

from time import monotonic

from goldcresthoist.balance import (
    PacedChooser,
    SharedRetryBudget,
    UpstreamPool,
    UpstreamView,
)
from goldcresthoist.config.model import AtMostOnce, Read, WorkRule
from goldcresthoist.routes import WeightedRoundRobin

__all__ = ["FleetServices", "RouteState", "ServiceState"]

# Before the first answer: the usual time of work as a share of its aim.
INITIAL_USUAL_SHARE = 0.3
EWMA_WEIGHT = 0.05
# One straggler must not make all work look slow.
MAX_SAMPLE_RATIO = 3.0


class ServiceState:
    """The upstreams of one service and this daemon's part of its retry budget."""

    def __init__(self, name, pool, budget):
        self.name = name
        self.pool = pool
        self.budget = budget


class RouteState:
    """What is learned of one route: the usual time of its work."""

    def __init__(self, route):
        self.route = route
        self.service_selector = WeightedRoundRobin(route.weighted_services)
        self.rule = self._rule(INITIAL_USUAL_SHARE * route.aim_s)

    def record(self, rule, latency_s):
        """Count the latency of an answer; also the interface of a `HedgeTimer`."""
        usual_s = self.rule.usual_s
        sample = min(latency_s, MAX_SAMPLE_RATIO * usual_s)
        usual_s += EWMA_WEIGHT * (sample - usual_s)
        self.rule = self._rule(usual_s)

    def inherit(self, earlier):
        """Take over what was learned of an earlier version of the route."""
        self.rule = self._rule(earlier.rule.usual_s)
        if earlier.route.weighted_services == self.route.weighted_services:
            self.service_selector = earlier.service_selector

    def _rule(self, usual_s):
        route = self.route
        kind = Read() if route.repeatable else AtMostOnce()
        return WorkRule(
            route.name,
            "",
            route.prefix,
            kind,
            max(0.001, usual_s),
            route.timeout_s,
            1.0,
        )


class FleetServices:
    """Services by name, their members' links and the choice among them.

    Parameters
    ----------
    own : MemberRecord
    links : LinkPool
    server : UpstreamServer
        Serves the own upstream.
    bounds : Bounds
    """

    def __init__(self, own, links, server, bounds, link_port):
        self.own = own
        self.links = links
        self.server = server
        self.bounds = bounds
        self.link_port = link_port
        self.chooser = PacedChooser()
        self.services = {}
        self.routes = {}
        self.daemons = 1
        self.views = {}
        self.add_member(own)

    def add_member(self, record):
        """Follow a new or changed member."""
        earlier = self.views.get(record.ip)
        if earlier is not None:
            service, view = earlier
            if service == record.service:
                # Its daemon started again; the link follows it with the same view.
                return
            self.service(service).pool.discard(view.instance)
            self.links.drop(record.ip)
        now = monotonic()
        view = UpstreamView(record.ip, record.failure_domain, record.region, now)
        # Nothing is sent there before the daemon has said that its upstream is ready.
        view.draining = record.ip != self.own.ip
        self.views[record.ip] = (record.service, view)
        self.service(record.service).pool.add(view)
        self.daemons = len(self.views)
        for service in self.services.values():
            service.budget.set_daemons(self.daemons)
        if record.ip != self.own.ip:
            self.links.peer(
                _LinkTarget(record.ip, self.link_port), self._make_load_recorder(view)
            )

    def service(self, name):
        """Return the `ServiceState` of that name."""
        found = self.services.get(name)
        if found is None:
            bounds = self.bounds
            budget = SharedRetryBudget(bounds.retry_share, bounds.retry_reserve)
            budget.set_daemons(self.daemons)
            pool = UpstreamPool(self.own.failure_domain, self.own.region)
            found = self.services[name] = ServiceState(name, pool, budget)
        return found

    def route(self, route):
        """Return the `RouteState` of a route of the configuration."""
        found = self.routes.get(route.name)
        if found is not None and found.route is route:
            return found
        state = RouteState(route)
        if found is not None:
            state.inherit(found)
        self.routes[route.name] = state
        return state

    def discard_removed_routes(self, table):
        """Drop what was learned of routes that are no longer there."""
        names = {route.name for route in table.routes}
        for name in tuple(self.routes):
            if name not in names:
                del self.routes[name]

    def choose(self, service, rule, now, exclude, size):
        """Return ``(view, peer link)`` for a call, the link None for the own upstream.

        Returns None when no upstream can be called.
        """
        own = self.views[self.own.ip][1]
        if service.name == self.own.service:
            self.chooser.record_load(own, self.server.load_report(), now)

        def reachable(view):
            return view is own or self._usable(view, now)

        view = self.chooser.choose(service.pool, rule, now, exclude, size, reachable)
        if view is None:
            return None
        return view, None if view is own else self.links.peers[view.instance]

    def count_alternatives(self, service, now, exclude):
        """Return how many more upstreams of the service a call could go to."""
        own = self.views[self.own.ip][1]
        return sum(
            1
            for view in service.pool
            if not view.draining
            and view not in exclude
            and (view is own or self._usable(view, now))
        )

    def _usable(self, view, now):
        peer = self.links.peers.get(view.instance)
        return peer is not None and peer.is_usable(now)

    def _make_load_recorder(self, view):
        def record_report(load):
            self.chooser.record_load(view, load, monotonic())

        return record_report


class _LinkTarget:
    """A member as `LinkPool` wants it."""

    def __init__(self, ip, port):
        self.instance = ip
        self.link_address = f"{ip}:{port}"
