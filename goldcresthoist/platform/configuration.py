"""Decoder of the operator's configuration, which the platform's store holds as JSON.

A configuration may contain what this release does not know. Refusing all of it would
take every route out of service for one new word, and dropping a route would answer its
callers as if it did not exist. So the rest is in force: unknown fields are ignored, and
requests of an unknown kind are treated as the most restricted one that is known.
"""

import msgspec

from goldcresthoist.platform.errors import InvalidMessage
from goldcresthoist.routes import (
    CallerLimits,
    Download,
    Idempotent,
    NonIdempotent,
    Route,
    RoutingTable,
    UnknownKind,
    Upload,
    WarmUpLimit,
    WeightedService,
)
from goldcresthoist.workspaces import Workspace, WorkspaceDirectory

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "DRAINED_DOMAIN_PREFIX",
    "decode_configuration",
    "decode_drained_domain",
]

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
# Keys of the rows that drain a failure domain, which is named after the prefix.
DRAINED_DOMAIN_PREFIX = "evacuate/"
MAX_DOMAIN_CHARS = 200

# A larger rate during the warm-up counts as this one. Its requests of one second are
# kept one by one.
MAX_WARM_UP_PER_S = 10_000.0

_KINDS = {
    "idempotent": Idempotent(),
    "non_idempotent": NonIdempotent(),
    "upload": Upload(),
    "download": Download(),
}
# Fields that are known and need no handling: all connections to the local upstream are
# plain HTTP/1.1 and within its limit.
_UNUSED_FIELDS = frozenset(("base_version", "max_connections", "protocol", "tls"))


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
    public: bool = False


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = ""
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


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
    tenants: tuple[_Tenant, ...] | None = None


def decode_configuration(content):
    """Return the `RoutingTable` of an encoded configuration.

    For a route without ``aim_s``, its ``timeout_s`` is used instead. Weighted services
    without a positive weight are left out. Kinds and fields that this release does not
    know are named in `RoutingTable.unknown`.

    Raises
    ------
    InvalidMessage
        When the content is not valid JSON, a field is missing or has a wrong type, or a
        route has no service.
    """
    try:
        document = msgspec.json.decode(content)
        decoded = msgspec.convert(document, _Configuration)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise InvalidMessage(f"configuration: {exc}") from exc
    services = {item.name: item.health_path for item in decoded.services}
    limits = decoded.limits
    return RoutingTable(
        decoded.version,
        [_route(item) for item in decoded.routes],
        services,
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
        _find_unknown(document, decoded),
        _workspaces(decoded.tenants),
        {
            item.name: WarmUpLimit(
                item.cold_start_s, min(MAX_WARM_UP_PER_S, item.cold_per_s)
            )
            for item in decoded.services
            if item.cold_per_s > 0
        },
    )


def decode_drained_domain(row):
    """Return the failure domain that a row drains.

    None when its key is that of another row, or when the name in it or the value is
    malformed. The value is an object whose fields have no meaning yet.
    """
    domain = row.key.removeprefix(DRAINED_DOMAIN_PREFIX)
    if domain == row.key or not 0 < len(domain) <= MAX_DOMAIN_CHARS:
        return None
    try:
        msgspec.json.decode(row.value, type=dict)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return domain


def _workspaces(tenants):
    """Return the `WorkspaceDirectory`, or None when there are no workspaces."""
    if not tenants:
        return None
    return WorkspaceDirectory(
        Workspace(
            item.name,
            item.api_keys,
            item.priority,
            max(0.0, item.rate_per_s),
            max(0.0, item.burst),
        )
        for item in tenants
    )


def _find_unknown(document, decoded):
    """Return texts that name the unknown kinds and fields, without duplicates."""
    found = dict.fromkeys(
        f"kind {item.kind!r}" for item in decoded.routes if item.kind not in _KINDS
    )
    parts = [("", _Configuration, [document])]
    parts.append(("limits.", _Limits, [document.get("limits", {})]))
    parts.append(("services[].", _Service, document.get("services", ())))
    parts.append(("tenants[].", _Tenant, document.get("tenants") or ()))
    routes = document.get("routes", ())
    parts.append(("routes[].", _Route, routes))
    weighted = [part for route in routes for part in route.get("weighted_services", ())]
    parts.append(("routes[].weighted_services[].", _WeightedService, weighted))
    for prefix, kind, items in parts:
        known = _UNUSED_FIELDS.union(kind.__struct_fields__)
        names = dict.fromkeys(name for item in items for name in item)
        found |= dict.fromkeys(
            f"field {prefix}{name}" for name in names if name not in known
        )
    return tuple(found)


def _route(item):
    kind = _KINDS.get(item.kind) or UnknownKind(item.kind)
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
        item.host.lower(),
        item.prefix,
        kind,
        item.timeout_s,
        item.aim_s or item.timeout_s,
        item.priority,
        parts,
        1 if isinstance(kind, UnknownKind) else max(1, item.max_attempts),
        item.public,
    )
