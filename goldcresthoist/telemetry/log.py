"""Event log with one line per event, as key=value pairs."""

import json
import logging
import re
import sys
import traceback

from loguru import logger

__all__ = ["configure_logging", "log_event"]

# Values that are written without quotes.
_UNQUOTED = re.compile(r"^[A-Za-z0-9_.:/@+%,-]+$")
# Values of keys with these names are replaced by `REDACTED`.
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
# Longer values, such as a path sent by a caller, are truncated to limit the log's size.
MAX_VALUE_CHARACTERS = 300
REDACTED = "(redacted)"


class _MinimumLevel:
    """Lowest loguru severity number that is written.

    `log_event` compares with it before formatting, so that events below the level are
    cheap.
    """

    number = 0


def configure_logging(level="INFO", stream=None):
    """Write events of ``level`` and above to ``stream``, by default stderr.

    Messages that libraries send to the standard `logging` module are included from
    warnings up.
    """
    logger.remove()
    logger.configure(patcher=_add_severity)
    logger.add(
        stream or sys.stderr,
        level=level,
        format="{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z level={extra[severity]} {message}",
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    _MinimumLevel.number = logger.level(level).no
    logging.basicConfig(
        handlers=[_LibraryLogHandler()], level=logging.WARNING, force=True
    )


class _LibraryLogHandler(logging.Handler):
    """Converts log records of libraries to events.

    An exception becomes part of the event, so that its traceback does not spread over
    several lines.
    """

    def emit(self, record):
        """Write one log record as an event."""
        fields = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = record.exc_info[1]
            fields["at"] = _raise_location(record.exc_info[1])
        level = "error" if record.levelno >= logging.ERROR else "warning"
        log_event(level, "library message", **fields)


def _raise_location(error):
    """Return ``file:line`` of the place where an exception was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "unknown"


def log_event(level, event, **fields):
    """Write one event to the log.

    Parameters
    ----------
    level : str
        ``"debug"``, ``"info"``, ``"warning"`` or ``"error"``.
    event : str
        Name of the event; a fixed text that operators can search for.
    **fields
        Details of the event. An exception is written as its class and message.
    """
    name = level.upper()
    if logger.level(name).no < _MinimumLevel.number:
        return
    pairs = [f"event={_quote(event)}"]
    pairs.extend(f"{key}={_format_value(key, value)}" for key, value in fields.items())
    logger.log(name, "{}", " ".join(pairs))


def _add_severity(record):
    record["extra"].setdefault("severity", record["level"].name.lower())


def _format_value(key, value):
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
    return text if _UNQUOTED.match(text) else json.dumps(text)
