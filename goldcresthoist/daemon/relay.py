"""Relays an answer to the caller, completely or not as if it were complete."""

import asyncio

from goldcresthoist.balance import Outcome
from goldcresthoist.links import CallFailed, LinkError

__all__ = ["relay_answer"]


async def relay_answer(routed, attempt, head):
    """Pass an answer on, or cut the caller's connection.

    Parameters
    ----------
    routed : RoutedCall
    attempt : Attempt
        The attempt that got the answer.
    head : Head
        The start of the answer; the body is read from the call of the attempt.
    """
    exchange = routed.exchange
    body = attempt.call.body
    try:
        data = body.take()
        ended = body.exhausted
        exchange.start(head.status, head.headers, data, ended)
        if not ended:
            async with asyncio.timeout_at(routed.deadline):
                await _relay_rest(body, exchange)
    except (CallFailed, LinkError, ValueError):
        routed.router.counters.add("answers_cut")
        attempt.end(Outcome.FAILED, None)
        exchange.abort()
        return
    attempt.end(Outcome.SUCCEEDED, head.load)
    routed.route.hedges.record(routed.rule, attempt.latency_s)


async def _relay_rest(body, exchange):
    ended = False
    while not ended:
        data = await body.read()
        ended = body.exhausted
        await exchange.send(data)
    exchange.finish()
