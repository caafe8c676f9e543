"""Differences between two configurations of a team."""

import msgspec

__all__ = ["differences", "item_differences"]


def differences(old, new):
    """Return one line of text for each difference.

    Parameters
    ----------
    old : TeamConfiguration or None
        None if the team has no configuration yet.
    new : TeamConfiguration

    Returns
    -------
    tuple of str
    """
    old_items = _values_by_item(old) if old is not None else {}
    return item_differences(old_items, _values_by_item(new))


def item_differences(old_items, new_items):
    """Return one line of text for each difference between labelled items.

    Parameters
    ----------
    old_items, new_items : dict of str to dict
        Values of each item by name, by the label of the item.

    Returns
    -------
    tuple of str
    """
    lines = [f"{name}: removed" for name in old_items if name not in new_items]
    for name, values in new_items.items():
        if name in old_items:
            lines.extend(_changed_values(name, old_items[name], values))
        else:
            lines.append(f"{name}: added")
    return tuple(lines)


def _changed_values(name, old, new):
    return [
        f"{name}: {key} {old.get(key)} -> {new.get(key)}"
        for key in sorted({*old, *new})
        if old.get(key) != new.get(key)
    ]


def _values_by_item(team):
    """Return the values of each service and each work entry, keyed by a label."""
    document = msgspec.to_builtins(team)
    items = {"failure domains": {"names": ", ".join(team.failure_domains)}}
    for service in document["services"]:
        all_work = service.pop("work")
        items[f"service {service['name']}"] = service
        for work in all_work:
            work["kind"] = work["kind"]["type"]
            items[f"work {service['name']}/{work['name']}"] = work
    return items
