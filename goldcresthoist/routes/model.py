"""Routes, and the table of them that is in force."""

from dataclasses import dataclass

__all__ = [
    "CallerLimits",
    "Idempotent",
    "NonIdempotent",
    "Part",
    "Route",
    "RouteKind",
    "RoutingTable",
    "Upload",
]


@dataclass(frozen=True, slots=True)
class Idempotent:
    """The request may run more than once."""


@dataclass(frozen=True, slots=True)
class NonIdempotent:
    """The request may run at most once."""


@dataclass(frozen=True, slots=True)
class Upload:
    """A request with a large body that may run at most once."""


RouteKind = Idempotent | NonIdempotent | Upload


@dataclass(frozen=True, slots=True)
class Part:
    """One service of a route; ``weight`` is relative to the other parts."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host and path prefix are treated.

    Attributes
    ----------
    timeout_s : float
        The longest time in seconds that a caller is kept waiting.
    aim_s : float
        The time in seconds within which an answer has its full value.
    priority : int
        Rank under overload; 0 is served first.
    max_attempts : int
        Upstreams that one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    aim_s: float
    priority: int
    weighted_services: tuple[Part, ...]
    max_attempts: int

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        return isinstance(self.kind, Idempotent)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send. Times are in seconds."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 15.0
    idle_timeout_s: float = 120.0


class RoutingTable:
    """The routes of one configuration version.

    Parameters
    ----------
    version : int
    routes : iterable of Route
    services : dict of str to str
        Path of the health check by service.
    limits : CallerLimits
    """

    def __init__(self, version, routes, services, limits):
        self.version = version
        self.routes = tuple(routes)
        self.services = services
        self.limits = limits
        self._by_host = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def route_for(self, host, path):
        """Return the route with the longest prefix that begins the path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
