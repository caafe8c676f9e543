"""Builders of configuration for tests."""

import msgspec

from goldcresthoist.config import (
    Read,
    ServiceConfiguration,
    TeamConfiguration,
    WorkRule,
)


def make_content(team, slots=12, services=None):
    """Return stored bytes of a team's configuration."""
    names = services or (f"{team}-read", f"{team}-write")
    work = (WorkRule("get", "GET", "/", Read(), 0.01, 1.0, 1.0),)
    items = tuple(
        ServiceConfiguration(name, slots, 0, 48, 0.05, 0.03, 0.01, work)
        for name in names
    )
    return msgspec.msgpack.encode(TeamConfiguration(team, items))
