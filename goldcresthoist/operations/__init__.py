"""At-most-once operations and resumable uploads."""

__all__ = []
