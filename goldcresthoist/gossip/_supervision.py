"""Restart of tasks that must not end."""

import asyncio

from loguru import logger

__all__ = ["keep_running"]

RESTART_S = 1.0


async def keep_running(coroutine_function, *args):
    """Run an endless activity, and run it again after an unexpected error.

    Nobody is on call at night: a fault in one activity must not end it for good.
    """
    while True:
        try:
            await coroutine_function(*args)
        except Exception:
            logger.exception(
                "event=task_failed task={}", coroutine_function.__qualname__
            )
            await asyncio.sleep(RESTART_S)
