"""Benchmarks of policies, the request path and the size limits."""

__all__ = []
