"""Builders of team configurations for tests."""

import msgspec

from goldcresthoist.config.model import (
    Read,
    ServiceConfiguration,
    TeamConfiguration,
    WorkRule,
)

__all__ = ["make_content", "make_stored_content"]


def make_content(
    team, *services, slots=12, domain="domain-1", encode=msgspec.msgpack.encode
):
    """Return a team's configuration, encoded as msgpack by default.

    Without names of services it has ``{team}-read`` and ``{team}-write``.
    """
    names = services or (f"{team}-read", f"{team}-write")
    work = (WorkRule("get", "GET", "/", Read(), 0.01, 1.0, 1.0),)
    items = tuple(
        ServiceConfiguration(name, slots, 0, 48, 0.05, 0.03, 0.01, work)
        for name in names
    )
    return encode(TeamConfiguration(team, items, (domain,)))


def make_stored_content(team, *services, domain="domain-1"):
    """Return a team's configuration in JSON, the encoding of the store."""
    return make_content(team, *services, domain=domain, encode=msgspec.json.encode)
