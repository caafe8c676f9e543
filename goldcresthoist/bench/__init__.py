"""Benchmarks of the balancing policies, the request path and the membership."""

__all__ = []
