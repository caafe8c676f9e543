"""What changes from one configuration of a team to the next."""

import msgspec

__all__ = ["differences"]


def differences(old, new):
    """Return one line for each difference.

    Parameters
    ----------
    old : TeamConfiguration or None
        None when the team has no configuration yet.
    new : TeamConfiguration
    """
    before = _flatten(old) if old is not None else {}
    after = _flatten(new)
    lines = [f"{name}: removed" for name in before if name not in after]
    for name, values in after.items():
        if name in before:
            lines.extend(_changes(name, before[name], values))
        else:
            lines.append(f"{name}: added")
    return tuple(lines)


def _changes(name, before, after):
    return [
        f"{name}: {key} {before.get(key)} -> {after.get(key)}"
        for key in sorted({*before, *after})
        if before.get(key) != after.get(key)
    ]


def _flatten(team):
    """Return the comparable values of each service and each work by its name."""
    document = msgspec.to_builtins(team)
    parts = {"failure domains": {"names": ", ".join(team.failure_domains)}}
    for service in document["services"]:
        all_work = service.pop("work")
        parts[f"service {service['name']}"] = service
        for work in all_work:
            work["kind"] = work["kind"]["type"]
            parts[f"work {service['name']}/{work['name']}"] = work
    return parts
