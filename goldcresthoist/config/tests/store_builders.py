"""Builders for tests of the configuration."""

import msgspec

from goldcresthoist.config.model import ServiceConfiguration, TeamConfiguration

__all__ = ["make_content"]


def make_content(team, *services, domain="domain-1"):
    """Return an encoded configuration with these services."""
    configuration = TeamConfiguration(
        team, tuple(make_service(name) for name in services), (domain,)
    )
    return msgspec.json.encode(configuration)


def make_service(name):
    """Return the configuration of one service without work."""
    return ServiceConfiguration(
        name=name,
        slots=12,
        short_slots=4,
        queue_limit=48,
        retry_share=0.08,
        hedge_share=0.05,
        measuring_share=0.01,
        work=(),
    )
