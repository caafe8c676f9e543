"""Parsing of on-call hours such as ``mon-fri 08:00-18:00``."""

import re

import msgspec

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
EVERY_DAY = tuple(range(len(DAYS)))
HOURS_EXPECTATION = (
    "expected hours such as 'mon-fri 08:00-18:00', 'sat 10:00-14:00' or '08:00-18:00'"
)
MINUTES_PER_DAY = 24 * 60

_HOURS = re.compile(
    r"^(?:(?P<first>[a-z]{3})(?:-(?P<last>[a-z]{3}))? +)?"
    r"(?P<start>\d{2}:\d{2})-(?P<end>\d{2}:\d{2})$"
)


class OnCallHours(msgspec.Struct, frozen=True):
    """On-call hours that start on some days of the week, where 0 is Monday.

    ``start_minute`` and ``end_minute`` count from midnight. If the end is not after
    the start, the hours end on the next day.
    """

    days: tuple[int, ...]
    start_minute: int
    end_minute: int


def parse_on_call_hours(answer):
    """Parse an `Answer` and return its `OnCallHours`."""
    match = _HOURS.match(answer.value) if isinstance(answer.value, str) else None
    if match is None:
        raise answer.error(HOURS_EXPECTATION)
    start = _parse_minute(match["start"])
    end = _parse_minute(match["end"])
    if start is None or end is None or start == end or start == MINUTES_PER_DAY:
        raise answer.error(HOURS_EXPECTATION)
    days = _parse_days(match["first"], match["last"])
    if days is None:
        raise answer.error(f"unknown day, expected one of {', '.join(DAYS)}")
    return OnCallHours(days, start, end)


def _parse_minute(text):
    hour, minute = (int(part) for part in text.split(":"))
    value = 60 * hour + minute
    return value if minute < 60 and value <= MINUTES_PER_DAY else None


def _parse_days(first, last):
    if first is None:
        return EVERY_DAY
    if first not in DAYS or (last or first) not in DAYS:
        return None
    start = DAYS.index(first)
    count = (DAYS.index(last or first) - start) % len(DAYS) + 1
    return tuple((start + step) % len(DAYS) for step in range(count))
