"""Tracks the gauge queries of a connection to the executor that are not answered yet."""

import asyncio
from typing import NamedTuple

Gauges = list[float]


class GaugePoll(NamedTuple):
    """A gauge query without an answer.

    Attributes:
        gauges: Future of the gauges; None if the connection is lost first.
        command_count: How many commands were given before the query; its answer confirms them.
    """

    gauges: "asyncio.Future[Gauges | None]"
    command_count: int


class GaugePolls:
    """The unanswered queries by tag. Tags are never used again, also on other connections."""

    def __init__(self) -> None:
        self.pending: dict[str, GaugePoll] = {}
        self.last_tag = 0

    def add(self, command_count: int) -> tuple[str, "asyncio.Future[Gauges | None]"]:
        """Adds a query; returns its tag and the future of its answer."""
        self.last_tag += 1
        tag = f"m{self.last_tag}"
        gauges: asyncio.Future[Gauges | None] = asyncio.get_running_loop().create_future()
        self.pending[tag] = GaugePoll(gauges, command_count)
        return tag, gauges

    def take(self, tag: str) -> GaugePoll | None:
        """Removes the query with this tag; returns None if there is none."""
        return self.pending.pop(tag, None)

    def cancel_all(self) -> None:
        """Completes all queries without gauges."""
        for poll in self.pending.values():
            if not poll.gauges.done():
                poll.gauges.set_result(None)
        self.pending.clear()
