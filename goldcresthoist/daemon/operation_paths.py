"""Paths below ``/<service>/-/`` where callers ask for operations."""

from urllib.parse import unquote

from goldcresthoist.callers import Outcome, Refusal, Scope
from goldcresthoist.daemon.answers import refusal_from_frame
from goldcresthoist.daemon.ledger import AnswerRecorded, OperationRefused

__all__ = ["OperationPaths"]

PREFIX = "/-/operations/"
CANCEL = "/cancel"


class OperationPaths:
    """Tells the state of an operation and cancels one that has not started.

    Parameters
    ----------
    records : OperationRecords
    """

    def __init__(self, records):
        self.records = records

    async def handle(self, router, service, target, request, exchange):
        """Answer ``GET .../operations/<key>`` or ``POST .../<key>/cancel``."""
        path = target.partition("?")[0]
        key, cancel = _parse(path)
        if not key or request.method != ("POST" if cancel else "GET"):
            router.refuse(exchange, "unknown-work", f"no path {request.method} {path}")
            return
        if cancel:
            verdict = await self.records.cancel(service, key)
        else:
            verdict = await self.records.state(service, key)
        self._answer(router, exchange, verdict, cancel)

    def _answer(self, router, exchange, verdict, cancel):
        match verdict:
            case AnswerRecorded() if cancel:
                message = "the operation ran to its end before"
                refusal = Refusal(
                    "operation-finished", message, Outcome.FINISHED, Scope.OPERATION
                )
                router.answer(exchange, refusal)
            case AnswerRecorded(status, headers, body):
                exchange.start(status, headers, body, True)
            case OperationRefused(code="operation-cancelled") if cancel:
                # The caller got what it asked for, so this is not a refusal.
                refusal = Refusal(
                    verdict.code, verdict.message, Outcome.NOT_RUN, Scope.OPERATION
                )
                exchange.answer_with_status(200, refusal)
            case OperationRefused() as refused:
                router.answer(exchange, refusal_from_frame(refused))


def _parse(path):
    if not path.startswith(PREFIX):
        return "", False
    key = path[len(PREFIX) :]
    cancel = key.endswith(CANCEL)
    if cancel:
        key = key[: -len(CANCEL)]
    return unquote(key), cancel
