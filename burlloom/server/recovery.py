"""Interface to the recovery from a restart, and its disabled implementation."""

from __future__ import annotations

import math
import time
from typing import Protocol

from ..dispatcher import Dispatcher
from ..time_units import NS_PER_MS


class RestartRecovery(Protocol):
    """Raises the server's load gradually after a restart.

    Attributes:
        incarnation: Time of this start in Unix ms; also the server's incarnation in the fleet.
        known_members: Addresses of the fleet members that the previous incarnation knew.
    """

    incarnation: int
    known_members: tuple[str, ...]

    def attach_dispatcher(self, dispatcher: Dispatcher, record_incarnation: int) -> None:
        """Begins the recovery, before the server takes its first request.

        Args:
            dispatcher: The dispatcher whose calls and retries are limited during the recovery.
            record_incarnation: Number of this incarnation in the request record's store; -1 if
                there is no record.
        """

    def previous_incarnation_seen(self, incarnation: int) -> None:
        """Handles the incarnation of this server that the fleet knew before this one."""

    def call_cap(self) -> float:
        """Returns the concurrent calls that the recovery allows, besides the fleet's limit."""

    def should_reject_retry(self, is_retry: bool) -> bool:
        """Counts an attempt; returns whether it is a retry over the recovery's retry budget."""

    def is_fenced(self) -> bool:
        """Returns whether keyed retries that are unknown here must be neither run nor rejected.

        Such a request may have run in an incarnation whose key digests are lost.
        """

    def call_ended(self, succeeded: bool) -> None:
        """Counts the end of a call."""

    def update(self) -> None:
        """Advances the recovery; called in each round of the main loop."""

    def is_complete(self) -> bool:
        """Returns whether the recovery is over."""

    def close(self) -> None:
        """Writes the final state file for the next incarnation."""


class NoRestartRecovery:
    """Recovery is off: nothing is limited after a start.

    Attributes:
        incarnation: Time of this start in Unix ms.
        known_members: Empty.
    """

    known_members: tuple[str, ...] = ()

    def __init__(self) -> None:
        """Sets the incarnation to the current time."""
        self.incarnation = time.time_ns() // NS_PER_MS

    def attach_dispatcher(self, dispatcher: Dispatcher, record_incarnation: int) -> None:
        """Does nothing."""

    def previous_incarnation_seen(self, incarnation: int) -> None:
        """Does nothing."""

    def call_cap(self) -> float:
        """Returns infinity: calls are not limited."""
        return math.inf

    def should_reject_retry(self, is_retry: bool) -> bool:
        """Returns False."""
        return False

    def is_fenced(self) -> bool:
        """Returns False."""
        return False

    def call_ended(self, succeeded: bool) -> None:
        """Does nothing."""

    def update(self) -> None:
        """Does nothing."""

    def is_complete(self) -> bool:
        """Returns True."""
        return True

    def close(self) -> None:
        """Does nothing."""
