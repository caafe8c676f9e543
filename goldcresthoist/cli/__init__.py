"""Command line of goldcresthoist."""

__all__ = []
