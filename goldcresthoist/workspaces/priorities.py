"""Rank of a request by its workspace and its route."""

__all__ = ["combined_priority"]

# Ranks of routes from this one on count as equal within a workspace's rank.
ROUTE_RANKS = 100
# Ranks beyond this one count as equal. Links carry integers of 64 bits.
MAX_PRIORITY = 1_000_000


def combined_priority(route_priority, workspace):
    """Return the rank of a request where the configuration has workspaces.

    The rank of the workspace goes before that of the route, which orders the requests
    of workspaces with the same rank. Requests without a workspace are ranked as those
    of a workspace with the rank of their route, so that both can be compared.

    Parameters
    ----------
    route_priority : int
    workspace : Workspace or None

    Returns
    -------
    int
        Requests with lower numbers are served first.
    """
    first = route_priority
    if workspace is not None and workspace.priority is not None:
        first = workspace.priority
    first = max(-MAX_PRIORITY, min(MAX_PRIORITY, first))
    return first * ROUTE_RANKS + max(0, min(ROUTE_RANKS - 1, route_priority))
