"""Routing table of a platform configuration and weighted choice of services."""

from goldcresthoist.routes.model import (
    CallerLimits,
    Download,
    Idempotent,
    NonIdempotent,
    Route,
    RouteKind,
    RoutingTable,
    UnknownKind,
    Upload,
    WarmUpLimit,
    WeightedService,
)
from goldcresthoist.routes.shares import WeightedRoundRobin

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
    "WeightedRoundRobin",
]
