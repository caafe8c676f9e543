"""Validation of the single answers in a questionnaire."""

import math
import re
import reprlib

from goldcresthoist.config.errors import InvalidAnswer

_REPR = reprlib.Repr()
_REPR.maxstring = 80
_REPR.maxother = 80

MAX_KEY_CHARACTERS = 80
NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9.-]{0,62}$")
NAME_DESCRIPTION = "a name of 1 to 63 lower-case letters, digits, '.' and '-'"


class Answer:
    """One answer of a questionnaire.

    The methods that return the value, or its parts, raise `InvalidAnswer` if it is
    not as expected. Numbers other than counts are returned as float.

    Parameters
    ----------
    source : str
        Name of the file, for error messages.
    path : str
        Path in the document, such as ``services[0].name``; empty for the document.
    value : object
        The value, as loaded from YAML.
    """

    def __init__(self, source, path, value):
        self.source = source
        self.path = path
        self.value = value

    def error(self, expectation):
        """Return an `InvalidAnswer` with the path, the value and what was expected."""
        answer = self.path or "(document)"
        # Nested YAML aliases can expand to a huge value, so its text is truncated.
        value = _REPR.repr(self.value)
        return InvalidAnswer(f"{self.source}: answer {answer} = {value}: {expectation}")

    def fields(self, required, optional=()):
        """Return the `Answer` of each key of a mapping, keyed by name."""
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
        """Return the `Answer` of each item of a list with 1 to ``maximum`` items."""
        if not isinstance(self.value, list) or not 0 < len(self.value) <= maximum:
            raise self.error(f"expected a list of 1 to {maximum} items")
        return [
            Answer(self.source, f"{self.path}[{index}]", value)
            for index, value in enumerate(self.value)
        ]

    def name(self):
        """Return the value if it is a valid name."""
        return self.text(NAME_PATTERN, f"expected {NAME_DESCRIPTION}")

    def text(self, pattern, expectation):
        """Return the value if it is a string that matches a pattern."""
        if not isinstance(self.value, str) or not pattern.match(self.value):
            raise self.error(expectation)
        return self.value

    def choice(self, options):
        """Return the value if it is one of some strings."""
        if not isinstance(self.value, str) or self.value not in options:
            raise self.error(f"expected one of {', '.join(options)}")
        return self.value

    def count(self, minimum, maximum):
        """Return the value if it is an integer in an inclusive range."""
        if type(self.value) is not int or not minimum <= self.value <= maximum:
            raise self.error(f"expected a whole number from {minimum} to {maximum}")
        return self.value

    def milliseconds(self, maximum):
        """Return the value if it is a time in milliseconds above 0."""
        if not _is_number(self.value) or not 0 < self.value <= maximum:
            raise self.error(
                f"expected milliseconds as a plain number above 0, at most {maximum}"
            )
        return float(self.value)

    def positive(self, maximum):
        """Return the value if it is a number above 0."""
        if not _is_number(self.value) or not 0 < self.value <= maximum:
            raise self.error(f"expected a number above 0, at most {maximum}")
        return float(self.value)

    def share(self, maximum):
        """Return the value if it is a fraction from 0 to ``maximum`` inclusive."""
        if not _is_number(self.value) or not 0 <= self.value <= maximum:
            raise self.error(f"expected a share from 0 to {maximum}, such as 0.05")
        return float(self.value)

    def _child(self, key, value):
        # An unknown key can contain line breaks or be very long, but the error message
        # must stay on one line and short.
        name = key if isinstance(key, str) and key.isidentifier() else _REPR.repr(key)
        name = name[:MAX_KEY_CHARACTERS]
        path = f"{self.path}.{name}" if self.path else name
        return Answer(self.source, path, value)


def check_unique(answers, description):
    """Raise `InvalidAnswer` if two answers have the same value.

    Parameters
    ----------
    answers : iterable of Answer
    description : str
        Kind of the values, such as ``service name``, for the error message.
    """
    seen = {}
    for answer in answers:
        if answer.value in seen:
            raise answer.error(f"{description} is already used by {seen[answer.value]}")
        seen[answer.value] = answer.path


def _is_number(value):
    return type(value) in (int, float) and math.isfinite(value)
