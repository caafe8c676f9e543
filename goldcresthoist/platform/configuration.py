"""Decoder of the operator's configuration, which the platform's store holds as JSON."""

import msgspec

from goldcresthoist.platform.errors import InvalidMessage
from goldcresthoist.routes import (
    CallerLimits,
    Idempotent,
    NonIdempotent,
    Route,
    RoutingTable,
    Upload,
    WeightedService,
)

__all__ = ["CONFIGURATION_KEY", "CONFIGURATION_TABLE", "decode_configuration"]

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"

_KINDS = {
    "idempotent": Idempotent(),
    "non_idempotent": NonIdempotent(),
    "upload": Upload(),
}


class _WeightedService(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    aim_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    service: str = ""
    weighted_services: tuple[_WeightedService, ...] = ()


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = ""


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = CallerLimits().max_header_bytes
    max_body_bytes: int = CallerLimits().max_body_bytes
    header_timeout_s: float = CallerLimits().header_timeout_s
    idle_timeout_s: float = CallerLimits().idle_timeout_s


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()


_decoder = msgspec.json.Decoder(_Configuration)


def decode_configuration(content):
    """Return the `RoutingTable` of an encoded configuration.

    For a route without ``aim_s``, its ``timeout_s`` is used instead. Weighted services
    without a positive weight are left out.

    Raises
    ------
    InvalidMessage
        When the content is not valid JSON, a field is missing or has a wrong type, or a
        route has an unknown kind or no service.
    """
    try:
        decoded = _decoder.decode(content)
    except msgspec.MsgspecError as exc:
        raise InvalidMessage(f"configuration: {exc}") from exc
    routes = [_route(item) for item in decoded.routes]
    services = {item.name: item.health_path for item in decoded.services}
    limits = decoded.limits
    return RoutingTable(
        decoded.version,
        routes,
        services,
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
    )


def _route(item):
    kind = _KINDS.get(item.kind)
    if kind is None:
        raise InvalidMessage(f"route {item.name!r}: unknown kind {item.kind!r}")
    parts = tuple(
        WeightedService(part.service, part.weight)
        for part in item.weighted_services
        if part.weight > 0
    )
    if not parts:
        if not item.service:
            raise InvalidMessage(f"route {item.name!r}: no service is given")
        parts = (WeightedService(item.service, 1.0),)
    return Route(
        item.name,
        item.host,
        item.prefix,
        kind,
        item.timeout_s,
        item.aim_s or item.timeout_s,
        item.priority,
        parts,
        max(1, item.max_attempts),
    )
