"""Restart of background tasks after unexpected errors."""

import asyncio

from loguru import logger

__all__ = ["keep_running"]

RESTART_S = 1.0


async def keep_running(coroutine_function, *args):
    """Run an endless coroutine function, and restart it after an unexpected error.

    Daemons run without an operator on call, so an error in one task must not end it
    permanently.
    """
    while True:
        try:
            await coroutine_function(*args)
        except Exception:
            logger.exception(
                "event=task_failed task={}", coroutine_function.__qualname__
            )
            await asyncio.sleep(RESTART_S)
