"""Membership of daemons by gossip over UDP."""

__all__ = []
