"""Signed HTTP requests with a concurrency limit, circuit breaker and retry backoff.

The clients of the platform's table, object and row stores are built on this package.
"""

from goldcresthoist._lazy import lazy_members

_MODULES = {
    "backoff": ("Backoff",),
    "errors": ("CallFailed", "CallNotSent", "PlatformError"),
    "gate": ("CallGate", "GateLimits"),
    "http": ("HttpResponse", "SignedHttp"),
}

__all__ = [name for names in _MODULES.values() for name in names]  # noqa: PLE0605

__getattr__ = lazy_members(__name__, _MODULES)
