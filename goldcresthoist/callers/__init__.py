"""HTTP/1.1 server that receives the requests of callers."""

from goldcresthoist.callers.errors import (
    BadRequest,
    BodyTooLarge,
    CallerError,
    CallerGone,
    HeadersTooLarge,
)
from goldcresthoist.callers.exchange import Exchange
from goldcresthoist.callers.limits import ConnectionLimits
from goldcresthoist.callers.refusal import Outcome, Refusal, Scope
from goldcresthoist.callers.request import CallerRequest
from goldcresthoist.callers.server import CallerServer

__all__ = [
    "BadRequest",
    "BodyTooLarge",
    "CallerError",
    "CallerGone",
    "CallerRequest",
    "CallerServer",
    "ConnectionLimits",
    "Exchange",
    "HeadersTooLarge",
    "Outcome",
    "Refusal",
    "Scope",
]
