"""Membership and configuration of the daemons that share one store."""

from goldcresthoist.fleet.channel import FleetChannel
from goldcresthoist.fleet.configuration import ConfigurationWatch
from goldcresthoist.fleet.directory import Directory
from goldcresthoist.fleet.messages import MemberRecord
from goldcresthoist.fleet.registration import Registration

__all__ = [
    "ConfigurationWatch",
    "Directory",
    "FleetChannel",
    "MemberRecord",
    "Registration",
]
