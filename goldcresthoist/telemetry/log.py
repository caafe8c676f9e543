"""Log lines: one event a line, written as key=value pairs."""

import json
import logging
import re
import sys
import traceback

from loguru import logger

__all__ = ["configure_logging", "log_event"]

_PLAIN = re.compile(r"^[A-Za-z0-9_.:/@+%,-]+$")
# Values of keys with these names are never written, whatever the caller passes.
SECRET_KEYS = frozenset(
    {
        "access_key",
        "authorization",
        "idempotency_key",
        "mac",
        "password",
        "secret",
        "secret_key",
        "shared_key",
        "token",
    }
)
# Long values, such as a path sent by a caller, must not flood the log.
MAX_VALUE_CHARACTERS = 300
REDACTED = "(redacted)"


class _Threshold:
    """The lowest severity number that is written."""

    number = 0


def configure_logging(level="INFO", stream=None):
    """Write events of ``level`` and above to ``stream``, by default to stderr."""
    logger.remove()
    logger.configure(patcher=_name_severity)
    logger.add(
        stream or sys.stderr,
        level=level,
        format="{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z level={extra[severity]} {message}",
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    _Threshold.number = logger.level(level).no
    logging.basicConfig(handlers=[_Forward()], level=logging.WARNING, force=True)


class _Forward(logging.Handler):
    """Writes what libraries log as events, exceptions included, in one line."""

    def emit(self, record):
        """Write one record."""
        fields = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = record.exc_info[1]
            fields["at"] = _place(record.exc_info[1])
        level = "error" if record.levelno >= logging.ERROR else "warning"
        log_event(level, "library message", **fields)


def _place(error):
    """Return file and line where an exception was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "unknown"


def log_event(level, event, **fields):
    """Write one event.

    Parameters
    ----------
    level : str
        ``"debug"``, ``"info"``, ``"warning"`` or ``"error"``.
    event : str
        What happened, in a few fixed words.
    **fields
        Values that describe the event. An exception is written as its class and text.
    """
    name = level.upper()
    if logger.level(name).no < _Threshold.number:
        return
    pairs = [f"event={_quote(event)}"]
    pairs.extend(f"{key}={_format(key, value)}" for key, value in fields.items())
    logger.log(name, "{}", " ".join(pairs))


def _name_severity(record):
    record["extra"].setdefault("severity", record["level"].name.lower())


def _format(key, value):
    if key.lower() in SECRET_KEYS:
        return REDACTED
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, BaseException):
        return _quote(f"{type(value).__name__}: {value}")
    if isinstance(value, bytes):
        return value.hex()[:MAX_VALUE_CHARACTERS]
    return _quote(str(value))


def _quote(text):
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    return text if _PLAIN.match(text) else json.dumps(text)
