"""Uploads at the serving daemon, which sends the stored body at most once."""

import asyncio

import msgspec

from goldcresthoist.clock import monotonic
from goldcresthoist.daemon.at_most_once import AtMostOnceRunner
from goldcresthoist.daemon.operation_decisions import decision_for
from goldcresthoist.http_fields import header_value
from goldcresthoist.objects import ObjectsError
from goldcresthoist.operations import MissingPart
from goldcresthoist.table import TableError
from goldcresthoist.upstreams import (
    REQUEST_ID_FIELD,
    RequestWriter,
    UpstreamBroken,
    UpstreamError,
)

__all__ = ["UploadRunner"]

# Time limit for writing the start record of an upload.
START_TIMEOUT_S = 5.0


class StoredBodyUnreadable(UpstreamError):
    """The stored body could not be read to its end.

    The upstream has received fewer bytes than the Content-Length states, so it cannot
    have taken the request for a complete one.
    """


class UploadRunner(AtMostOnceRunner):
    """Runs an upload whose complete body is in the object store.

    Parameters
    ----------
    service : str
    upstream : ConnectionPool
    records : OperationRecords
    receiver : UploadReceiver
    """

    def __init__(self, service, upstream, records, receiver):
        super().__init__(service, upstream, records)
        self.receiver = receiver

    async def start(self, message):
        """Write the start record of the upload; return the `StartDecision`."""
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
        result = await self.receiver.start(
            self.service, message.key, self.records.owner, deadline
        )
        return decision_for(result, self.records.owner_has_ended)

    async def send(self, upstream_call, token):
        """Send the stored body; return the `UpstreamResponse`."""
        length = token.upload.length
        message = upstream_call.call.open
        headers = (*message.headers, (b"content-length", b"%d" % length))
        message = msgspec.structs.replace(
            message, headers=headers, body=b"", end=length == 0
        )
        connection = upstream_call.connection
        upstream_call.server.active_calls.add(upstream_call)
        time_left_s = upstream_call.deadline - monotonic()
        writer = RequestWriter(message, max(1, int(time_left_s * 1000)))
        connection.expect(header_value(message.headers, REQUEST_ID_FIELD))
        connection.send(writer.start(), False)
        if length:
            chunks = self.receiver.body(token)
            upstream_call.sender = asyncio.create_task(
                _send_chunks(connection, writer, chunks)
            )
        return await connection.head()

    async def on_failure(self, upstream_call, token, error):
        """Record the failure of a started upload and report it.

        If the stored body could not be read, the upstream received an incomplete
        request. The operation is then recorded as not run and may be started again.
        """
        if not isinstance(error, StoredBodyUnreadable):
            await super().on_failure(upstream_call, token, error)
            return
        await self.records.release(token)
        load = upstream_call.server.load_report()
        upstream_call.call.refuse("store-unavailable", str(error), load, 1000)


async def _send_chunks(connection, writer, chunks):
    """Send the stored body. A failure is raised where the response is awaited."""
    try:
        async for chunk in chunks:
            await connection.send_body(writer.frame(chunk))
    except UpstreamBroken as exc:
        connection.fail_exchange(exc)
    except (TableError, ObjectsError, MissingPart) as exc:
        connection.fail_exchange(
            StoredBodyUnreadable(f"the stored body cannot be read: {exc}")
        )
