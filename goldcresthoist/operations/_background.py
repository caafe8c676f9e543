"""Writes that go on after their caller has stopped waiting."""

import asyncio

__all__ = ["BackgroundWrites"]

MOST_WRITES = 1000
MOST_ANSWER_BYTES = 64 * 1024 * 1024


class BackgroundWrites:
    """Tasks that repeat a write until the store takes it.

    Attributes
    ----------
    answer_bytes : int
        Size of the answers that the tasks hold.
    """

    def __init__(self):
        self.tasks = set()
        self.answer_bytes = 0

    @property
    def is_full(self):
        """Whether no new work should be accepted that may need a write."""
        return len(self.tasks) >= MOST_WRITES

    def spawn(self, coroutine):
        """Run a coroutine as a task that its creator need not wait for."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._end)
        return task

    def hold_answer(self, answer):
        """Return the answer, or None if holding it would exceed the limit."""
        if self.answer_bytes + len(answer) > MOST_ANSWER_BYTES:
            return None
        self.answer_bytes += len(answer)
        return answer

    def drop_answer(self, answer):
        """Give back what `hold_answer` counted."""
        self.answer_bytes -= len(answer or b"")

    async def wait(self, deadline):
        """Wait for all tasks until a deadline; return how many are left."""
        loop = asyncio.get_running_loop()
        while self.tasks and loop.time() < deadline:
            await asyncio.wait(list(self.tasks), timeout=deadline - loop.time())
        return len(self.tasks)

    def _end(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            context = {"message": "background write failed", "task": task}
            context["exception"] = task.exception()
            task.get_loop().call_exception_handler(context)


async def result_before(task, deadline, otherwise):
    """Return the result of a task, or `otherwise` if it is not done in time."""
    remaining = deadline - asyncio.get_running_loop().time()
    done, _ = await asyncio.wait({task}, timeout=max(0, remaining))
    return task.result() if done else otherwise
