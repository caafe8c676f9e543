"""Status of the daemon for operators."""

import msgspec

from goldcresthoist.clock import monotonic

__all__ = ["NodeStatus"]


class NodeStatus(msgspec.Struct, frozen=True):
    """State of the daemon at one moment.

    Attributes
    ----------
    configuration_version : int
        -1 before the first configuration.
    configuration_age_s : float or None
        Seconds since the store confirmed that this version is the newest; None when it
        has not yet.
    configuration_malformed : bool
        Whether the newest configuration in the store is malformed.
    configuration_unknown : tuple of str
        Kinds and fields of the configuration that this release does not know.
    store_era : int
        Newest known era of the platform's store; 0 until one is known.
    upstream_state : str
        "usable", or the reason for which calls are refused.
    warm_up : str
        What is known of the warm-up of the upstream: "warm", "rising" just after it,
        "stated" or "presumed"; "not limited" without a limit in the configuration.
    drained_domains : tuple of str
        Failure domains that the operator drains.
    """

    instance: str
    service: str
    ready: bool
    stopping: bool
    configuration_version: int
    configuration_age_s: float | None
    configuration_malformed: bool
    configuration_unknown: tuple[str, ...]
    watching_store: bool
    store_era: int
    members: int
    upstream: str
    upstream_state: str
    warm_up: str
    drained_domains: tuple[str, ...]
    in_flight: int
    queued: int
    slots: int
    pace: float

    @classmethod
    def from_node(cls, node):
        """Return the status of a `Node`."""
        watch = node.watch
        queue = node.server.queue
        age_s = None
        if watch.confirmed_at != float("-inf"):
            age_s = round(watch.age_s(monotonic()), 3)
        return cls(
            instance=node.settings.instance,
            service=node.own.service,
            ready=node.is_ready(),
            stopping=node.draining,
            configuration_version=watch.version,
            configuration_age_s=age_s,
            configuration_malformed=watch.newest_malformed,
            configuration_unknown=watch.table.unknown if watch.table else (),
            watching_store=watch.watching_store,
            store_era=watch.era,
            members=len(node.directory.members),
            upstream=node.own.identity or "",
            upstream_state=node.server.refusal_reason() or "usable",
            warm_up=_warm_up(queue.warm_up),
            drained_domains=tuple(sorted(watch.drained.domains)),
            in_flight=queue.running,
            queued=len(queue.waiting),
            slots=queue.slots,
            pace=round(queue.pace.pace, 2),
        )

    def text(self):
        """Return one line for each attribute."""
        lines = []
        for name in self.__struct_fields__:
            value = getattr(self, name)
            if isinstance(value, tuple):
                value = ", ".join(value) or "nothing"
            lines.append(f"{name.replace('_', ' ')}: {value}\n")
        return "".join(lines)


def _warm_up(warm_up):
    if warm_up.per_s is None:
        return "not limited"
    warm_up.is_cold(monotonic())
    return type(warm_up.state).__name__.lower()
