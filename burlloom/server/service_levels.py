"""What a server asks of its service levels; the implementation for one that has none."""

from __future__ import annotations

import zlib
from typing import Protocol

from ..admission.model import Gauges
from ..dispatcher import Dispatcher


class NoteStore(Protocol):
    """Where an incarnation leaves a note to the next one: the record, if one is kept.

    Attributes:
        previous_note: What the last incarnation wrote; empty where it wrote nothing.
    """

    previous_note: str

    def write_note(self, text: str) -> None:
        """Writes a note for the next incarnation."""


class ServiceLevels(Protocol):
    """Which request classes and answers are given up under load.

    `request_class` is a class's place in the settings.
    """

    def attach_dispatcher(self, dispatcher: Dispatcher, is_cold: bool, notes: NoteStore) -> None:
        """Has this dispatcher serve at the present level from now on.

        Args:
            dispatcher: What serves.
            is_cold: Whether the executor has yet to warm up.
            notes: Has the level at which the last incarnation ended.
        """

    def count_request(self, tenant: str) -> bool:
        """Counts a request of a tenant; returns whether the tenant is over its share."""

    def sampling_draw(self, caller: str) -> float:
        """Returns a caller's draw: a level's trial takes those whose draw is under its share."""

    def request_completed(self, request_class: int, sent_at_ns: int) -> None:
        """Counts a request that was answered without error.

        Args:
            request_class: Its class.
            sent_at_ns: When its caller sent it, in Unix ns.
        """

    def call_ended(self, succeeded: bool) -> None:
        """Counts the end of a call."""

    def update(self, measured: Gauges) -> None:
        """Takes a round, which may change the level; once for each round of the decisions.

        Args:
            measured: The executor's gauges.
        """

    def close(self) -> None:
        """Writes the state file a last time."""


class NoServiceLevels:
    """All is served as the decisions alone have it."""

    def attach_dispatcher(self, dispatcher: Dispatcher, is_cold: bool, notes: NoteStore) -> None:
        """Does nothing."""

    def count_request(self, tenant: str) -> bool:
        """Returns False."""
        return False

    def sampling_draw(self, caller: str) -> float:
        """Returns 0: there is no trial."""
        return 0.0

    def request_completed(self, request_class: int, sent_at_ns: int) -> None:
        """Does nothing."""

    def call_ended(self, succeeded: bool) -> None:
        """Does nothing."""

    def update(self, measured: Gauges) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


def sampling_draw(caller: str) -> float:
    """Returns a number from 0 to under 1 that is a caller's own.

    It is the same on every node and in every incarnation: trials take the same callers first.
    """
    return zlib.crc32(caller.encode()) / (1 << 32)
