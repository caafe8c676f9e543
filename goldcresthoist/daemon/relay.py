"""Relaying of responses to the caller.

If a response cannot be relayed completely, the connection of the caller is aborted, so
that the caller does not take the truncated response for a complete one.
"""

import asyncio

from goldcresthoist.balance import Outcome
from goldcresthoist.clock import monotonic
from goldcresthoist.links import CallFailed, LinkError

__all__ = ["relay_response"]


async def relay_response(routed, attempt, head):
    """Relay a response; abort the connection of the caller if that fails.

    Parameters
    ----------
    routed : RoutedCall
    attempt : Attempt
        The attempt that received the response.
    head : Head
        Head of the response. The body is read from the call of the attempt.
    """
    exchange = routed.exchange
    body = attempt.call.body
    try:
        data = body.take()
        ended = body.exhausted
        exchange.start(head.status, head.headers, data, ended)
        if not ended:
            async with asyncio.timeout(routed.deadline - monotonic()):
                await _relay_remaining_body(body, exchange)
    except (CallFailed, LinkError, ValueError):
        _abort_relay(routed, attempt)
        return
    record_success(routed, attempt)


def relay_complete_response(routed, attempt, head):
    """Relay a response that was received completely; return whether that succeeded."""
    try:
        routed.exchange.start(head.status, head.headers, attempt.call.body.take(), True)
    except ValueError:
        _abort_relay(routed, attempt)
        return False
    return True


def record_success(routed, attempt):
    """Record that a response was relayed completely."""
    attempt.end(Outcome.SUCCEEDED, None)
    routed.route.hedges.record(routed.rule, attempt.latency_s)


def _abort_relay(routed, attempt):
    routed.router.counters.add("answers_cut")
    attempt.end(Outcome.FAILED, None)
    routed.exchange.abort()


async def _relay_remaining_body(body, exchange):
    ended = False
    while not ended:
        data = await body.read()
        ended = body.exhausted
        await exchange.send(data)
    exchange.finish()
