"""Differences between two routing tables."""

import dataclasses

from goldcresthoist.config.differences import item_differences
from goldcresthoist.routes.model import UnknownKind

__all__ = ["table_differences"]


def table_differences(old, new):
    """Return one line of text for each difference.

    Keys of workspaces are only counted.

    Parameters
    ----------
    old, new : RoutingTable

    Returns
    -------
    tuple of str
    """
    lines = item_differences(_values_by_item(old), _values_by_item(new))
    return (*lines, *_key_differences(_workspaces(old), _workspaces(new)))


def _key_differences(old, new):
    """Return a line for each workspace of both tables whose keys differ."""
    for name, workspace in new.items():
        if name not in old:
            continue
        before, after = set(old[name].keys), set(workspace.keys)
        if before != after:
            added, removed = len(after - before), len(before - after)
            yield f"workspace {name}: keys {added} added, {removed} removed"


def _workspaces(table):
    return {} if table.workspaces is None else table.workspaces.by_name


def _values_by_item(table):
    """Return the values of the limits, routes, services and workspaces by a label."""
    items = {"limits": dataclasses.asdict(table.limits)}
    for route in table.routes:
        values = dataclasses.asdict(route)
        values.pop("name")
        values["kind"] = _kind_name(route.kind)
        values["weighted_services"] = ", ".join(
            f"{item.service} {item.weight:g}" for item in route.weighted_services
        )
        items[f"route {route.name}"] = values
    for name, health_path in table.services.items():
        values = items[f"service {name}"] = {"health_path": health_path}
        warm_up = table.warm_up_limits.get(name)
        values["warm_up"] = None
        if warm_up is not None:
            values["warm_up"] = f"{warm_up.per_s:g}/s for {warm_up.duration_s:g} s"
    for name, workspace in _workspaces(table).items():
        values = dataclasses.asdict(workspace)
        del values["name"], values["keys"]
        items[f"workspace {name}"] = values
    return items


def _kind_name(kind):
    match kind:
        case UnknownKind(name=name):
            return name
        case _:
            return type(kind).__name__
