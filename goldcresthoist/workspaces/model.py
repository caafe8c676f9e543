"""A workspace of the operator's configuration."""

from dataclasses import dataclass, field

__all__ = ["Workspace"]


@dataclass(frozen=True, slots=True)
class Workspace:
    """An organisation whose callers send requests with its keys.

    Attributes
    ----------
    name : str
        Name that upstreams, logs and metrics get.
    keys : tuple of str
        Secret keys of the callers. They do not appear in the representation.
    priority : int or None
        Rank under overload, 0 first; None when only the rank of the route counts.
    rate_per_s : float
        Requests a second over all daemons; 0 for no limit.
    burst : float
        Requests that may come at once in addition.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
