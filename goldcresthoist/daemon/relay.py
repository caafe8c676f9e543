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
        _cut(routed, attempt)
        return
    finish_relay(routed, attempt)


def start_relay(routed, attempt, head):
    """Pass on an answer that is here as a whole; return whether that went well."""
    try:
        routed.exchange.start(head.status, head.headers, attempt.call.body.take(), True)
    except ValueError:
        _cut(routed, attempt)
        return False
    return True


def finish_relay(routed, attempt):
    """Count an answer that was passed on completely."""
    attempt.end(Outcome.SUCCEEDED, None)
    routed.route.hedges.record(routed.rule, attempt.latency_s)


def _cut(routed, attempt):
    routed.router.counters.add("answers_cut")
    attempt.end(Outcome.FAILED, None)
    routed.exchange.abort()


async def _relay_rest(body, exchange):
    ended = False
    while not ended:
        data = await body.read()
        ended = body.exhausted
        await exchange.send(data)
    exchange.finish()
