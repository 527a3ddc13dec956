"""Owns the server's tasks, so that none fails unseen."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, TypeVar

log = logging.getLogger(__name__)

Result = TypeVar("Result")


class TaskSupervisor:
    """Keeps a reference to each running task and logs the error of each that fails.

    The event loop itself holds its tasks only weakly.

    Attributes:
        running: Tasks that are not done.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Result], name: str) -> asyncio.Task[Result]:
        """Starts a task; `name` is what the log calls it."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.running.add(task)
        task.add_done_callback(self.on_done)
        return task

    def on_done(self, task: asyncio.Task[Any]) -> None:
        """Forgets a task that is done, and logs its error."""
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("event=task_failed task=%s", task.get_name(), exc_info=error)
