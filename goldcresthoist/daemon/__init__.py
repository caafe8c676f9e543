"""The daemon beside each upstream."""

__all__ = ["run"]


def run(settings):
    """Run a daemon until it has drained.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    int
        Exit status: 0 after a drain, 1 when an address cannot be used.
    """
    # The event loop's library must be loaded after io_uring was switched off, and
    # only by the process that runs a daemon.
    import uvloop

    from goldcresthoist.daemon.lifecycle import serve
    from goldcresthoist.telemetry import configure_logging, log_event

    configure_logging(settings.log_level)
    try:
        uvloop.run(serve(settings))
    except OSError as exc:
        log_event("error", "daemon cannot start", error=exc)
        return 1
    return 0
