"""Background tasks for writes that outlive the request that caused them."""

import asyncio

__all__ = ["BackgroundWrites"]

MAX_BACKGROUND_WRITES = 1000
MAX_PENDING_ANSWER_BYTES = 64 * 1024 * 1024


class BackgroundWrites:
    """Set of tasks that retry a write until the table or the object store accepts it.

    Attributes
    ----------
    pending_answer_bytes : int
        Total size of the operation responses that the tasks keep in memory.
    """

    def __init__(self):
        self.tasks = set()
        self.pending_answer_bytes = 0

    @property
    def is_full(self):
        """Whether the task limit is reached, so that no operation should be started."""
        return len(self.tasks) >= MAX_BACKGROUND_WRITES

    def spawn(self, coroutine):
        """Run a coroutine as a task that continues when its creator stops waiting."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def reserve_answer(self, answer):
        """Count a response against the memory limit and return it.

        If the limit would be exceeded, the response is not counted and None is
        returned.
        """
        if self.pending_answer_bytes + len(answer) > MAX_PENDING_ANSWER_BYTES:
            return None
        self.pending_answer_bytes += len(answer)
        return answer

    def release_answer(self, answer):
        """Release the memory counted by `reserve_answer`, given its return value."""
        self.pending_answer_bytes -= len(answer or b"")

    async def wait(self, deadline):
        """Wait for all tasks until a deadline; return how many are unfinished."""
        loop = asyncio.get_running_loop()
        while self.tasks and loop.time() < deadline:
            await asyncio.wait(list(self.tasks), timeout=deadline - loop.time())
        return len(self.tasks)

    def _on_task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            context = {"message": "background write failed", "task": task}
            context["exception"] = task.exception()
            task.get_loop().call_exception_handler(context)


async def result_or_default(task, deadline, default):
    """Return the result of a task, or `default` if the task misses the deadline."""
    remaining = deadline - asyncio.get_running_loop().time()
    done, _ = await asyncio.wait({task}, timeout=max(0, remaining))
    return task.result() if done else default
