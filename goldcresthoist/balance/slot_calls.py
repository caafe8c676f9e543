"""Calls that request a slot of an upstream."""

from dataclasses import dataclass

__all__ = ["SlotCall", "Waiter"]


@dataclass(frozen=True, slots=True)
class SlotCall:
    """A call that requests a slot. Times are monotonic seconds.

    Attributes
    ----------
    work : str
        Name of the kind of work, as in the configuration.
    priority : int
        Lower values are served first.
    deadline : float
        Time by which the call must have ended.
    soft_deadline : float
        Time from which a response has less than its full value.
    alternatives : int
        Number of other upstreams that could still run the call.
    workspace : str
        Name of the workspace of the call; empty when it has none.
    """

    work: str
    priority: int
    deadline: float
    soft_deadline: float
    alternatives: int
    workspace: str = ""


class Waiter:
    """A call that waits for a slot.

    Attributes
    ----------
    call : SlotCall
    future : asyncio.Future
        Completes when the call is given a slot or refused.
    order : int
        Number of the call in the order of arrival.
    respond_by : float
        Monotonic time by which the response should be sent. The deadline of the call
        replaces it for short work and while the upstream is in a slow phase.
    can_wait : bool
        Whether the call could outlast a slow phase when it arrived (see `CallRanking`).
        It keeps its rank while it waits, so that it does not pass the calls to which it
        gave way.
    """

    __slots__ = ("call", "can_wait", "future", "order", "respond_by")

    def __init__(self, call, future, order, respond_by, can_wait):
        self.call = call
        self.future = future
        self.order = order
        self.respond_by = respond_by
        self.can_wait = can_wait
