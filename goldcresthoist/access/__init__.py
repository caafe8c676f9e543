"""Bounded, signed HTTP calls that the clients of remote services share."""

from goldcresthoist._lazy import lazy_members

_MODULES = {
    "backoff": ("Backoff",),
    "errors": ("CallFailed", "CallNotSent", "PlatformError"),
    "gate": ("CallGate", "GateLimits"),
    "http": ("HttpAnswer", "SignedHttp"),
}

__all__ = [name for names in _MODULES.values() for name in names]  # noqa: PLE0605

__getattr__ = lazy_members(__name__, _MODULES)
