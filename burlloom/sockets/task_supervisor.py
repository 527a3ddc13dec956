"""Owns the server's tasks, so that no error of a task goes unnoticed."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, TypeVar

log = logging.getLogger(__name__)

Result = TypeVar("Result")


class TaskSupervisor:
    """Keeps a reference to each running task and logs the error of each task that fails.

    The event loop itself has only weak references to its tasks.

    Attributes:
        running: The tasks that are not done.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Result], name: str) -> asyncio.Task[Result]:
        """Starts a task; `name` identifies it in the log."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.running.add(task)
        task.add_done_callback(self.on_done)
        return task

    def on_done(self, task: asyncio.Task[Any]) -> None:
        """Removes a finished task, and logs its error if it failed."""
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("event=task_failed task=%s", task.get_name(), exc_info=error)
