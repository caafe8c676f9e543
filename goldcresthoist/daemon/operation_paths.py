"""HTTP endpoints below ``/<service>/-/`` that show and cancel operations."""

from urllib.parse import unquote

from goldcresthoist.callers import Outcome, Refusal, Scope
from goldcresthoist.daemon.ledger import OperationRefused, ResponseRecorded
from goldcresthoist.daemon.refusals import refusal_from_frame

__all__ = ["OperationPaths"]

OPERATIONS_PREFIX = "/-/operations/"
CANCEL_SUFFIX = "/cancel"


class OperationPaths:
    """Reports the state of an operation and cancels one that has not started.

    Parameters
    ----------
    records : OperationRecords
    """

    def __init__(self, records):
        self.records = records

    async def handle(self, router, service, target, request, exchange):
        """Handle ``GET .../operations/<key>`` or ``POST .../<key>/cancel``.

        ``target`` is the request target without the service.
        """
        path = target.partition("?")[0]
        key, cancel = _parse(path)
        if not key or request.method != ("POST" if cancel else "GET"):
            router.refuse(
                exchange, "unknown-work", f"no endpoint for {request.method} {path}"
            )
            return
        if cancel:
            decision = await self.records.cancel(service, key)
        else:
            decision = await self.records.state(service, key)
        self._send_decision(router, exchange, decision, cancel)

    def _send_decision(self, router, exchange, decision, cancel):
        match decision:
            case ResponseRecorded() if cancel:
                message = "the operation has already finished"
                refusal = Refusal(
                    "operation-finished", message, Outcome.FINISHED, Scope.OPERATION
                )
                router.answer(exchange, refusal)
            case ResponseRecorded(status, headers, body):
                exchange.start(status, headers, body, True)
            case OperationRefused(code="operation-cancelled") if cancel:
                # The request to cancel succeeded, so it is not counted as a refusal.
                refusal = Refusal(
                    decision.code, decision.message, Outcome.NOT_RUN, Scope.OPERATION
                )
                exchange.answer_with_status(200, refusal)
            case OperationRefused() as refused:
                router.answer(exchange, refusal_from_frame(refused))


def _parse(path):
    """Return the key in a path and whether the path asks to cancel the operation.

    The key is empty when the path is not one of an operation.
    """
    if not path.startswith(OPERATIONS_PREFIX):
        return "", False
    key = path[len(OPERATIONS_PREFIX) :]
    cancel = key.endswith(CANCEL_SUFFIX)
    if cancel:
        key = key[: -len(CANCEL_SUFFIX)]
    return unquote(key), cancel
