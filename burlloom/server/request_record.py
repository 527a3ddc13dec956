"""Interface to the record of keyed requests, and its disabled implementation."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..admission.model import Outcome
from ..dispatcher import Dispatcher


class RequestRecord(Protocol):
    """Stores claims of keyed requests before they run, and their results.

    In the methods, `key_digest` is the key digest of a request, `request_class` the index of its
    class in the settings, and `sent_at_ns` when its caller sent it, in Unix ns.

    Attributes:
        keeps_results: Whether `read_result` may return results that are no longer in memory.
        is_shared: Whether other nodes write to the store too, so that it may know a retry that is
            unknown here.
        incarnation: Number of this incarnation in the store, from 1; -1 if there is no store.
        previous_note: The note that the node's previous incarnation wrote; empty if none.
    """

    keeps_results: bool
    is_shared: bool
    incarnation: int
    previous_note: str

    async def open(self) -> None:
        """Opens the store and reads the keys that this node recorded before.

        Raises:
            ConfigurationError: The store can't be used.
        """

    def write_note(self, text: str) -> None:
        """Stores a note for the node's next incarnation."""

    def attach_dispatcher(self, dispatcher: Dispatcher, executor_started_ns: int) -> None:
        """Restores the recorded keys in the dispatcher and reports outcomes to it from now on.

        Args:
            dispatcher: Receives the recorded keys and the outcomes of runs.
            executor_started_ns: Start of the executor in Unix ns; runs that began earlier have
                ended.
        """

    def may_claim(self) -> bool:
        """Returns whether a claim can be written now."""

    def begin_run(
        self, key_digest: bytes, request_id: str, sent_at_ns: int, request_class: int
    ) -> None:
        """Runs a request as soon as it may run: a keyed one once its claim is durable."""

    def run_ended(self, request_id: str, outcome: Outcome, result: bytes) -> None:
        """Records the end of a run."""

    async def wait_until_durable(
        self, key_digest: bytes, sent_at_ns: int, request_class: int
    ) -> None:
        """Waits until the end of a keyed run is durable, but no longer than the answer may wait."""

    async def look_up(
        self, key_digest: bytes, request_id: str, sent_at_ns: int, request_class: int
    ) -> None:
        """Looks up the outcome of a request in the store and reports it to the dispatcher."""

    def request_answered(self, request_id: str) -> None:
        """Handles that a request was answered, or that its caller no longer waits for it."""

    async def read_result(self, key_digest: bytes, deadline_ns: int) -> bytes | None:
        """Returns a result from the store; None if there is none, or it can't be read in time.

        Args:
            key_digest: The request's key digest.
            deadline_ns: The request's deadline in Unix ns.
        """

    async def close(self) -> None:
        """Writes pending changes and closes the store."""


class NoRequestRecord:
    """There is no record: keyed requests are known in memory only, and every run begins at once.

    Attributes:
        keeps_results: False.
        is_shared: False.
        incarnation: -1.
        previous_note: Empty.

    Args:
        start_run: Has the executor run the request with this id.
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

    def attach_dispatcher(self, dispatcher: Dispatcher, executor_started_ns: int) -> None:
        """Does nothing."""

    def may_claim(self) -> bool:
        """Returns True: no claim is needed."""
        return True

    def begin_run(
        self, key_digest: bytes, request_id: str, sent_at_ns: int, request_class: int
    ) -> None:
        """Runs the request at once."""
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
