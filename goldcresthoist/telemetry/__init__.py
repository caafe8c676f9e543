"""Logs and metrics."""

__all__ = []
