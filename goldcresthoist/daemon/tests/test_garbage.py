"""Calls must leave nothing for the garbage collector."""

import gc
import unittest

from goldcresthoist.daemon.tests.builders import RoutingCase

CALLS = 50
OWN_MODULES = ("callers", "daemon", "links", "streams", "upstreams")


class GarbageTest(RoutingCase):
    """Guards against reference cycles, whose collection would pause calls."""

    async def test_calls_leave_no_cycles(self):
        entry, (upstream,) = await self.start_path()
        for node in (entry, upstream):
            caller = await self.caller(node)
            for method, body in (("GET", b""), ("PUT", b"x" * 1000)):
                await caller.call(method, "/lookup/items", (), body)
                left = await self.count_garbage(caller, method, body)
                self.assertEqual(left, 0, (node.plan.member.instance, method))

    async def count_garbage(self, caller, method, body):
        """Return how many own objects the collector finds after some calls."""
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
        own = [m for m in modules if m[0] == "goldcresthoist" and m[1] in OWN_MODULES]
        return len(own)


if __name__ == "__main__":
    unittest.main()
