"""The daemon beside each upstream."""

__all__ = []
