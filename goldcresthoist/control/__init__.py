"""gRPC services for control messages between daemons."""

from goldcresthoist.control.catch_up import CatchUpResult, catch_up
from goldcresthoist.control.client import ControlClient, Peer
from goldcresthoist.control.errors import BadMessage, ControlError, PeerUnavailable
from goldcresthoist.control.fetching import ConfigurationFetcher
from goldcresthoist.control.member_sync import MemberSync, SyncOptions
from goldcresthoist.control.messages import CrashSuspect
from goldcresthoist.control.plane import ControlPlane
from goldcresthoist.control.service import ControlServer, ControlService

__all__ = [
    "BadMessage",
    "CatchUpResult",
    "ConfigurationFetcher",
    "ControlClient",
    "ControlError",
    "ControlPlane",
    "ControlServer",
    "ControlService",
    "CrashSuspect",
    "MemberSync",
    "Peer",
    "PeerUnavailable",
    "SyncOptions",
    "catch_up",
]
