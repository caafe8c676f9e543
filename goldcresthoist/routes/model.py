"""Routes and the routing table of one configuration version."""

from dataclasses import dataclass

__all__ = [
    "CallerLimits",
    "Download",
    "Idempotent",
    "NonIdempotent",
    "WeightedService",
    "Route",
    "RouteKind",
    "RoutingTable",
    "UnknownKind",
    "Upload",
    "WarmUpLimit",
]


@dataclass(frozen=True, slots=True)
class Idempotent:
    """Requests of the route may be executed more than once."""


@dataclass(frozen=True, slots=True)
class NonIdempotent:
    """Requests of the route may be executed at most once."""


@dataclass(frozen=True, slots=True)
class Upload:
    """Requests of the route have large bodies and may be executed at most once."""


@dataclass(frozen=True, slots=True)
class Download:
    """Requests may be executed more than once; their responses are large."""


@dataclass(frozen=True, slots=True)
class UnknownKind:
    """A kind that this release does not know.

    Its requests are executed at most once and sent to no second upstream, since nothing
    else is known to be safe.
    """

    name: str


RouteKind = Idempotent | NonIdempotent | Upload | Download | UnknownKind


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets part of a route's requests, in proportion to ``weight``."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for the requests of one host and path prefix.

    Attributes
    ----------
    host : str
        Host name without a port. It must be in lower case to match, as
        `RoutingTable.route_for` compares it with a lower-case name.
    prefix : str
        Start of the paths of the requests.
    kind : RouteKind
        Whether requests may be executed more than once.
    timeout_s : float
        Longest time in seconds until the caller gets a response, if need be an error.
    aim_s : float
        Time in seconds from the caller's first attempt within which a response has its
        full value.
    priority : int
        Rank under overload; requests with lower numbers are served first.
    weighted_services : tuple of `WeightedService`
        Services among which the requests are distributed.
    max_attempts : int
        Largest number of upstreams that one request may reach, retries and hedges
        included; 1 for an `UnknownKind`.
    public : bool
        Whether requests need no key where the configuration has workspaces.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    aim_s: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    public: bool = False

    @property
    def repeatable(self):
        """Whether a request may be executed more than once."""
        match self.kind:
            case Idempotent() | Download():
                return True
            case NonIdempotent() | Upload() | UnknownKind():
                return False

    @property
    def large_responses(self):
        """Whether the responses are large."""
        return isinstance(self.kind, Download)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of requests and connections of callers. Times are in seconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 15.0
    idle_timeout_s: float = 120.0


@dataclass(frozen=True, slots=True)
class WarmUpLimit:
    """Load that an upstream bears while it warms up.

    Attributes
    ----------
    duration_s : float
        Time that a warm-up takes after a start.
    per_s : float
        Requests a second that the upstream bears meanwhile, over all daemons.
    """

    duration_s: float
    per_s: float


class RoutingTable:
    """The routes of one configuration version.

    Parameters
    ----------
    version : int
    routes : iterable of Route
    services : dict of str to str
        Path of the health check by service name; "" when the service has none.
    limits : CallerLimits
    unknown : iterable of str
        What the configuration says and this release does not understand. The rest is
        in force.
    workspaces : WorkspaceDirectory or None
        None when requests need no key.
    warm_up_limits : dict of str to WarmUpLimit
        By service name; services without a limit are left out.
    """

    def __init__(
        self,
        version,
        routes,
        services,
        limits,
        unknown=(),
        workspaces=None,
        warm_up_limits=None,
    ):
        self.version = version
        self.routes = tuple(routes)
        self.services = services
        self.limits = limits
        self.unknown = tuple(unknown)
        self.workspaces = workspaces
        self.warm_up_limits = warm_up_limits or {}
        self._by_host = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def route_for(self, host, path):
        """Return the route of the host with the longest prefix of the path, or None.

        Parameters
        ----------
        host : str
            Host name in lower case, without a port.
        path : str
            Path of the request, without the query.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
