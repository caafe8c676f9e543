"""Background tasks that outlive unexpected errors."""

import asyncio

__all__ = ["keep_running"]

# Pause before a task is started again, which doubles with each further error.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0


async def keep_running(name, run, log, counters):
    """Run a coroutine function until it returns; start it again after an error.

    A part of the daemon that ended by an error would be missing without a sign of it,
    until the process is restarted.

    Parameters
    ----------
    name : str
        Names the task in the log and in the metrics.
    run : coroutine function
    log
        Has ``event(name, **fields)``.
    counters
        Has ``add(name, amount=1, **labels)``.
    """
    pause_s = MIN_PAUSE_S
    while True:
        try:
            return await run()
        except Exception as exc:
            counters.add("task_errors", task=name)
            log.event("task failed", task=name, error=repr(exc), pause_s=pause_s)
        await asyncio.sleep(pause_s)
        pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)
