"""Interface to the participation in rollouts, and its disabled implementation."""

from __future__ import annotations

from typing import Protocol

from ..dispatcher import DirectiveKind


class RolloutParticipation(Protocol):
    """Reports the server to the fleet's rollouts, and drains it when a rollout requires it."""

    def open(self) -> None:
        """Starts to report; called once the server listens."""

    def request_answered(self, kind: DirectiveKind, request_class: int, sent_at_ns: int) -> None:
        """Counts an answer.

        Args:
            kind: The kind of the answer.
            request_class: Index of the request's class in the settings.
            sent_at_ns: When the caller sent the request, in Unix ns.
        """

    async def close(self) -> None:
        """Reports that the server leaves."""


class NoRolloutParticipation:
    """The server takes part in no rollouts: the platform alone starts and stops it."""

    def open(self) -> None:
        """Does nothing."""

    def request_answered(self, kind: DirectiveKind, request_class: int, sent_at_ns: int) -> None:
        """Does nothing."""

    async def close(self) -> None:
        """Does nothing."""


class RolloutHost(Protocol):
    """The part of the server that a rollout reads and drains."""

    @property
    def is_shutting_down(self) -> bool:
        """Whether the server is shutting down."""

    def is_healthy_and_recovered(self) -> bool:
        """Returns whether callers should send requests here and the recovery is complete."""

    def is_ready(self) -> bool:
        """Returns whether the executor has connected."""

    def begin_shutdown(self) -> None:
        """Begins the shutdown: the server drains its requests and exits."""
