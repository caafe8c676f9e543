"""Routing table of a platform configuration and weighted choice of services."""

from goldcresthoist.routes.model import (
    CallerLimits,
    Idempotent,
    NonIdempotent,
    Part,
    Route,
    RouteKind,
    RoutingTable,
    Upload,
)
from goldcresthoist.routes.shares import WeightedRoundRobin

__all__ = [
    "CallerLimits",
    "Idempotent",
    "NonIdempotent",
    "Part",
    "Route",
    "RouteKind",
    "RoutingTable",
    "Upload",
    "WeightedRoundRobin",
]
