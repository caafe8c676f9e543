"""Tests that calls create no reference cycles."""

import gc
import unittest

from goldcresthoist.daemon.tests.builders import RoutingCase

CALLS = 50
CALL_PACKAGES = ("callers", "daemon", "links", "streams", "upstreams")


class ReferenceCycleTest(RoutingCase):
    """Guards against reference cycles in the call path.

    Objects in cycles are freed by the garbage collector, which pauses calls.
    """

    async def test_calls_leave_no_cycles(self):
        entry, (upstream,) = await self.start_path()
        for node in (entry, upstream):
            caller = await self.caller(node)
            for method, body in (("GET", b""), ("PUT", b"x" * 1000)):
                await caller.call(method, "/lookup/items", (), body)
                left = await self.count_garbage(caller, method, body)
                self.assertEqual(left, 0, (node.plan.member.instance, method))

    async def count_garbage(self, caller, method, body):
        """Return how many call path objects the collector finds after some calls."""
        gc.collect()
        gc.disable()
        gc.set_debug(gc.DEBUG_SAVEALL)
        try:
            for _ in range(CALLS):
                await caller.call(method, "/lookup/items", (), body)
            gc.collect()
            modules = [type(item).__module__.split(".") for item in gc.garbage]
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
            gc.enable()
        own = [m for m in modules if m[0] == "goldcresthoist" and m[1] in CALL_PACKAGES]
        return len(own)


if __name__ == "__main__":
    unittest.main()
