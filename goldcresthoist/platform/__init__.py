"""Bounded, signed HTTP calls that the clients of the platform services share."""

from goldcresthoist.platform.backoff import Backoff
from goldcresthoist.platform.errors import (
    CallFailed,
    CallNotSent,
    PlatformError,
)
from goldcresthoist.platform.gate import CallGate, GateLimits
from goldcresthoist.platform.http import HttpAnswer, SignedHttp

__all__ = [
    "Backoff",
    "CallFailed",
    "CallGate",
    "CallNotSent",
    "GateLimits",
    "HttpAnswer",
    "PlatformError",
    "SignedHttp",
]
