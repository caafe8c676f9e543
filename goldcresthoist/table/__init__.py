"""Client of the platform's table service."""

__all__ = []
