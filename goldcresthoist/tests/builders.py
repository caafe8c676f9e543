"""Helpers of tests and the demo for ports, settings, processes and polling."""

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import yaml

__all__ = [
    "Process",
    "free_ports",
    "settings_document",
    "temporary_folder",
    "wait_until",
    "write_settings",
]

ROOT = Path(__file__).resolve().parents[2]
# Each test process uses its own random address of the loopback network, so that
# processes that run at the same time do not take each other's ports.
LOOPBACK = f"127.{random.randint(1, 254)}.{random.randint(0, 255)}.1"
SHARED_KEY = bytes(range(32)).hex()
# Starting or stopping a process may take long on a busy machine, but not this long.
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
_PORTS = range(12_000, 32_000)
_allocated_ports = set()


def free_ports(count):
    """Return ports that are free for TCP and UDP on loopback.

    They lie below the range from which the system assigns ports to outgoing
    connections, so that none is taken before the process that needs it has started.
    Within a process, a port is returned only once.

    Raises
    ------
    OSError
        If fewer than ``count`` ports are free.
    """
    ports = []
    with ExitStack() as sockets:
        for port in random.sample(_PORTS, len(_PORTS)):
            if len(ports) == count:
                _allocated_ports.update(ports)
                return ports
            if port not in _allocated_ports and _bind(port, sockets):
                ports.append(port)
    raise OSError(f"no {count} free ports on {LOOPBACK}")


def _bind(port, sockets):
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            bound_socket = sockets.enter_context(socket.socket(socket.AF_INET, kind))
            bound_socket.bind((LOOPBACK, port))
    except OSError:
        return False
    return True


def settings_document(values=()):
    """Return settings of a daemon on loopback, with ``values`` in place of defaults."""
    addresses = ("caller", "link", "gossip", "control", "operator", "upstream")
    document = {
        f"{name}_address": f"{LOOPBACK}:{port}"
        for name, port in zip(addresses, free_ports(len(addresses)))
    }
    document |= {
        "instance": "listening-room-a1",
        "failure_domain": "archive-a",
        "region": "archive",
        "service": "listening-room",
        "table_url": f"http://{LOOPBACK}:1",
        "objects_url": f"http://{LOOPBACK}:1",
        "access_key": "example",
        "secret_key": "example",
        "shared_key": SHARED_KEY,
    }
    return document | dict(values)


def write_settings(folder, values=()):
    """Write a settings file and return its path."""
    document = settings_document(values)
    path = Path(folder) / f"{document['instance']}.yaml"
    path.write_text(yaml.safe_dump(document))
    return path


def temporary_folder(test):
    """Return a folder that is removed when the test ends."""
    folder = tempfile.TemporaryDirectory()
    test.addCleanup(folder.cleanup)
    return Path(folder.name)


def wait_until(condition, description, timeout_s=START_TIMEOUT_S):
    """Poll ``condition()`` until it is true and return its value.

    Raises
    ------
    TimeoutError
        If the condition is not true in time. The message contains ``description``.
    """
    deadline = time.monotonic() + timeout_s
    while not (result := condition()):
        if time.monotonic() > deadline:
            raise TimeoutError(f"{description}: not within {timeout_s:g} s")
        time.sleep(POLL_INTERVAL_S)
    return result


class Process:
    """A module of this package, or a built program, that runs as a separate process.

    Parameters
    ----------
    name : str
        Name of the log file, also used in messages.
    folder : Path
        Folder of the log file.
    arguments : list of str
        Arguments after ``python -m``, or after the program.
    program : str, optional
        Path of a program to run instead of ``python -m``.
    """

    def __init__(self, name, folder, arguments, program=None):
        self.name = name
        self.log_path = Path(folder) / f"{name}.log"
        self.log = self.log_path.open("wb")
        self.popen = subprocess.Popen(
            [*([program] if program else [sys.executable, "-m"]), *arguments],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def is_running(self):
        """Return whether the process has not ended."""
        return self.popen.poll() is None

    def terminate(self):
        """Send SIGTERM."""
        if self.is_running():
            self.popen.send_signal(signal.SIGTERM)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for the end and return the exit status, which is negative for a signal.

        The process is killed after the timeout.
        """
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()
        finally:
            self.log.close()

    def log_tail(self, lines=10):
        """Return the last lines of the log."""
        text = self.log_path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])
