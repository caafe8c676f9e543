"""Conditional writes whose outcome is found out when their answer is lost."""

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
    "Seen",
    "Undecided",
    "Written",
    "write_until_known",
]


class Seen(enum.Enum):
    """What a read-back shows of a write."""

    OWN = "own"
    OTHER = "other"
    NOTHING = "nothing"


@dataclass(frozen=True, slots=True)
class Applied:
    """The write took effect."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The condition of the write failed; it had and will have no effect."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """The table cannot be reached; the write had and will have no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Undecided:
    """The write was sent; it has, may yet, or may never take effect."""

    reason: str


Written = Applied | Refused | NotSent | Undecided


async def write_until_known(write, read_back, backoff):
    """Make a conditional write and find out whether it took effect.

    The write is repeated while its outcome is unknown. Its condition must fail once
    it has taken effect, so that it takes effect once at most.

    Parameters
    ----------
    write : callable
        Returns an awaitable that raises the errors of `TableClient.put`.
    read_back : callable
        Returns an awaitable of `Seen`: ``OWN`` if the write took effect, ``OTHER``
        if another write made that impossible for ever, else ``NOTHING``.
    backoff : Backoff
        Gives the deadline.

    Returns
    -------
    Written
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
            case Seen.OWN:
                return Applied()
            case Seen.OTHER:
                return Refused()
        if not await backoff.pause():
            return Undecided(reason)


async def _seen(read_back):
    try:
        return await read_back()
    except TableUnavailable:
        return Seen.NOTHING
