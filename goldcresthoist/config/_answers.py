"""Checks of single answers of a questionnaire."""

import math
import re
import reprlib

from goldcresthoist.config.errors import InvalidAnswer

_REPR = reprlib.Repr()
_REPR.maxstring = 80
_REPR.maxother = 80

MAX_KEY_CHARACTERS = 80
NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9.-]{0,62}$")
NAME_RULE = "a name of 1 to 63 lower-case letters, digits, '.' and '-'"


class Answer:
    """One answer: its source file, its path in the document and its value."""

    def __init__(self, source, path, value):
        self.source = source
        self.path = path
        self.value = value

    def error(self, allowed):
        """Return the error that names this answer, its value and what is allowed."""
        answer = self.path or "(document)"
        # An alias in YAML may make the value huge, so its text is cut.
        value = _REPR.repr(self.value)
        return InvalidAnswer(f"{self.source}: answer {answer} = {value}: {allowed}")

    def fields(self, required, optional=()):
        """Return the answers of a mapping by key."""
        if not isinstance(self.value, dict):
            raise self.error(f"expected a mapping with {', '.join(required)}")
        known = (*required, *optional)
        for key, value in self.value.items():
            if key not in known:
                raise self._child(key, value).error(
                    f"unknown key, expected one of {', '.join(known)}"
                )
        for key in required:
            if key not in self.value:
                raise self._child(key, None).error("missing, an answer is required")
        return {key: self._child(key, value) for key, value in self.value.items()}

    def items(self, maximum):
        """Return the answers of a list with 1 to ``maximum`` items."""
        if not isinstance(self.value, list) or not 0 < len(self.value) <= maximum:
            raise self.error(f"expected a list of 1 to {maximum} items")
        return [
            Answer(self.source, f"{self.path}[{index}]", value)
            for index, value in enumerate(self.value)
        ]

    def name(self):
        """Return a name."""
        return self.text(NAME_PATTERN, f"expected {NAME_RULE}")

    def text(self, pattern, allowed):
        """Return a text that matches the pattern."""
        if not isinstance(self.value, str) or not pattern.match(self.value):
            raise self.error(allowed)
        return self.value

    def choice(self, options):
        """Return one of the options."""
        if not isinstance(self.value, str) or self.value not in options:
            raise self.error(f"expected one of {', '.join(options)}")
        return self.value

    def count(self, minimum, maximum):
        """Return a whole number in a range that includes both ends."""
        if type(self.value) is not int or not minimum <= self.value <= maximum:
            raise self.error(f"expected a whole number from {minimum} to {maximum}")
        return self.value

    def milliseconds(self, maximum):
        """Return a time in milliseconds, above 0."""
        if not _is_number(self.value) or not 0 < self.value <= maximum:
            raise self.error(
                f"expected milliseconds as a plain number above 0, at most {maximum}"
            )
        return float(self.value)

    def positive(self, maximum):
        """Return a number above 0."""
        if not _is_number(self.value) or not 0 < self.value <= maximum:
            raise self.error(f"expected a number above 0, at most {maximum}")
        return float(self.value)

    def share(self, maximum):
        """Return a share between 0 and ``maximum``, both allowed."""
        if not _is_number(self.value) or not 0 <= self.value <= maximum:
            raise self.error(f"expected a share from 0 to {maximum}, such as 0.05")
        return float(self.value)

    def _child(self, key, value):
        # A key that nobody expects may hold line breaks or be very long.
        name = key if isinstance(key, str) and key.isidentifier() else _REPR.repr(key)
        name = name[:MAX_KEY_CHARACTERS]
        path = f"{self.path}.{name}" if self.path else name
        return Answer(self.source, path, value)


def check_unique(answers, what):
    """Raise when two name answers have the same value."""
    seen = {}
    for answer in answers:
        if answer.value in seen:
            raise answer.error(f"{what} is already used by {seen[answer.value]}")
        seen[answer.value] = answer.path


def _is_number(value):
    return type(value) in (int, float) and math.isfinite(value)
