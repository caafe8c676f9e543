"""Routing table of a platform configuration and weighted choice of services."""

from goldcresthoist.routes.model import (
    CallerLimits,
    Idempotent,
    NonIdempotent,
    Route,
    RouteKind,
    RoutingTable,
    Upload,
    WeightedService,
)
from goldcresthoist.routes.shares import WeightedRoundRobin

__all__ = [
    "CallerLimits",
    "Idempotent",
    "NonIdempotent",
    "WeightedService",
    "Route",
    "RouteKind",
    "RoutingTable",
    "Upload",
    "WeightedRoundRobin",
]
