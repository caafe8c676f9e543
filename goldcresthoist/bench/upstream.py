"""Upstream stand-in with the faults that the benchmark needs.

It extends `goldcresthoist.tests.standins.upstream` by these faults:

``slow_factor``
    Factor by which service times are multiplied.
``straggler_share``
    Share of requests that take ``STRAGGLER_FACTOR`` times longer.
``fail_fast``
    The response to every request is an immediate 503.
"""

import argparse
import asyncio
import os
import random

from goldcresthoist.tests.standins.upstream import Connection, UpstreamStandIn

__all__ = ["BenchStandIn"]

STRAGGLER_FACTOR = 50.0


class BenchStandIn(UpstreamStandIn):
    """State of one stand-in, shared by all of its connections."""

    def __init__(self, slots, seed):
        super().__init__(slots)
        self.random = random.Random(seed).random

    async def listen(self, host, port):
        """Start to accept connections and return the port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: BenchConnection(self), host, port, backlog=1024
        )
        return self.listener.sockets[0].getsockname()[1]

    def service_s(self, request):
        """Return the time for which a request occupies a slot, with the faults."""
        service_s = float(request.options["ms"]) / 1000.0
        service_s *= self.faults.get("slow_factor", 1.0)
        if self.random() < self.faults.get("straggler_share", 0.0):
            service_s *= STRAGGLER_FACTOR
        return service_s


class BenchConnection(Connection):
    """Responds to the requests of one connection in order."""

    async def _serve(self, request):
        standin = self.standin
        standin.counts["started"] += 1
        if standin.faults.get("fail_fast"):
            await request.complete.wait()
            standin.counts["failed_fast"] += 1
            self._write_head(503, 0)
            return
        async with standin.slots:
            await asyncio.sleep(standin.service_s(request))
            await request.complete.wait()
            self._write_answer(request)
        standin.counts["completed"] += 1

    def _write_answer(self, request):
        # The load generator checks that the body is the target that it sent.
        body = request.target.encode().ljust(600)
        self._write_head(200, len(body), body)


async def _serve_forever(arguments):
    standin = BenchStandIn(arguments.slots, arguments.port)
    port = await standin.listen("127.0.0.1", arguments.port)
    print(f"listening on 127.0.0.1:{port}", flush=True)
    await asyncio.Event().wait()


def main():
    """Run one stand-in until the process is killed."""
    parser = argparse.ArgumentParser(description="Upstream of the benchmark.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=12)
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    uvloop.run(_serve_forever(parser.parse_args()))


if __name__ == "__main__":
    main()
