"""The tasks of a server; none may fail unseen."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, TypeVar

log = logging.getLogger(__name__)

Result = TypeVar("Result")


class TaskSupervisor:
    def __init__(self) -> None:
        # The loop itself holds its tasks only weakly.
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Result], name: str) -> asyncio.Task[Result]:
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.running.add(task)
        task.add_done_callback(self.on_done)
        return task

    def on_done(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("event=task_failed task=%s", task.get_name(), exc_info=error)
