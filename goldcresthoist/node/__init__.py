"""Daemon for the platform, which runs on the same instance as its local upstream."""

import signal

__all__ = ["main"]


def main(prepare=None):
    """Run the daemon until it is stopped; return the exit status.

    ``prepare``, if given, is called without arguments before the daemon starts.
    """
    # The settings may change while the modules are loaded. By default, the signal that
    # says so would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if prepare is not None:
        prepare()
    # The import is deferred so that only processes that run a daemon load its modules.
    from goldcresthoist.node.lifecycle import run

    return run()
