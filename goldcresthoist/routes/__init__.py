"""Routes of requests: the configuration on the platform, and the choice by it."""

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
