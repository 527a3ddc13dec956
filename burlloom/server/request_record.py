"""What a server asks of its record of keyed requests; the implementation for one without any."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..admission.model import Outcome
from ..dispatcher import Dispatcher


class RequestRecord(Protocol):
    """Where keyed requests are claimed before they run, and their results kept.

    `key_digest` is that of a request, `request_class` its place in the settings, `sent_at_ns` when
    its caller sent it, in Unix ns.

    Attributes:
        keeps_results: Whether results may be read that memory no longer has.
        is_shared: Whether a retry that is not known here may be known to the record, because other
            nodes write to it.
        incarnation: This node's in the store, from 1; -1 where there is none.
        previous_note: What this node's last incarnation wrote for this one.
    """

    keeps_results: bool
    is_shared: bool
    incarnation: int
    previous_note: str

    async def open(self) -> None:
        """Opens the store and reads back what this node knew.

        Raises:
            ConfigurationError: The store can't be used.
        """

    def write_note(self, text: str) -> None:
        """Writes a note for the node's next incarnation."""

    def attach_dispatcher(self, dispatcher: Dispatcher, executor_began_ns: int) -> None:
        """Hands the dispatcher what was read back; ends of runs are reported to it from now on.

        Args:
            dispatcher: Decides what the record's answers mean to a request.
            executor_began_ns: Unix ns of the executor's start: runs from before it are over.
        """

    def accepts_claims(self) -> bool:
        """Returns whether a claim could be written now."""

    def begin_run(
        self, key_digest: bytes, request_id: str, sent_at_ns: int, request_class: int
    ) -> None:
        """Has a request run as soon as it may: a keyed one, once its claim is durable."""

    def run_ended(self, request_id: str, outcome: Outcome, result: bytes) -> None:
        """Writes the end of a run."""

    async def wait_until_durable(
        self, key_digest: bytes, sent_at_ns: int, request_class: int
    ) -> None:
        """Waits until the end of a run is durable, for as long as the answer may wait."""

    async def look_up(
        self, key_digest: bytes, request_id: str, sent_at_ns: int, request_class: int
    ) -> None:
        """Asks the store what became of a request; the dispatcher is notified of what is found."""

    def request_answered(self, request_id: str) -> None:
        """Notes that a request's answer was sent, or that nobody waits for it."""

    async def read_result(self, key_digest: bytes, deadline_ns: int) -> bytes | None:
        """Returns a result from the store, None where none can be given in time.

        Args:
            key_digest: The request's key digest.
            deadline_ns: The request's, in Unix ns.
        """

    async def close(self) -> None:
        """Writes what is left and closes the store."""


class NoRequestRecord:
    """Memory alone knows keyed requests: every run begins at once.

    Attributes:
        keeps_results: False.
        is_shared: False.
        incarnation: -1.
        previous_note: Empty.

    Args:
        start_run: Has the executor run the request of an id.
    """

    keeps_results = is_shared = False
    incarnation = -1
    previous_note = ""

    def __init__(self, start_run: Callable[[str], None]) -> None:
        self.start_run = start_run

    async def open(self) -> None:
        """Does nothing."""

    def write_note(self, text: str) -> None:
        """Does nothing."""

    def attach_dispatcher(self, dispatcher: Dispatcher, executor_began_ns: int) -> None:
        """Does nothing."""

    def accepts_claims(self) -> bool:
        """Returns True: nothing is claimed."""
        return True

    def begin_run(
        self, key_digest: bytes, request_id: str, sent_at_ns: int, request_class: int
    ) -> None:
        """Has the request run at once."""
        self.start_run(request_id)

    def run_ended(self, request_id: str, outcome: Outcome, result: bytes) -> None:
        """Does nothing."""

    async def wait_until_durable(
        self, key_digest: bytes, sent_at_ns: int, request_class: int
    ) -> None:
        """Returns at once."""

    async def look_up(
        self, key_digest: bytes, request_id: str, sent_at_ns: int, request_class: int
    ) -> None:
        """Returns at once."""

    def request_answered(self, request_id: str) -> None:
        """Does nothing."""

    async def read_result(self, key_digest: bytes, deadline_ns: int) -> bytes | None:
        """Returns None."""
        return None

    async def close(self) -> None:
        """Does nothing."""
