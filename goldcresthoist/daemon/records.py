"""Records of at-most-once work as the call path uses them."""

import asyncio

from goldcresthoist.daemon.ledger import OperationStarted
from goldcresthoist.daemon.verdicts import encode_answer, verdict_of

__all__ = ["OperationRecords"]

# A slot is held meanwhile, so a slow table must not take the slots from reads.
START_TIMEOUT_S = 1.0
END_TIMEOUT_S = 0.5


class OperationRecords:
    """Starts and ends operations in the name of one process.

    Parameters
    ----------
    ledger : OperationLedger
    owner : str
        Names this process.
    is_gone : callable
        Tells whether the process of an owner has certainly ended.
    counters : Counters
    """

    def __init__(self, ledger, owner, is_gone, counters):
        self.counters = counters
        self.ledger = ledger
        self.owner = owner
        self.is_gone = is_gone

    async def start(self, service, key, digest):
        """Write the record before the upstream is called; return the verdict."""
        deadline = _deadline(START_TIMEOUT_S)
        result = await self.ledger.start(
            service, key, digest.hex(), self.owner, deadline
        )
        verdict = verdict_of(result, self.is_gone)
        if isinstance(verdict, OperationStarted):
            self.counters.add("operations_started", service=service)
        return verdict

    async def finish(self, token, status, headers, body):
        """Record the answer. ``body`` is None when it is too large to keep."""
        answer = None if body is None else encode_answer(status, headers, body)
        await self.ledger.finish(token, answer, _deadline(END_TIMEOUT_S))

    async def finish_unknown(self, token):
        """Record that the upstream was called and gave no complete answer."""
        self.counters.add("operations_unknown", service=token.service)
        note = "no complete answer of the upstream"
        await self.ledger.mark_unknown(token, note, _deadline(END_TIMEOUT_S))

    async def release(self, token):
        """Record that nothing ran, so that the key may be started again."""
        await self.ledger.fail_not_run(token, _deadline(END_TIMEOUT_S))

    async def state(self, service, key):
        """Return the verdict on an operation without starting it."""
        return verdict_of(await self.ledger.state(service, key), self.is_gone)

    async def cancel(self, service, key):
        """Make sure that nothing can start under the key; return the verdict."""
        deadline = _deadline(START_TIMEOUT_S)
        result = await self.ledger.cancel(service, key, deadline, note="by its caller")
        return verdict_of(result, self.is_gone)


def _deadline(timeout_s):
    return asyncio.get_running_loop().time() + timeout_s
