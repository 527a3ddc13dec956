"""What a server asks of its recovery from a restart; the implementation for one without any."""

from __future__ import annotations

import math
import time
from typing import Protocol

from ..dispatcher import Dispatcher
from ..sockets import NS_PER_MS


class RestartRecovery(Protocol):
    """How service comes back after a restart.

    Attributes:
        incarnation: Unix ms of this start; the fleet knows the server by the same.
        known_members: Addresses of members that the last incarnation knew.
    """

    incarnation: int
    known_members: tuple[str, ...]

    def attach_dispatcher(self, dispatcher: Dispatcher, record_incarnation: int) -> None:
        """Begins the recovery, with the first request that may come.

        Args:
            dispatcher: Whose calls and retries are bound meanwhile.
            record_incarnation: The server's in the store of record; -1 where there is none.
        """

    def previous_incarnation_seen(self, incarnation: int) -> None:
        """Notes which incarnation of this server the fleet knew before this one."""

    def call_cap(self) -> float:
        """Returns how many calls are allowed so far, besides the fleet's share."""

    def holds_back_retry(self, is_retry: bool) -> bool:
        """Counts an attempt; returns whether it is a retry past what is taken for now."""

    def is_fenced(self) -> bool:
        """Returns whether keyed retries that are not known here must be neither run nor rejected.

        They may have run in an incarnation whose digests are lost.
        """

    def call_ended(self, succeeded: bool) -> None:
        """Counts the end of a call."""

    def update(self) -> None:
        """Takes a round; once for each round of the decisions."""

    def is_complete(self) -> bool:
        """Returns whether the recovery is over."""

    def close(self) -> None:
        """Leaves the state file for the next start."""


class NoRestartRecovery:
    """A start is like any other moment.

    Attributes:
        incarnation: Unix ms of this start.
        known_members: Empty.
    """

    known_members: tuple[str, ...] = ()

    def __init__(self) -> None:
        """Takes the present time for the incarnation."""
        self.incarnation = time.time_ns() // NS_PER_MS

    def attach_dispatcher(self, dispatcher: Dispatcher, record_incarnation: int) -> None:
        """Does nothing."""

    def previous_incarnation_seen(self, incarnation: int) -> None:
        """Does nothing."""

    def call_cap(self) -> float:
        """Returns infinity: any number of calls is allowed."""
        return math.inf

    def holds_back_retry(self, is_retry: bool) -> bool:
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
