"""A server's part in drains and releases; the implementation for one that takes none."""

from __future__ import annotations

from typing import Protocol

from ..dispatcher import DirectiveKind


class RolloutParticipation(Protocol):
    """What the server reports to the fleet's rollouts, and when it is drained by one."""

    def open(self) -> None:
        """Begins to report; the server listens by now."""

    def request_answered(self, kind: DirectiveKind, request_class: int, sent_at_ns: int) -> None:
        """Counts an answer.

        Args:
            kind: What was answered.
            request_class: The request's class, its place in the settings.
            sent_at_ns: When its caller sent it, in Unix ns.
        """

    async def close(self) -> None:
        """Reports that the server leaves."""


class NoRolloutParticipation:
    """The platform alone says when the server starts and stops."""

    def open(self) -> None:
        """Does nothing."""

    def request_answered(self, kind: DirectiveKind, request_class: int, sent_at_ns: int) -> None:
        """Does nothing."""

    async def close(self) -> None:
        """Does nothing."""


class RolloutHost(Protocol):
    """The server, as a rollout sees it."""

    @property
    def is_shutting_down(self) -> bool:
        """Whether it was told to leave."""

    def is_healthy_and_recovered(self) -> bool:
        """Returns whether balancers should send requests here and its recovery is complete."""

    def is_ready(self) -> bool:
        """Returns whether its executor has connected."""

    def begin_shutdown(self) -> None:
        """Has it stop taking requests and leave."""
