"""HTTP pages for operators."""

__all__ = []
