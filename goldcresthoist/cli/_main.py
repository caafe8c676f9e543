"""Parsing of the command line and exit statuses."""

import contextlib
import inspect
import io
import os
import re
import sys

import fire
from fire.core import FireExit

from goldcresthoist import __version__
from goldcresthoist.cli._commands import Commands
from goldcresthoist.cli._invocation import Invocation
from goldcresthoist.cli.errors import CommandError, UsageError
from goldcresthoist.config import ConfigError, ConfigurationConflict

PROGRAM = "goldcresthoist"
SUCCESS = 0
FAILURE = 1
BAD_USAGE = 2
INTERRUPTED = 130
HELP_FLAGS = ("--help", "-h")
FLAGS_WITHOUT_VALUE = ("--json",)

# The two error messages of fire that occur in practice. They are replaced by messages
# that use the argument names of --help.
_MISSING_ARGUMENT = re.compile(r"no value for the required arguments?: (.+)")
_UNEXPECTED_ARGUMENT = re.compile(r"Could not consume arg: (.+)")


def main(arguments=None):
    """Run one command.

    Parameters
    ----------
    arguments : list of str, optional
        Arguments without the program name; by default those of the process.

    Returns
    -------
    int
        Exit status: 0 success, 1 failure, 2 invalid settings, questionnaire or usage.
    """
    arguments = sys.argv[1:] if arguments is None else list(arguments)
    try:
        status = _run(arguments)
        sys.stdout.flush()
        return status
    except UsageError as exc:
        return _report_error(f"{exc}; see {PROGRAM} --help", BAD_USAGE)
    except CommandError as exc:
        return _report_error(str(exc), exc.status, exc.details)
    except ConfigurationConflict as exc:
        return _report_error(str(exc), FAILURE)
    except ConfigError as exc:
        return _report_error(str(exc), BAD_USAGE)
    except BrokenPipeError:
        # The reader has closed the pipe. Without this, the flush of stdout at exit
        # would raise the error again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return FAILURE
    except OSError as exc:
        return _report_error(str(exc), FAILURE)
    except KeyboardInterrupt:
        return INTERRUPTED


def _run(arguments):
    if arguments == ["--version"]:
        print(f"{PROGRAM} {__version__}")
        return SUCCESS
    if any(argument in HELP_FLAGS for argument in arguments):
        print(_help_text(arguments))
        return SUCCESS
    invocation = _parse(arguments)
    return invocation.function(*invocation.arguments)


def _parse(arguments):
    component, remaining = _resolve_command(arguments)
    if not callable(component):
        raise UsageError(_command_error_message(component, remaining))
    _check_flags(remaining)
    command = arguments[: len(arguments) - len(remaining)]
    errors = io.StringIO()
    try:
        with contextlib.redirect_stderr(errors):
            result = fire.Fire(
                Commands,
                command=[*command, *remaining],
                name=PROGRAM,
                serialize=lambda _result: None,
            )
    except FireExit as exc:
        raise UsageError(_usage_error_message(command, exc)) from exc
    if not isinstance(result, Invocation):
        raise UsageError(f"{' '.join(command)}: not a command")
    return result


def _check_flags(words):
    """Raise `UsageError` for arguments that fire would misinterpret.

    fire takes flags after ``--`` as its own, and a flag without a value as True.
    """
    if "--" in words:
        raise UsageError("unexpected argument --")
    for word, following in zip(words, [*words[1:], "--"]):
        if not word.startswith("--") or "=" in word or word in FLAGS_WITHOUT_VALUE:
            continue
        if following.startswith("--"):
            raise UsageError(f"{word} needs a value")


def _resolve_command(arguments):
    """Return the command or group that the first words name, and the other words."""
    component = Commands()
    for index, word in enumerate(arguments):
        names = _command_names(component)
        if callable(component) or word not in names:
            return component, arguments[index:]
        component = getattr(component, word)
    return component, []


def _command_names(component):
    members = {**vars(type(component)), **vars(component)}
    return [name for name in members if not name.startswith("_")]


def _command_error_message(component, remaining):
    names = ", ".join(_command_names(component))
    if remaining:
        return f"unknown command {remaining[0]!r}, expected one of {names}"
    return f"missing command, expected one of {names}"


def _usage_error_message(command, exit_):
    element = exit_.trace.elements[-1]
    reason = str(element.ErrorAsStr()) if element.HasError() else "invalid arguments"
    if match := _MISSING_ARGUMENT.search(reason):
        names = ", ".join(name.strip().upper() for name in match[1].split(","))
        reason = f"missing argument {names}"
    elif match := _UNEXPECTED_ARGUMENT.search(reason):
        reason = f"unexpected argument {match[1]}"
    return f"{' '.join(command)}: {' '.join(reason.split())}"


def _help_text(arguments):
    words = [word for word in arguments if word not in HELP_FLAGS]
    component, remaining = _resolve_command(words)
    if remaining and not callable(component):
        raise UsageError(_command_error_message(component, remaining))
    return inspect.getdoc(component)


def _report_error(message, status, details=()):
    lines = [f"{PROGRAM}: {message}", *(f"  {line}" for line in details)]
    print("\n".join(lines), file=sys.stderr)
    return status
