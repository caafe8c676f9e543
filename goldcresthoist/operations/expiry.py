"""Deletion of the stored parts of uploads that ended or were abandoned."""

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

__all__ = ["EXPIRED_NOTE", "RETENTION_S", "UploadExpiry", "index_put"]

# An upload in progress is kept for this time after its last part.
RETENTION_S = 48 * 3600
# An upload expires only if the sweep has also found its record unchanged for this time
# on the monotonic clock of this process. Otherwise, a forward jump of the wall clock
# would expire uploads in progress.
MIN_IDLE_S = 3600
UPLOADS_PER_PAGE = 100
WRITE_TIMEOUT_S = 10.0
# This text is stored as the note of the operation record.
EXPIRED_NOTE = "upload was abandoned"
_STATES_NEEDING_PARTS = (State.STARTED, State.UNKNOWN)


def index_partition(service):
    """Return the table partition that holds the upload index of a service."""
    return f"uploads#{service}"


def index_put(service, key, upload_id):
    """Return the `Put` that adds an upload to the index read by the sweep."""
    item = {"upload_id": upload_id, "service": service, "key": key}
    return Put(Key(index_partition(service), f"{key}#{upload_id}"), item, Always())


@dataclass(frozen=True, slots=True)
class _Observation:
    """Nonce of a record, and the event loop time when it was first read."""

    nonce: str
    since: float


class UploadExpiry:
    """Deletes the parts of the uploads of one service that ended or expired.

    Several daemons may sweep the same service concurrently. An instance only keeps the
    observations of its last sweep, so it must be used for one service only.

    Parameters
    ----------
    table : TableClient
    objects : ObjectClient
    clock : callable
        Returns the current time in Unix seconds.
    """

    def __init__(self, table, objects, clock=time.time):
        self.table = table
        self.records = RecordTable(table)
        self.parts = PartStore(table, objects)
        self.clock = clock
        self.observations = {}

    async def sweep(self, service):
        """Delete the parts of the ended and expired uploads of a service.

        Returns
        -------
        int
            Number of uploads whose parts were deleted.

        Raises
        ------
        TableUnavailable, OutcomeUnknown, ObjectsUnavailable
            The sweep can be repeated at any time.
        """
        deleted = 0
        after = ""
        new_observations = {}
        while True:
            items = await self._page(service, after)
            for item in items:
                deleted += await self._sweep_upload(item, new_observations)
            if len(items) < UPLOADS_PER_PAGE:
                break
            after = items[-1]["sk"]
        self.observations = new_observations
        return deleted

    async def _page(self, service, after):
        partition = index_partition(service)
        return await self.table.query(partition, limit=UPLOADS_PER_PAGE, after=after)

    async def _sweep_upload(self, item, new_observations):
        record = await self.records.get(item["service"], item["key"])
        if record is not None and _is_receiving(record, item):
            if not await self._expire(record, item, new_observations):
                return 0
        elif record is not None and _needs_parts(record, item):
            return 0
        await self.delete(item)
        return 1

    async def _expire(self, record, item, new_observations):
        now = asyncio.get_running_loop().time()
        observation = self.observations.get(item["sk"])
        if observation is None or observation.nonce != record.nonce:
            observation = _Observation(record.nonce, now)
        new_observations[item["sk"]] = observation
        idle = now - observation.since >= MIN_IDLE_S
        if not idle or self.clock() < record.upload.expires_s:
            return False
        new = record.changed(State.REFUSED, note=EXPIRED_NOTE)
        written = await self.records.write(record, new, Backoff(now + WRITE_TIMEOUT_S))
        return isinstance(written, Applied)

    async def delete(self, item):
        """Delete the parts of an upload and its item in the index."""
        await self.parts.delete_all(item["upload_id"])
        # No condition is needed: the key contains the upload ID, so a concurrent sweep
        # can only have deleted the same item.
        await self.table.delete(Key(item["pk"], item["sk"]), Always())


def _is_receiving(record, item):
    return record.state == State.CLAIMED and _is_upload_of_record(record, item)


def _needs_parts(record, item):
    return record.state in _STATES_NEEDING_PARTS and _is_upload_of_record(record, item)


def _is_upload_of_record(record, item):
    return record.upload is not None and record.upload.upload_id == item["upload_id"]
