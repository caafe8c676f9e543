"""Event log, decision log and metrics of a daemon."""

from goldcresthoist._lazy import lazy_members

_MODULES = {
    "_catalogue": ("METRICS", "REFUSAL_CODES", "RETRY_REASONS"),
    "_plain": ("PlainExposition",),
    "counters": ("Counters",),
    "decisions": ("DecisionLog",),
    "log": ("configure_logging", "log_event"),
}

__all__ = [name for names in _MODULES.values() for name in names]  # noqa: PLE0605

__getattr__ = lazy_members(__name__, _MODULES)
