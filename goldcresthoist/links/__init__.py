"""Framed connections between daemons that carry calls."""

__all__ = []
