"""Deletion of the parts of uploads that ended or were abandoned."""

import asyncio
import time
from dataclasses import dataclass

from goldcresthoist.access import Backoff
from goldcresthoist.operations._parts import PartStore
from goldcresthoist.operations._records import RecordTable, State
from goldcresthoist.table import (
    Always,
    Applied,
    Key,
    Put,
)

__all__ = ["EXPIRED", "KEEP_S", "UploadExpiry", "index_put"]

# Time that an upload is kept after its last part.
KEEP_S = 48 * 3600
# A clock that jumps forward must not end an upload that is in progress: the sweeper
# itself must have seen the record unchanged for this time.
QUIET_S = 3600
PAGE_UPLOADS = 100
WRITE_TIMEOUT_S = 10.0
EXPIRED = "upload was abandoned"
_KEEPS_PARTS = (State.STARTED, State.UNKNOWN)


def index_partition(service):
    """Return the partition of the items that list the uploads of a service."""
    return f"uploads#{service}"


def index_put(service, key, upload_id):
    """Return the write that lists an upload for the sweep."""
    item = {"upload_id": upload_id, "service": service, "key": key}
    return Put(Key(index_partition(service), f"{key}#{upload_id}"), item, Always())


@dataclass(frozen=True, slots=True)
class _Sighting:
    """Nonce of a record and the time of the loop's clock when it was first seen."""

    nonce: str
    since: float


class UploadExpiry:
    """Sweeps the uploads of one service.

    Any number of daemons may sweep at the same time.

    Parameters
    ----------
    table : TableClient
    objects : ObjectClient
    clock : callable
        Returns Unix seconds.
    """

    def __init__(self, table, objects, clock=time.time):
        self.table = table
        self.records = RecordTable(table)
        self.parts = PartStore(table, objects)
        self.clock = clock
        self.sightings = {}

    async def sweep(self, service):
        """Delete the parts of ended uploads; return the number of uploads deleted.

        Raises
        ------
        TableUnavailable, OutcomeUnknown, ObjectsUnavailable
            The sweep can be begun again at any time.
        """
        deleted = 0
        after = ""
        seen = {}
        while True:
            items = await self._page(service, after)
            for item in items:
                deleted += await self._sweep_one(item, seen)
            if len(items) < PAGE_UPLOADS:
                break
            after = items[-1]["sk"]
        self.sightings = seen
        return deleted

    async def _page(self, service, after):
        partition = index_partition(service)
        return await self.table.query(partition, limit=PAGE_UPLOADS, after=after)

    async def _sweep_one(self, item, seen):
        record = await self.records.get(item["service"], item["key"])
        if record is not None and _is_receiving(record, item):
            if not await self._expire(record, item, seen):
                return 0
        elif record is not None and _holds_parts(record, item):
            return 0
        await self.delete(item)
        return 1

    async def _expire(self, record, item, seen):
        now = asyncio.get_running_loop().time()
        sighting = self.sightings.get(item["sk"])
        if sighting is None or sighting.nonce != record.nonce:
            sighting = _Sighting(record.nonce, now)
        seen[item["sk"]] = sighting
        quiet = now - sighting.since >= QUIET_S
        if not quiet or self.clock() < record.upload.expires_s:
            return False
        new = record.changed(State.REFUSED, note=EXPIRED)
        written = await self.records.write(record, new, Backoff(now + WRITE_TIMEOUT_S))
        return isinstance(written, Applied)

    async def delete(self, item):
        """Delete the parts and the index item of an upload."""
        await self.parts.delete_all(item["upload_id"])
        # The key names the upload, so another sweep can only have deleted the same.
        await self.table.delete(Key(item["pk"], item["sk"]), Always())


def _is_receiving(record, item):
    return record.state == State.CLAIMED and _is_same(record, item)


def _holds_parts(record, item):
    return record.state in _KEEPS_PARTS and _is_same(record, item)


def _is_same(record, item):
    return record.upload is not None and record.upload.upload_id == item["upload_id"]
