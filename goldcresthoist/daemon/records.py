"""Start and end records of at-most-once operations, as the call path uses them."""

import asyncio

from goldcresthoist.daemon.ledger import OperationStarted
from goldcresthoist.daemon.operation_decisions import decision_for, encode_response

__all__ = ["OperationRecords"]

# Time limits for writing the records. A call occupies a concurrency slot during the
# write, so without limits a slow table would leave no slots for reads.
START_TIMEOUT_S = 1.0
FINISH_TIMEOUT_S = 0.5


class OperationRecords:
    """Records the start and end of operations that one daemon process runs.

    Parameters
    ----------
    ledger : OperationLedger
    owner : str
        Name of this process, see `goldcresthoist.daemon.owners.owner_name`.
    owner_has_ended : callable
        Called with an owner; returns whether its process is regarded as ended.
    counters : Counters
    """

    def __init__(self, ledger, owner, owner_has_ended, counters):
        self.counters = counters
        self.ledger = ledger
        self.owner = owner
        self.owner_has_ended = owner_has_ended

    async def start(self, service, key, digest):
        """Write the start record; return the `StartDecision`.

        ``digest`` is the fingerprint of the request as bytes.
        """
        deadline = _deadline(START_TIMEOUT_S)
        result = await self.ledger.start(
            service, key, digest.hex(), self.owner, deadline
        )
        decision = decision_for(result, self.owner_has_ended)
        if isinstance(decision, OperationStarted):
            self.counters.add("operations_started", service=service)
        return decision

    async def finish(self, token, status, headers, body):
        """Record the response. ``body`` is None when it is too large to store."""
        answer = None if body is None else encode_response(status, headers, body)
        await self.ledger.finish(token, answer, _deadline(FINISH_TIMEOUT_S))

    async def finish_unknown(self, token):
        """Record that the request was sent and no complete response was received."""
        self.counters.add("operations_unknown", service=token.service)
        note = "no complete answer of the upstream"
        await self.ledger.mark_unknown(token, note, _deadline(FINISH_TIMEOUT_S))

    async def release(self, token):
        """Record that the operation did not run, so that its key may be used again."""
        await self.ledger.release_start(token, _deadline(FINISH_TIMEOUT_S))

    async def state(self, service, key):
        """Return the decision for an operation without starting it."""
        return decision_for(await self.ledger.state(service, key), self.owner_has_ended)

    async def cancel(self, service, key):
        """Cancel the operation unless it has started; return the decision.

        No operation can be started under the key afterwards.
        """
        deadline = _deadline(START_TIMEOUT_S)
        result = await self.ledger.cancel(service, key, deadline, note="by its caller")
        return decision_for(result, self.owner_has_ended)


def _deadline(timeout_s):
    return asyncio.get_running_loop().time() + timeout_s
