"""The sidecar daemon that runs next to each upstream."""

__all__ = ["run"]


def run(settings):
    """Run a daemon until it is stopped by a signal and has drained.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    int
        Exit status: 0 after a drain, 1 when an address cannot be bound.
    """
    # uvloop must be imported after io_uring was disabled, and only in the process that
    # runs a daemon.
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
