"""Conditional writes that are read back and repeated when their response is lost."""

import enum
from dataclasses import dataclass

from goldcresthoist.table.errors import (
    ConditionFailed,
    OutcomeUnknown,
    TableUnavailable,
)

__all__ = [
    "Applied",
    "NotSent",
    "Refused",
    "ReadBack",
    "Undecided",
    "WriteResult",
    "write_until_known",
]


class ReadBack(enum.Enum):
    """Outcome of a conditional write as shown by a read after it.

    ``APPLIED`` means that the write took effect, ``CONFLICT`` that a different write
    took its place, so that it can never take effect. ``NOT_VISIBLE`` means that
    neither write is visible yet, or that the read failed.
    """

    APPLIED = "own"
    CONFLICT = "other"
    NOT_VISIBLE = "nothing"


@dataclass(frozen=True, slots=True)
class Applied:
    """The write has taken effect."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The condition of the write failed.

    The write has had no effect and will have none.
    """


@dataclass(frozen=True, slots=True)
class NotSent:
    """The write was not accepted because the table service is unavailable.

    The write has had no effect and will have none.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Undecided:
    """The outcome of the write is still unknown at the deadline.

    The write may have taken effect already, may do so later, or may never do so.
    """

    reason: str


WriteResult = Applied | Refused | NotSent | Undecided


async def write_until_known(write, read_back, backoff):
    """Send a conditional write and determine whether it took effect.

    After a lost response, the item is read back and the write is repeated until its
    outcome is known. The write must have a condition that no longer holds once the
    write has taken effect; otherwise a repetition could apply it a second time.

    Parameters
    ----------
    write : callable
        Coroutine function that sends the write. It raises the same exceptions as
        `TableClient.put`.
    read_back : callable
        Coroutine function that reads the item and returns a `ReadBack`.
    backoff : Backoff
        Provides the pauses between the attempts, and the deadline.

    Returns
    -------
    WriteResult
    """
    sent = False
    while True:
        try:
            await write()
            return Applied()
        except ConditionFailed as exc:
            if not sent:
                return Refused()
            reason = str(exc)
        except TableUnavailable as exc:
            if not sent:
                return NotSent(str(exc))
            reason = str(exc)
        except OutcomeUnknown as exc:
            sent = True
            reason = str(exc)
        match await _seen(read_back):
            case ReadBack.APPLIED:
                return Applied()
            case ReadBack.CONFLICT:
                return Refused()
        if not await backoff.pause():
            return Undecided(reason)


async def _seen(read_back):
    try:
        return await read_back()
    except TableUnavailable:
        return ReadBack.NOT_VISIBLE
