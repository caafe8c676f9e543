"""Stand-in for the row store of the users' platform, with injectable faults.

Run ``python -m goldcresthoist.tests.standins.platform_store --host IP --port N``.
``POST /-/faults`` sets ``down`` (every call fails with status 503), ``silent`` (calls
get no response), ``lose_answers`` (that many writes take effect without a response) and
``delay_s``. ``forget`` deletes the rows of a table, as an outage of the store may.
``restore`` replaces all rows by those of that many seconds ago.
"""

import argparse
import asyncio
from collections import deque
from dataclasses import dataclass
from time import monotonic

from aiohttp import web

__all__ = ["PlatformStore", "main"]

POLL_INTERVAL_S = 0.01
# Maximum number of rows in a response of the platform.
MAX_ROWS = 500
# Number of states, one after each transaction, to which the store can be restored.
MAX_COPIES = 1000


@dataclass(frozen=True, slots=True)
class _Copy:
    """State of the store from a monotonic time on."""

    taken_at: float
    version: int
    rows: dict


class PlatformStore:
    """HTTP server with the rows and the calls that the daemons use.

    Attributes
    ----------
    era : int or None
        Number of times that the store was restored, plus 1. It is sent as ``Store-Era``
        with each response; None sends no such header.
    version : int
        Version of the last transaction.
    oldest_version : int
        Version from which the changes are known; it is that of the copy after a
        restore.
    """

    def __init__(self):
        self.era = 1
        self.version = 0
        self.oldest_version = 0
        # (value, version, removed) by (table, key).
        self.rows = {}
        self.copies = deque([_Copy(float("-inf"), 0, {})], MAX_COPIES)
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
        app.on_response_prepare.append(self._add_era)
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
        self._commit({(table, key): value}, ())

    def remove(self, table, key):
        """Remove a row as an operator does; the change feed shows its removal."""
        self._commit({}, ((table, key),))

    def keys(self, table):
        """Return the keys of the rows of a table."""
        rows = self.rows.items()
        return {key for (name, key), row in rows if name == table and not row[2]}

    def restore(self, age_s):
        """Replace all rows by those of ``age_s`` seconds ago, in a new era.

        Returns
        -------
        dict
            What the operator has to write again: the values of the rows of the table
            ``op`` that are lost, by key; None for a row that had been removed.
        """
        latest = monotonic() - age_s
        copy = next(
            (item for item in reversed(self.copies) if item.taken_at <= latest),
            self.copies[0],
        )
        lost = {
            key: None if removed else value
            for (table, key), (value, version, removed) in self.rows.items()
            if table == "op" and version > copy.version
        }
        while self.copies and self.copies[-1] is not copy:
            self.copies.pop()
        self.rows = dict(copy.rows)
        self.version = self.oldest_version = copy.version
        if self.era is not None:
            self.era += 1
        return lost

    def write_again(self, lost):
        """Write what `restore` returned, as the operator does."""
        for key, value in lost.items():
            if value is None:
                self.remove("op", key)
            else:
                self.put("op", key, value)

    def _commit(self, values, removed_keys):
        """Write and remove rows, each given by (table, key), in one transaction."""
        self.version += 1
        for key, value in values.items():
            self.rows[key] = (value, self.version, False)
        for key in removed_keys:
            self.rows[key] = ("", self.version, True)
        self.copies.append(_Copy(monotonic(), self.version, dict(self.rows)))

    def silence_connections(self):
        """Let all open connections deliver nothing any more; new ones work."""
        self.silenced |= self.transports

    async def _set_faults(self, request):
        self.faults = await request.json()
        table = self.faults.pop("forget", None)
        for key in [key for key in self.rows if key[0] == table]:
            del self.rows[key]
        if (age_s := self.faults.pop("restore", None)) is not None:
            return web.json_response(self.restore(age_s))
        return web.Response()

    async def _add_era(self, request, response):
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)

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
            if not self.oldest_version <= after <= self.version:
                raise web.HTTPGone
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
            exists = known is not None and not known[2]
            if (known[1] if exists else 0) != row["ver"]:
                return web.json_response({"ver": self.version}, status=412)
        self._commit(
            {(row["table"], row["key"]): row["value"] for row in body["upserts"]},
            [(row["table"], row["key"]) for row in body["remove"]],
        )
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
