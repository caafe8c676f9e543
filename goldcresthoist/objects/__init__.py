"""Client of the platform's object store."""

__all__ = []
