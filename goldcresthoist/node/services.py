"""State of each service and route at the entry daemon."""

import asyncio

from goldcresthoist.balance import (
    LatencyChooser,
    SharedRetryBudget,
    UpstreamPool,
    UpstreamSubset,
    UpstreamView,
)
from goldcresthoist.clock import monotonic
from goldcresthoist.config.model import AtMostOnce, Read, WorkRule
from goldcresthoist.links import LinkClosed
from goldcresthoist.routes import WeightedRoundRobin

__all__ = ["FleetServices", "RouteState", "ServiceState"]

# Until the first response, the usual time of a route is assumed to be this share of its
# ``aim_s``.
INITIAL_USUAL_SHARE = 0.3
# Weight of one response in the moving average of the usual time.
EWMA_WEIGHT = 0.05
# Samples are capped at this multiple of the usual time, so that a single outlier
# changes the average little.
MAX_SAMPLE_RATIO = 3.0
# Size of the response body that is assumed before the first response of a route with
# large responses.
INITIAL_LARGE_RESPONSE_BYTES = 64 * 1024
# Interval at which `FleetServices.run` looks for upstreams that cannot be called, and
# the time after which another one is used in their place.
SUBSET_CHECK_INTERVAL_S = 0.5
REPLACE_AFTER_S = 2.0
# Time in which a link responds to the fetch of a configuration before a new link is
# opened besides.
LINK_RESPONSE_S = 0.15


class ServiceState:
    """What this daemon keeps of one service.

    Attributes
    ----------
    name : str
    subset : UpstreamSubset
        All known upstreams of the service.
    pool : UpstreamPool
        Those to which this daemon keeps links.
    budget : SharedRetryBudget
        This daemon's part of the retry budget.
    """

    def __init__(self, name, subset, pool, budget):
        self.name = name
        self.subset = subset
        self.pool = pool
        self.budget = budget


