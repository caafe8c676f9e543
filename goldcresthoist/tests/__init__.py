"""Stand-ins, builders and tests of the whole system."""

__all__ = []
