"""HTTP/1.1 server for callers."""

__all__ = []
