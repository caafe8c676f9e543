"""Items that make each service name belong to one team."""

import asyncio

from goldcresthoist.config.errors import ServiceTaken
from goldcresthoist.config.versions import owner_key
from goldcresthoist.table import Absent, Equals, Put

__all__ = ["owner_puts"]

# Team of a service that its team has given up.
NO_TEAM = ""


async def owner_puts(table, team, before, after):
    """Return the writes that take new services and give up removed ones.

    A service that stays needs no write: only a transaction of its own team, which
    the condition on the current version excludes, can give it up.

    Raises
    ------
    ServiceTaken
        If a new service belongs to another team.
    """
    added = sorted(after - before)
    removed = sorted(before - after)
    puts = await asyncio.gather(*(_take(table, team, name) for name in added))
    puts += [_owner_put(name, NO_TEAM, Equals("team", team)) for name in removed]
    return puts


async def _take(table, team, service):
    item = await table.get(owner_key(service))
    if item is None:
        return _owner_put(service, team, Absent())
    if item["team"] not in (team, NO_TEAM):
        raise ServiceTaken(service, item["team"])
    return _owner_put(service, team, Equals("team", item["team"]))


def _owner_put(service, team, condition):
    return Put(owner_key(service), {"team": team}, condition)
