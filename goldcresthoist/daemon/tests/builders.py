"""Builders for tests of the call path."""

from goldcresthoist.config import AtMostOnce, Repeatable
from goldcresthoist.tests.cluster import ClusterCase
from goldcresthoist.tests.processes import make_rule, make_service

__all__ = ["RoutingCase", "lookup_service", "no_retries"]


def lookup_service(usual_s=0.1, **changes):
    """Return a service with work of three kinds."""
    return make_service(
        "lookup",
        make_rule("read", "GET", "/items", usual_s=usual_s),
        make_rule("put", "PUT", "/items", Repeatable(), usual_s=usual_s),
        make_rule("settle", "POST", "/settle", AtMostOnce(), usual_s=usual_s),
        **changes,
    )


class NoBudget:
    """Allows neither retries nor hedges."""

    def record_call(self):
        """Do nothing."""

    def try_retry(self):
        """Deny a retry."""
        return False

    def try_retry_lost(self):
        """Deny a retry of a call that was cut off."""
        return False

    def try_hedge(self):
        """Deny a hedge."""
        return False


def no_retries(configuration):
    """Return a budget that allows nothing."""
    return NoBudget()


class RoutingCase(ClusterCase):
    """One entry node, and the given number of upstreams of ``lookup``."""

    async def start_path(self, upstreams=1, ledger=None, **changes):
        """Start the nodes; return the entry node and the list of the others."""
        names = [(f"lookup-{number}", "lookup") for number in range(upstreams)]
        nodes = await self.start_cluster(
            [lookup_service(**changes)], ("front", "front"), *names, ledger=ledger
        )
        return nodes["front"], [nodes[name] for name, _ in names]
