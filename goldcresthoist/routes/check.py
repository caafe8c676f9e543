"""Strict check of the routes, services and workspaces of a configuration.

The daemons are tolerant: they put in force what they understand. This check names what
an operator should correct before that. It performs no I/O.
"""

from dataclasses import dataclass

from goldcresthoist.workspaces import Workspace

__all__ = [
    "CheckedConfiguration",
    "CheckedRoute",
    "CheckedService",
    "CheckedTarget",
    "CheckedWorkspace",
    "Finding",
    "check_configuration",
]

NEVER_MATCHES = "never matches, same host and prefix"


@dataclass(frozen=True, slots=True)
class Finding:
    """Something to correct in a configuration.

    Attributes
    ----------
    place : str
        Path of the value in the document, such as ``routes[3].timeout_s``.
    text : str
        What is wrong there. It contains no keys.
    is_error : bool
        Whether the configuration is not valid because of it.
    """

    place: str
    text: str
    is_error: bool = False

    def __str__(self):
        return f"{self.place}: {self.text}"


@dataclass(frozen=True, slots=True)
class CheckedTarget:
    """A service that a route names, with its place in the document and its weight."""

    place: str
    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class CheckedRoute:
    """A route and its place in the document.

    Attributes
    ----------
    targets : tuple of CheckedTarget
        Services of the route; those with a weight of 0 are included.
    targets_place : str
        Place of the list of services.

    The other attributes are those of `goldcresthoist.routes.Route`, with `host` and
    `aim_s` as in the document; an `aim_s` of 0 stands for the time-out.
    """

    place: str
    name: str
    host: str
    prefix: str
    timeout_s: float
    aim_s: float
    public: bool
    targets: tuple[CheckedTarget, ...]
    targets_place: str


@dataclass(frozen=True, slots=True)
class CheckedService:
    """A service and its place in the document.

    Attributes
    ----------
    warm_up_s, warm_up_per_s : float
        See `WarmUpLimit`.
    warm_up_rate_place : str
        Place of the rate.
    """

    place: str
    name: str
    warm_up_s: float
    warm_up_per_s: float
    warm_up_rate_place: str


@dataclass(frozen=True, slots=True)
class CheckedWorkspace:
    """A workspace, its place in the document and that of its keys."""

    place: str
    keys_place: str
    workspace: Workspace


@dataclass(frozen=True, slots=True)
class CheckedConfiguration:
    """What of a document could be read.

    Attributes
    ----------
    service_names : frozenset of str
        Names of all services, also of those that are not valid otherwise.
    has_workspaces : bool
        Whether the document lists workspaces, valid or not.
    """

    routes: tuple[CheckedRoute, ...]
    services: tuple[CheckedService, ...]
    workspaces: tuple[CheckedWorkspace, ...]
    service_names: frozenset[str]
    has_workspaces: bool


def check_configuration(configuration):
    """Return the list of `Finding` for a `CheckedConfiguration`."""
    found = []
    found += _check_names(configuration.routes)
    found += _check_names(configuration.services)
    workspaces = configuration.workspaces
    found += _duplicates(
        (f"{item.place}.name", item.workspace.name, "same name") for item in workspaces
    )
    for route in configuration.routes:
        found += _check_match(route)
        found += _check_targets(route, configuration.service_names)
        if route.aim_s > route.timeout_s:
            found.append(
                Finding(
                    f"{route.place}.aim_s",
                    f"{route.aim_s:g} is over the time-out of {route.timeout_s:g}",
                )
            )
        if route.public and not configuration.has_workspaces:
            text = "has no effect, as there are no workspaces"
            found.append(Finding(f"{route.place}.public", text))
    found += _duplicates(
        (f"{item.place}.prefix", (item.host.lower(), item.prefix), NEVER_MATCHES)
        for item in configuration.routes
    )
    for service in configuration.services:
        if service.warm_up_s > 0 and not service.warm_up_per_s:
            text = f"no rate is given for the warm-up of {service.warm_up_s:g} s"
            found.append(Finding(service.warm_up_rate_place, text))
    for item in workspaces:
        found += _check_workspace(item)
    found += _duplicates(
        (f"{item.keys_place}[{index}]", key, "same key")
        for item in workspaces
        for index, key in enumerate(item.workspace.keys)
        if key
    )
    return found


def _check_names(items):
    return _duplicates((f"{item.place}.name", item.name, "same name") for item in items)


def _duplicates(entries):
    """Return an error for each value that has occurred before.

    Parameters
    ----------
    entries : iterable of (str, object, str)
        Place of a value, the value, and the start of the text, which does not contain
        the value.
    """
    first_places = {}
    found = []
    for place, value, text in entries:
        first = first_places.setdefault(value, place)
        if first != place:
            found.append(Finding(place, f"{text} as at {first}", True))
    return found


def _check_match(route):
    """Return the findings of a route that can never match, or matches too much."""
    found = []
    place = f"{route.place}.prefix"
    if not route.prefix:
        found.append(Finding(place, "is empty and matches every path; expected /"))
    elif not route.prefix.startswith("/"):
        text = f"{route.prefix!r} never matches, as it has no slash at its start"
        found.append(Finding(place, text))
    elif "?" in route.prefix:
        text = f"{route.prefix!r} never matches, as paths are compared without query"
        found.append(Finding(place, text))
    elif not route.prefix.endswith("/"):
        text = f"{route.prefix!r} has no slash at its end and matches longer names too"
        found.append(Finding(place, text))
    if ":" in route.host:
        text = f"{route.host!r} never matches, as hosts are compared without port"
        found.append(Finding(f"{route.place}.host", text))
    return found


def _check_targets(route, service_names):
    """Return the errors in the services of a route and in their weights."""
    if not route.targets:
        return [Finding(route.targets_place, "no service is given", True)]
    found = []
    if not sum(target.weight for target in route.targets):
        found.append(Finding(route.targets_place, "the weights sum to 0", True))
    unknown = [item for item in route.targets if item.service not in service_names]
    text = "is not defined"
    if len(unknown) == len(route.targets):
        text += ", and the route has no other service"
    found += [
        Finding(item.place, f"service {item.service!r} {text}", True)
        for item in unknown
    ]
    return found


def _check_workspace(item):
    """Return the findings in the limit and the keys of one workspace."""
    workspace = item.workspace
    found = []
    if workspace.burst < workspace.rate_per_s:
        text = f"{workspace.burst:g} is below the rate of {workspace.rate_per_s:g}"
        found.append(Finding(f"{item.place}.burst", text))
    if workspace.burst and not workspace.rate_per_s:
        text = "has no effect, as no rate is given"
        found.append(Finding(f"{item.place}.burst", text))
    if not workspace.keys:
        text = "there are no keys, so no request can belong to the workspace"
        found.append(Finding(item.keys_place, text))
    found += [
        Finding(f"{item.keys_place}[{index}]", "is empty", True)
        for index, key in enumerate(workspace.keys)
        if not key
    ]
    return found
