"""Interface to the service levels, and its disabled implementation."""

from __future__ import annotations

import zlib
from typing import Protocol

from ..admission.model import Gauges
from ..dispatcher import Dispatcher


class NoteStore(Protocol):
    """Passes a note from one incarnation to the next one; implemented by the request record.

    Attributes:
        previous_note: The note of the previous incarnation; empty if there is none.
    """

    previous_note: str

    def write_note(self, text: str) -> None:
        """Stores a note for the next incarnation."""


class ServiceLevels(Protocol):
    """Selects which request classes and answers are degraded under load.

    In the methods, `request_class` is the index of a class in the settings.
    """

    def attach_dispatcher(self, dispatcher: Dispatcher, is_cold: bool, notes: NoteStore) -> None:
        """Applies the present level to this dispatcher from now on.

        Args:
            dispatcher: The dispatcher that serves at the level.
            is_cold: Whether the executor has yet to warm up.
            notes: Holds the level at which the previous incarnation ended.
        """

    def count_request(self, tenant: str) -> bool:
        """Counts a request of a tenant; returns whether the tenant is over its share."""

    def sampling_draw(self, caller: str) -> float:
        """Returns a caller's fixed draw, from 0 to below 1.

        A trial covers the callers whose draw is under the trial's share.
        """

    def request_completed(self, request_class: int, sent_at_ns: int) -> None:
        """Counts a request that was answered without error.

        Args:
            request_class: Index of the request's class.
            sent_at_ns: When the caller sent the request, in Unix ns.
        """

    def call_ended(self, succeeded: bool) -> None:
        """Counts the end of a call."""

    def update(self, gauges: Gauges) -> None:
        """Evaluates the load, which may change the level; called in each round of the main loop.

        Args:
            gauges: The executor's gauges.
        """

    def close(self) -> None:
        """Writes the final state file."""


class NoServiceLevels:
    """Service levels are off: service is never degraded by a level."""

    def attach_dispatcher(self, dispatcher: Dispatcher, is_cold: bool, notes: NoteStore) -> None:
        """Does nothing."""

    def count_request(self, tenant: str) -> bool:
        """Returns False."""
        return False

    def sampling_draw(self, caller: str) -> float:
        """Returns 0: there are no trials."""
        return 0.0

    def request_completed(self, request_class: int, sent_at_ns: int) -> None:
        """Does nothing."""

    def call_ended(self, succeeded: bool) -> None:
        """Does nothing."""

    def update(self, gauges: Gauges) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


def sampling_draw(caller: str) -> float:
    """Returns a number from 0 to below 1 that depends on the caller's name alone.

    All nodes and incarnations compute the same number, so that trials cover the same callers first.
    """
    return zlib.crc32(caller.encode()) / (1 << 32)
