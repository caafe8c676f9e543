"""Operations service that reads and settles records of the operation ledger."""

import asyncio
from datetime import UTC, datetime

from goldcresthoist.operations import InvalidOperationKey
from goldcresthoist.operations.ledger import make_open_operation
from goldcresthoist.operations.results import (
    Settled,
    StoreUnavailable,
)
from goldcresthoist.operations.results import Settlement as LedgerSettlement
from goldcresthoist.operators.errors import (
    Conflict,
    InvalidRequest,
    NotFound,
    Unavailable,
)
from goldcresthoist.operators.model import OperationRecord
from goldcresthoist.table import TableUnavailable

__all__ = ["LedgerOperations"]

SETTLE_TIMEOUT_S = 10.0
# Maximum number of operations in one list. The others are listed after operators have
# settled these.
MAX_LISTED = 200
# Maximum number of pages, of 100 records each, that are read for one list.
MAX_PAGES = 200
OPEN_STATES = ("started", "unknown")


class LedgerOperations:
    """Shows and settles at-most-once operations.

    Parameters
    ----------
    ledger : OperationLedger
    holder : ConfigurationHolder
        Provides the names of the services when those of all services are listed.
    owner_has_ended : callable
        Returns whether the process of an owner has certainly ended.
    encode_response : callable
        Encodes a response for the ledger from ``(status, headers, body)``.
    """

    def __init__(self, ledger, holder, owner_has_ended, encode_response):
        self.ledger = ledger
        self.holder = holder
        self.owner_has_ended = owner_has_ended
        self.encode_response = encode_response

    async def list_unknown(self, service):
        """Return open operations whose owner will not record an outcome any more."""
        names = [service] if service else sorted(self.holder.owners)
        listed = []
        pages_left = MAX_PAGES
        for name in names:
            after = ""
            while pages_left and len(listed) < MAX_LISTED:
                page = await self._page(name, after)
                pages_left -= 1
                listed.extend(
                    _unknown_record(operation) for operation in page.operations
                )
                after = page.after
                if not after:
                    break
        return tuple(listed[:MAX_LISTED])

    async def show(self, service, key):
        """Return the record of one operation."""
        record = await self._record(service, key)
        state = record.state
        if state == "started" and self.owner_has_ended(record.owner):
            state = "unknown"
        return OperationRecord(
            service, key, state, record.owner, _iso(record.started_s)
        )

    async def settle(self, service, key, settlement):
        """Record an operator's decision about an unknown operation."""
        record = await self._record(service, key)
        if record.state not in OPEN_STATES:
            raise Conflict(f"operation {key!r} of {service} is {record.state}")
        if record.state == "started" and not self.owner_has_ended(record.owner):
            raise Conflict(
                f"operation {key!r} of {service} may still run at {record.owner}"
            )
        result = await self.ledger.settle(
            make_open_operation(record),
            LedgerSettlement.FINISHED
            if settlement.outcome == "ran"
            else LedgerSettlement.REFUSED,
            settlement.author,
            f"settled by an operator: {settlement.outcome}",
            asyncio.get_running_loop().time() + SETTLE_TIMEOUT_S,
            self._recorded_response(settlement),
        )
        match result:
            case Settled():
                return await self.show(service, key)
            case StoreUnavailable(reason):
                raise Unavailable(
                    f"it is not known whether the settlement was recorded: {reason}"
                )
        raise Conflict(f"operation {key!r} of {service} changed while it was settled")

    def _recorded_response(self, settlement):
        if settlement.outcome != "ran":
            return None
        body = settlement.body.encode()
        headers = (
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(body)),
        )
        return self.encode_response(settlement.status, headers, body)

    async def _page(self, service, after):
        try:
            return await self.ledger.list_unknown(service, self.owner_has_ended, after)
        except TableUnavailable as exc:
            raise Unavailable(str(exc)) from exc

    async def _record(self, service, key):
        try:
            record = await self.ledger.records.get(service, key)
        except InvalidOperationKey as exc:
            raise InvalidRequest(str(exc)) from exc
        except TableUnavailable as exc:
            raise Unavailable(str(exc)) from exc
        if record is None:
            raise NotFound(f"no operation {key!r} of {service}")
        return record


def _unknown_record(operation):
    # A started operation is listed only if the process of its owner has ended. Its
    # outcome is then unknown as well.
    return OperationRecord(
        operation.service,
        operation.key,
        "unknown",
        operation.owner,
        _iso(operation.started_s),
    )


def _iso(time_s):
    if not time_s:
        return ""
    return datetime.fromtimestamp(time_s, UTC).isoformat(timespec="seconds")
