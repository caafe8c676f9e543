"""Logs and metrics."""

from goldcresthoist.telemetry._catalogue import METRICS, REFUSAL_CODES, RETRY_REASONS
from goldcresthoist.telemetry.counters import Counters
from goldcresthoist.telemetry.log import configure_logging, log_event

__all__ = [
    "METRICS",
    "REFUSAL_CODES",
    "RETRY_REASONS",
    "Counters",
    "configure_logging",
    "log_event",
]
