"""Fault injection for a `Fleet`, and calls that tolerate the faults."""

import http.client
import json
import signal
import threading

from goldcresthoist.tests.builders import LOOPBACK, wait_until
from goldcresthoist.tests.fleet import call

__all__ = [
    "LoadGenerator",
    "freeze",
    "kill",
    "outcome_of",
    "replace_daemon",
    "restart_daemon",
    "resume",
    "set_faults",
    "table_calls",
    "try_call",
]


def set_faults(fleet, store, **faults):
    """Set faults of the stand-in ``"table"`` or ``"objects"``.

    Raises
    ------
    ValueError
        If the stand-in does not know one of the faults.
    """
    port = {"table": fleet.table_port, "objects": fleet.objects_port}[store]
    body = json.dumps(faults)
    answer = call(f"{LOOPBACK}:{port}", "POST", "/-/faults", body)
    if answer.status != 200:
        raise ValueError(f"faults {faults} of {store}: {answer.body!r}")


def table_calls(fleet):
    """Return the number of calls that the table stand-in has received."""
    answer = call(f"{LOOPBACK}:{fleet.table_port}", "GET", "/-/calls")
    return answer.document()["total"]


def kill(process):
    """End a process with SIGKILL."""
    process.popen.kill()
    process.popen.wait()


def freeze(process):
    """Suspend a process with SIGSTOP, which it cannot catch."""
    process.popen.send_signal(signal.SIGSTOP)


def resume(process):
    """Resume a suspended process with SIGCONT."""
    process.popen.send_signal(signal.SIGCONT)


def restart_daemon(target, team):
    """Start the daemon of a target again and wait until it is ready for calls."""
    target.start_daemon()
    wait_until(lambda: target.health() == 200, f"{target.name} is ready")
    wait_until(lambda: target.version(team) > 0, f"{target.name} has a configuration")


def replace_daemon(target, team):
    """Stop a daemon with SIGTERM and start its successor; return the exit status."""
    target.daemon.terminate()
    status = target.daemon.wait()
    restart_daemon(target, team)
    return status


def try_call(address, method, target, body=None, headers=()):
    """Return the `Response`, or None if no complete response was received."""
    try:
        return call(address, method, target, body, headers)
    except (OSError, http.client.HTTPException):
        return None


def outcome_of(answer):
    """Return ``(outcome, scope)`` of a refusal."""
    document = answer.document()
    return document["outcome"], document["scope"]


class LoadGenerator:
    """Threads that repeat a call until the end of the ``with`` block.

    Parameters
    ----------
    threads : int
        Number of threads.
    send : callable
        ``send(thread, number)`` sends one call and returns None, or a description of
        the problem with its response. ``number`` counts the calls of the thread from 0.

    Attributes
    ----------
    sent : int
        Number of calls that have ended, in all threads.
    problems : list of str
        Descriptions of problems, and of exceptions that ``send`` raised.
    """

    def __init__(self, threads, send):
        self.send = send
        self.stopped = threading.Event()
        self.sent = 0
        self.problems = []
        self.threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(threads)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _run(self, thread):
        number = 0
        while not self.stopped.is_set():
            try:
                problem = self.send(thread, number)
            except Exception as exc:
                problem = f"{type(exc).__name__}: {exc}"
            self.sent += 1
            number += 1
            if problem:
                self.problems.append(problem)
