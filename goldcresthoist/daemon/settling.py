"""Operations as operators see and settle them at this daemon."""

import asyncio
from datetime import UTC, datetime

from goldcresthoist.daemon.verdicts import decode_answer, encode_answer
from goldcresthoist.operations.results import (
    AlreadyFinished,
    AlreadyRunning,
    Cancelled,
    NoRecord,
    Receiving,
    Settled,
    Settlement,
    StoreUnavailable,
    Unknown,
)
from goldcresthoist.operators import (
    Conflict,
    NotFound,
    OperationRecord,
    Unavailable,
)
from goldcresthoist.table import TableError

__all__ = ["OperationsDesk"]

SETTLE_TIMEOUT_S = 5.0


class OperationsDesk:
    """Lists, shows and settles operations for the operators' pages.

    Parameters
    ----------
    ledger : OperationLedger
    holder : ConfigurationHolder
    is_gone : callable
        Tells whether the process of an owner has certainly ended.
    """

    def __init__(self, ledger, holder, is_gone):
        self.ledger = ledger
        self.holder = holder
        self.is_gone = is_gone

    async def list_unknown(self, service):
        """Return `OperationRecord` items; ``service`` is a name or None for all."""
        names = [service] if service else sorted(self.holder.owners)
        found = []
        for name in names:
            async for operation in self._open_of(name):
                found.append(_record(operation, "unknown"))
        return found

    async def show(self, service, key):
        """Return one `OperationRecord`."""
        result = await self.ledger.state(service, key)
        match result:
            case NoRecord():
                raise NotFound(f"no operation {key!r} of service {service!r}")
            case StoreUnavailable(reason):
                raise Unavailable(reason)
            case AlreadyFinished(answer):
                status = decode_answer(answer).status if answer else 0
                return OperationRecord(service, key, "finished", answer_status=status)
            case AlreadyRunning(owner):
                state = "unknown" if self.is_gone(owner) else "started"
                return OperationRecord(service, key, state, owner)
            case Unknown(owner):
                return OperationRecord(service, key, "unknown", owner)
            case Receiving():
                return OperationRecord(service, key, "claimed")
            case Cancelled():
                return OperationRecord(service, key, "refused")
        raise TypeError(f"unexpected state {result!r}")

    async def settle(self, service, key, settlement):
        """Record an operator's settlement and return the `OperationRecord`."""
        operation = await self._find(service, key)
        ran = settlement.outcome == "ran"
        answer = None
        if ran:
            body = settlement.body.encode()
            headers = ((b"content-length", b"%d" % len(body)),)
            answer = encode_answer(settlement.status, headers, body)
        result = await self.ledger.settle(
            operation,
            Settlement.FINISHED if ran else Settlement.REFUSED,
            settlement.author,
            "settled by an operator",
            asyncio.get_running_loop().time() + SETTLE_TIMEOUT_S,
            answer,
        )
        match result:
            case Settled():
                return await self.show(service, key)
            case StoreUnavailable(reason):
                raise Unavailable(reason)
        raise Conflict(f"operation {key!r} changed meanwhile: {result}")

    async def _find(self, service, key):
        async for operation in self._open_of(service):
            if operation.key == key:
                return operation
        record = await self.show(service, key)
        raise Conflict(f"operation {key!r} is {record.state}, not unknown")

    async def _open_of(self, service):
        after = ""
        while True:
            try:
                page = await self.ledger.list_unknown(service, self.is_gone, after)
            except TableError as exc:
                raise Unavailable(str(exc)) from exc
            for operation in page.operations:
                yield operation
            after = page.after
            if not after:
                return


def _record(operation, state):
    started = datetime.fromtimestamp(operation.started_s, UTC).isoformat()
    return OperationRecord(
        operation.service, operation.key, state, operation.owner, started
    )
