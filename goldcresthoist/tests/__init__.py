"""System tests, with the stand-ins and helpers that all tests share."""

__all__ = []
