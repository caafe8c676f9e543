"""The daemon on the users' platform, beside one upstream."""

__all__ = ["main"]


def main():
    """Run the daemon until it is stopped; return the exit status."""
    # The event loop's library is loaded only by the process that runs a daemon.
    from goldcresthoist.node.lifecycle import run

    return run()
