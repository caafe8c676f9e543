"""Commands that run a daemon or show its state."""

import importlib
import sys

from goldcresthoist._io_uring import refuse_io_uring
from goldcresthoist.cli._client import OperatorClient
from goldcresthoist.cli.errors import UsageError
from goldcresthoist.config import Settings
from goldcresthoist.telemetry import log_event

BOOLEANS = {"True": True, "False": False}


def run_node():
    """Run the daemon on the users' platform and return its exit status."""
    from goldcresthoist.node import main

    return main()


def run_daemon(path):
    """Run the daemon until it has drained and return its exit status."""
    settings = Settings.from_file(path)
    if not refuse_io_uring():
        log_event("warning", "io_uring could not be refused")
    # Other commands do not need the daemon's modules and start faster without them.
    daemon = importlib.import_module("goldcresthoist.daemon")
    return daemon.run(settings) or 0


def show_status(settings, address, json):
    """Print the status of a daemon."""
    if json not in BOOLEANS:
        raise UsageError(f"--json takes no value, got {json!r}")
    client = OperatorClient.from_flags(settings, address)
    target = "/status" if BOOLEANS[json] else "/status?format=text"
    sys.stdout.write(client.get(target).decode())
    return 0