class RouteState:
    """Usual time of one route and the weighted choice of its service.

    The usual time is the moving average of the latency of the route's responses, and
    so is the usual size of their bodies.

    Parameters
    ----------
    route : Route

    Attributes
    ----------
    rule : WorkRule
        Carries the usual time to the chooser.
    service_selector : WeightedRoundRobin
        Distributes the requests among the services of the route.
    response_bytes : float
        Usual size of the response body.
    """

    def __init__(self, route):
        self.route = route
        self.service_selector = WeightedRoundRobin(route.weighted_services)
        self.rule = self._rule(INITIAL_USUAL_SHARE * route.aim_s)
        self.response_bytes = 0.0
        if route.large_responses:
            self.response_bytes = float(INITIAL_LARGE_RESPONSE_BYTES)

    def record(self, rule, latency_s):
        """Include the latency of a response, in seconds, in the usual time.

        `relay_response` calls this in place of the `HedgeTimer` method of the same
        name. ``rule`` is not used.
        """
        usual_s = self.rule.usual_s
        sample = min(latency_s, MAX_SAMPLE_RATIO * usual_s)
        usual_s += EWMA_WEIGHT * (sample - usual_s)
        self.rule = self._rule(usual_s)

    def record_response_size(self, size):
        """Include the size of a response body, in bytes, in the usual size."""
        self.response_bytes += EWMA_WEIGHT * (size - self.response_bytes)

    def inherit(self, earlier):
        """Copy the state of the same route in the previous configuration.

        The position of the weighted round robin is kept only if the weights are equal.
        """
        self.rule = self._rule(earlier.rule.usual_s)
        self.response_bytes = earlier.response_bytes
        if earlier.route.weighted_services == self.route.weighted_services:
            self.service_selector = earlier.service_selector

    def _rule(self, usual_s):
        """Return the route as a rule of the kind that the chooser uses."""
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
    """Services of the fleet, links to their members and the choice of an upstream.

    Links are kept to the subset of each service only (see `UpstreamSubset`), so that
    their number does not grow with the fleet.

    Parameters
    ----------
    own : MemberRecord
    links : LinkPool
    server : UpstreamServer
        Admits the calls to the local upstream.
    bounds : Bounds
        Limits of the platform, such as the retry budget.
    link_port : int
        Port on which the daemons accept links.
    call_soon : callable
        ``call_soon(function)`` calls a function after the current callback of the event
        loop, so that links are opened once for many members that are added together.

    Attributes
    ----------
    services : dict
        `ServiceState` by name.
    routes : dict
        `RouteState` by name.
    members : dict
        `MemberRecord` of each member by its IP address. The members share the retry
        budgets.
    views : dict
        `UpstreamView` by IP address, of the local upstream and of those to which links
        are kept.
    uncallable_since : dict
        Monotonic time since which an upstream in `views` cannot be called, by IP
        address.
    """

    def __init__(self, own, links, server, bounds, link_port, call_soon):
        self.own = own
        self.links = links
        self.server = server
        self.bounds = bounds
        self.link_port = link_port
        self.call_soon = call_soon
        self.chooser = LatencyChooser()
        self.services = {}
        self.routes = {}
        self.members = {}
        self.views = {}
        self.uncallable_since = {}
        self.update_pending = False
        self.add_member(own)

    def add_member(self, record):
        """Add a member or apply a changed record of it."""
        earlier = self.members.get(record.ip)
        self.members[record.ip] = record
        if earlier is not None and earlier.service == record.service:
            # The serving daemon restarted; the link reconnects and updates the same
            # view.
            return
        if earlier is not None:
            self.service(earlier.service).subset.discard(record.ip)
            self._remove_view(earlier)
            self.links.close_peer(record.ip)
        for service in self.services.values():
            service.budget.set_daemon_count(len(self.members))
        if record.ip == self.own.ip:
            self._add_view(record)
            return
        subset = self.service(record.service).subset
        subset.add(record.ip, record.failure_domain, record.region)
        self._schedule_update()

    def remove_member(self, record):
        """Remove a member that has left; running calls there continue."""
        if self.members.pop(record.ip, None) is None:
            return
        self.service(record.service).subset.discard(record.ip)
        self._remove_view(record)
        self.links.close_when_idle(record.ip)
        for service in self.services.values():
            service.budget.set_daemon_count(len(self.members))
        self._schedule_update()

    async def run(self):
        """Replace upstreams that cannot be called, until cancelled."""
        while True:
            await asyncio.sleep(SUBSET_CHECK_INTERVAL_S)
            self.update_links()

    def update_links(self):
        """Open the links that the subsets require, and close the other ones when idle.

        An upstream that could not be called for `REPLACE_AFTER_S` counts as down.
        """
        self.update_pending = False
        now = monotonic()
        down = self._find_down(now)
        for service in self.services.values():
            selected = service.subset.select(down)
            for ip in selected:
                if ip not in self.views:
                    self._open_link(self.members[ip])
            for view in service.pool.views[:]:
                if view.instance != self.own.ip and view.instance not in selected:
                    self._remove_view(self.members[view.instance])
                    self.links.close_when_idle(view.instance)

    async def fetch_configuration(self, ip):
        """Return the `ConfigurationContent` of another daemon.

        When the link to that daemon does not respond within `LINK_RESPONSE_S`, a new
        one is opened besides, since the link may have fallen silent.

        Raises
        ------
        OSError, TimeoutError, LinkError
            When there is no link to that daemon and none can be opened.
        """
        peer = self.links.peers.get(ip)
        if peer is None:
            return await self._fetch_over_new_link(ip)
        kept = asyncio.create_task(_fetch_over_kept_link(peer))
        tasks = {kept}
        try:
            await asyncio.wait(tasks, timeout=LINK_RESPONSE_S)
            if not kept.done() or kept.exception() is not None:
                tasks.add(asyncio.create_task(self._fetch_over_new_link(ip)))
            return await _first_success(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _fetch_over_new_link(self, ip):
        link = await self.links.open_once(_LinkTarget(ip, self.link_port))
        try:
            return await link.fetch_configuration()
        finally:
            link.close("not-needed")

    def _schedule_update(self):
        if not self.update_pending:
            self.update_pending = True
            self.call_soon(self.update_links)

    def _find_down(self, now):
        down = set()
        for ip, view in self.views.items():
            if ip == self.own.ip or (not view.draining and self._usable(view, now)):
                self.uncallable_since.pop(ip, None)
            elif now - self.uncallable_since.setdefault(ip, now) >= REPLACE_AFTER_S:
                down.add(ip)
        return down

    def _open_link(self, record):
        view = self._add_view(record)
        target = _LinkTarget(record.ip, self.link_port)
        self.links.peer(target, self._make_load_recorder(view))

    def _add_view(self, record):
        view = UpstreamView(
            record.ip, record.failure_domain, record.region, monotonic()
        )
        # The upstream gets no calls until its serving daemon has sent a load report.
        view.draining = record.ip != self.own.ip
        view.link_s_per_byte = _link_s_per_byte(self.own, record)
        self.views[record.ip] = view
        self.service(record.service).pool.add(view)
        return view

    def _remove_view(self, record):
        self.service(record.service).pool.discard(record.ip)
        self.views.pop(record.ip, None)
        self.uncallable_since.pop(record.ip, None)

    def set_bounds(self, bounds):
        """Replace the bounds, also those of the retry budgets in use."""
        self.bounds = bounds
        for service in self.services.values():
            service.budget.set_limits(bounds.retry_share, bounds.retry_reserve)

    def service(self, name):
        """Return the `ServiceState` of that name; it is created on first use."""
        found = self.services.get(name)
        if found is None:
            bounds = self.bounds
            budget = SharedRetryBudget(bounds.retry_share, bounds.retry_reserve)
            budget.set_daemon_count(len(self.members))
            own = self.own
            pool = UpstreamPool(own.failure_domain, own.region)
            subset = UpstreamSubset(own.ip, own.failure_domain, own.region)
            found = self.services[name] = ServiceState(name, subset, pool, budget)
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
        """Discard the state of routes that are not in the table."""
        names = {route.name for route in table.routes}
        for name in tuple(self.routes):
            if name not in names:
                del self.routes[name]

    def choose(self, service, rule, now, exclude, size):
        """Choose the upstream for a call.

        Parameters
        ----------
        service : ServiceState
        rule : WorkRule
            Gives the usual time of the call.
        now : float
            Monotonic seconds.
        exclude : list of UpstreamView
            Upstreams that must not be chosen.
        size : int
            Bytes of the request body and of the expected response body.

        Returns
        -------
        (UpstreamView, PeerLink or None) or None
            The link is None for the local upstream. None when no upstream can be
            called.
        """
        own = self.views[self.own.ip]
        if service.name == self.own.service:
            self.chooser.record_load(own, self.server.load_report(), now)

        def reachable(view):
            return view is own or self._usable(view, now)

        view = self.chooser.choose(service.pool, rule, now, exclude, size, reachable)
        if view is None:
            return None
        return view, None if view is own else self.links.peers[view.instance]

    def count_alternatives(self, service, now, exclude):
        """Return the number of upstreams outside ``exclude`` that can be called."""
        own = self.views[self.own.ip]
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


async def _fetch_over_kept_link(peer):
    await peer.first_attempt_done.wait()
    if peer.link is None:
        raise LinkClosed(f"no link to {peer.instance}")
    return await peer.link.fetch_configuration()


async def _first_success(tasks):
    """Return the first result of some tasks; raise an error once all have failed."""
    pending = tasks
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task.exception() is None:
                return task.result()
        if not pending:
            raise done.pop().exception()


def _link_s_per_byte(own, other):
    """Return the time to transfer one byte between two instances, in seconds.

    It is 0 for the own instance and when a bandwidth is not known.
    """
    mbit_s = min(own.link_mbit_s, other.link_mbit_s)
    if own.ip == other.ip or mbit_s <= 0.0:
        return 0.0
    return 8e-6 / mbit_s


class _LinkTarget:
    """Instance and link address of a member, in the form that `LinkPool` uses."""

    def __init__(self, ip, port):
        self.instance = ip
        self.link_address = f"{ip}:{port}"
