"""Writes that keep each service name owned by at most one team."""

import asyncio

from goldcresthoist.config.errors import ServiceTaken
from goldcresthoist.config.versions import owner_key
from goldcresthoist.table import Absent, Equals, Put

__all__ = ["ownership_writes"]

# A service that its team has released is stored with this name as its team.
NO_TEAM = ""


async def ownership_writes(table, team, old_services, new_services):
    """Return the writes that claim added services and release removed ones.

    A service that stays needs no write. Only a transaction of the same team can
    release it, and the condition on the current version excludes a concurrent one.

    Parameters
    ----------
    table : TableClient
    team : str
    old_services, new_services : frozenset of str
        Service names in the current configuration and in the candidate.

    Returns
    -------
    list of Put

    Raises
    ------
    ServiceTaken
        If an added service belongs to another team.
    """
    added = sorted(new_services - old_services)
    removed = sorted(old_services - new_services)
    writes = await asyncio.gather(*(_claim(table, team, name) for name in added))
    writes += [_owner_write(name, NO_TEAM, Equals("team", team)) for name in removed]
    return writes


async def _claim(table, team, service):
    item = await table.get(owner_key(service))
    if item is None:
        return _owner_write(service, team, Absent())
    if item["team"] not in (team, NO_TEAM):
        raise ServiceTaken(service, item["team"])
    return _owner_write(service, team, Equals("team", item["team"]))


def _owner_write(service, team, condition):
    return Put(owner_key(service), {"team": team}, condition)
