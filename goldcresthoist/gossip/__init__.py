"""Membership of daemons by a SWIM-like gossip protocol over UDP."""

from goldcresthoist._lazy import lazy_members

_MODULES = {
    "errors": ("GossipError",),
    "member": ("Member", "MemberState"),
    "membership": ("Membership",),
    "messages": ("Version",),
    "options": ("GossipOptions",),
    "roster": ("DomainCount",),
}

__all__ = [name for names in _MODULES.values() for name in names]  # noqa: PLE0605

__getattr__ = lazy_members(__name__, _MODULES)
