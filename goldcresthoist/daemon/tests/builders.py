"""Helpers for tests of the call path."""

from goldcresthoist.config import AtMostOnce, Repeatable
from goldcresthoist.tests.cluster import ClusterTestCase
from goldcresthoist.tests.processes import make_rule, make_service

__all__ = ["RoutingCase", "lookup_service", "make_empty_budget"]


def lookup_service(usual_s=0.1, **changes):
    """Return a service with a read, a repeatable and an at-most-once rule."""
    return make_service(
        "lookup",
        make_rule("read", "GET", "/items", usual_s=usual_s),
        make_rule("put", "PUT", "/items", Repeatable(), usual_s=usual_s),
        make_rule("settle", "POST", "/settle", AtMostOnce(), usual_s=usual_s),
        **changes,
    )


class EmptyBudget:
    """A `RetryBudget` that allows neither retries nor hedges."""

    def record_call(self):
        """Ignore the call."""

    def try_retry(self):
        """Deny a retry."""
        return False

    def try_retry_after_crash(self):
        """Deny a retry after a crash or a broken connection."""
        return False

    def try_hedge(self):
        """Deny a hedge."""
        return False


def make_empty_budget(configuration):
    """Return a budget that allows no retries and no hedges."""
    return EmptyBudget()


class RoutingCase(ClusterTestCase):
    """Starts one entry node and nodes with upstreams of the service ``lookup``."""

    async def start_path(self, upstreams=1, ledger=None, **changes):
        """Start the nodes; return the entry node and a list of the other nodes.

        Parameters
        ----------
        upstreams : int
            Number of nodes with an upstream, which are named ``lookup-0`` and so on.
        ledger : FakeLedger, optional
            Records of at-most-once work that all nodes share. Without it, each node has
            its own.
        **changes
            Arguments of `lookup_service`.
        """
        names = [(f"lookup-{number}", "lookup") for number in range(upstreams)]
        nodes = await self.start_cluster(
            [lookup_service(**changes)], ("front", "front"), *names, ledger=ledger
        )
        return nodes["front"], [nodes[name] for name, _ in names]
