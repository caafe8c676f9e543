"""Stand-in for the row store of the users' platform, with injectable faults.

Run ``python -m goldcresthoist.tests.standins.platform_store --host IP --port N``.
``POST /-/faults`` sets ``down`` (every call fails with status 503), ``silent`` (calls
get no response), ``lose_answers`` (that many writes take effect without a response) and
``delay_s``. ``forget`` deletes the rows of a table, as an outage of the store may.
"""

import argparse
import asyncio

from aiohttp import web

__all__ = ["PlatformStore", "main"]

POLL_INTERVAL_S = 0.01
# Maximum number of rows in a response of the platform.
MAX_ROWS = 500


class PlatformStore:
    """HTTP server with the rows and the calls that the daemons use."""

    def __init__(self):
        self.version = 0
        # (value, version, removed) by (table, key).
        self.rows = {}
        self.faults = {}
        self.calls = 0
        # Transports of the connections on which calls arrived, and of those that fell
        # silent.
        self.transports = set()
        self.silenced = set()
        self.runner = None

    async def start(self, host, port):
        """Start to listen."""
        app = web.Application()
        app.router.add_post("/-/faults", self._set_faults)
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-feed", self._feed)
        app.router.add_post("/rows-tx", self._transact)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port, reuse_address=True).start()

    async def stop(self):
        """Stop listening."""
        await self.runner.cleanup()

    def put(self, table, key, value):
        """Write a row as an operator does; ``value`` is base64 text."""
        self.version += 1
        self.rows[(table, key)] = (value, self.version, False)

    def remove(self, table, key):
        """Remove a row as an operator does; the change feed shows its removal."""
        self.version += 1
        self.rows[(table, key)] = ("", self.version, True)

    def silence_connections(self):
        """Let all open connections deliver nothing any more; new ones work."""
        self.silenced |= self.transports

    async def _set_faults(self, request):
        self.faults = await request.json()
        table = self.faults.pop("forget", None)
        for key in [key for key in self.rows if key[0] == table]:
            del self.rows[key]
        return web.Response()

    async def _apply_faults(self, request):
        self.calls += 1
        self.transports.add(request.transport)
        await asyncio.sleep(self.faults.get("delay_s", 0))
        while self._is_silent(request):  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
        if self.faults.get("down"):
            raise web.HTTPServiceUnavailable

    def _is_silent(self, request):
        return self.faults.get("silent") or request.transport in self.silenced

    async def _get(self, request):
        await self._apply_faults(request)
        first_key = request.query.get("from", "")
        table = request.query["table"]
        limit = min(int(request.query.get("limit", MAX_ROWS)), MAX_ROWS)
        items = [
            (key, row)
            for key, row in sorted(self.rows.items())
            if key[0] == table and key[1] >= first_key and not row[2]
        ]
        return self._rows_response(items[:limit], len(items) > limit)

    async def _feed(self, request):
        await self._apply_faults(request)
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        end_time = loop.time() + int(request.query["wait_ms"]) / 1000
        while True:
            changed = [
                (key, row)
                for key, row in self.rows.items()
                if key[0] == request.query["table"] and row[1] > after
            ]
            if self._is_silent(request):
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            if changed or loop.time() >= end_time:
                changed.sort(key=lambda item: item[1][1])
                return self._rows_response(changed)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _transact(self, request):
        await self._apply_faults(request)
        body = await request.json()
        for row in body["expect"]:
            known = self.rows.get((row["table"], row["key"]))
            if (known[1] if known else 0) != row["ver"]:
                return web.json_response({"ver": self.version}, status=412)
        for row in body["upserts"]:
            self.put(row["table"], row["key"], row["value"])
        for row in body["remove"]:
            self.rows.pop((row["table"], row["key"]), None)
        if self.faults.get("lose_answers", 0) > 0:
            self.faults["lose_answers"] -= 1
            request.transport.abort()
        return web.json_response({"ver": self.version, "now_s": 0.0})

    def _rows_response(self, rows, truncated=False):
        items = [
            {"key": key, "value": value, "ver": version, "deleted": removed}
            for (_, key), (value, version, removed) in rows
        ]
        return web.json_response(
            {"rows": items, "truncated": truncated, "ver": self.version, "now_s": 0.0}
        )


async def _serve(host, port):
    await PlatformStore().start(host, port)
    await asyncio.Event().wait()


def main():
    """Run the stand-in until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    asyncio.run(_serve(arguments.host, arguments.port))


if __name__ == "__main__":
    main()
