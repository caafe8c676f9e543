"""Daemon for the platform, which runs on the same instance as its local upstream."""

__all__ = ["main"]


def main():
    """Run the daemon until it is stopped; return the exit status."""
    # The import is deferred so that only processes that run a daemon load its modules.
    from goldcresthoist.node.lifecycle import run

    return run()
