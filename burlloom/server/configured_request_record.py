"""Between the server and its store of record: keyed requests run once their claim is durable.

Imported only where a record is kept.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from itertools import chain

from ..admission.model import Idempotency, Outcome, RequestClass
from ..dispatcher import Dispatcher, PackedKeyDigests, RunEnded
from ..record import failpoints
from ..record.coordinator import RecordCoordinator
from ..record.store import StoreRefusedError
from ..sockets import NS_PER_MS
from .configuration import ConfigurationError

log = logging.getLogger(__name__)

# That an answer keeps until its deadline, whatever it waits for.
ANSWER_MARGIN_NS = 100 * NS_PER_MS


class ConfiguredRequestRecord:
    """The record that an operator's file configures; also what its coordinator reports to.

    Attributes:
        coordinator: Writes to the store and knows what is on its way there; set before `open`.
        keeps_results: True.
        is_shared: Whether other nodes write to the store too.
        incarnation: This node's in the store; -1 until it is open.
        previous_note: What this node's last incarnation wrote for this one.
        dispatcher: What is notified of runs; None until there is one.

    Args:
        request_classes: Those of the settings.
        max_wait_share: Share of a class's latency objective that an answer waits, at
            most, for its end to be durable.
        clock: Unix ns.
        start_run: Has the executor run the request of an id.
        is_shared: Whether other nodes write to the store too.
    """

    keeps_results = True
    coordinator: RecordCoordinator

    def __init__(
        self,
        request_classes: tuple[RequestClass, ...],
        max_wait_share: float,
        clock: Callable[[], int],
        start_run: Callable[[str], None],
        is_shared: bool,
    ) -> None:
        self.request_classes = request_classes
        self.max_wait_share = max_wait_share
        self.clock = clock
        self._start_run = start_run
        self.is_shared = is_shared
        self.dispatcher: Dispatcher | None = None
        self.previous_note, self.incarnation = "", -1
        self._read_back = PackedKeyDigests()

    async def open(self) -> None:
        """Opens the store and reads back what this node knew.

        Raises:
            ConfigurationError: The store can't be used.
        """
        began = self.clock()
        try:
            opened = await self.coordinator.open()
        except StoreRefusedError as error:
            raise ConfigurationError(str(error)) from error
        self.previous_note, self.incarnation = (
            self.coordinator.previous_notice,
            self.coordinator.incarnation,
        )
        self._read_back = PackedKeyDigests(
            chain.from_iterable(self.coordinator.read_recorded_keys())
        )
        await self.coordinator.start()
        log.info(
            "event=record_opened node=%s incarnation=%d clock_shift_ms=%d migrated=%s keys=%d"
            " unfinished_runs=%d elapsed_ms=%d",
            opened.node,
            opened.incarnation,
            opened.clock_shift_ns // NS_PER_MS,
            ",".join(map(str, opened.migrated)) or "-",
            len(self._read_back),
            len(self.coordinator.started_rows),
            (self.clock() - began) // NS_PER_MS,
        )

    def write_note(self, text: str) -> None:
        """Writes a note for the node's next incarnation."""
        self.coordinator.store.save_notice(text)

    def attach_dispatcher(self, dispatcher: Dispatcher, executor_began_ns: int) -> None:
        """Hands the dispatcher what was read back; ends of runs are reported to it from now on.

        Args:
            dispatcher: Decides what the record's answers mean to a request.
            executor_began_ns: Unix ns of the executor's start: runs from before it are over.
        """
        self.dispatcher = dispatcher
        dispatcher.idempotency_table.restore_ended_keys(self._read_back)
        for key_digest, until, asked in self.coordinator.resume_after_restart(executor_began_ns):
            dispatcher.idempotency_table.restore_open_key(key_digest, until, not asked)

    def accepts_claims(self) -> bool:
        """Returns whether a claim could be written now."""
        return self.coordinator.may_claim()

    def begin_run(
        self, key_digest: bytes, request_id: str, sent_at_ns: int, request_class: int
    ) -> None:
        """Claims a keyed request, which then runs; has any other run at once."""
        known = self.request_classes[request_class]
        if known.idempotency is Idempotency.KEYED:
            self.coordinator.begin_claim(
                key_digest,
                request_id,
                sent_at_ns,
                sent_at_ns + known.idempotency_window_ns,
                known.latency_objective_ns,
            )
        else:
            self._start_run(request_id)

    def run_ended(self, request_id: str, outcome: Outcome, result: bytes) -> None:
        """Writes the end of a run."""
        self.coordinator.finish_run(request_id, outcome, result)

    async def wait_until_durable(
        self, key_digest: bytes, sent_at_ns: int, request_class: int
    ) -> None:
        """Waits until the end of a keyed run is durable, for as long as the answer may wait."""
        known = self.request_classes[request_class]
        if known.idempotency is Idempotency.KEYED:
            until = min(
                self.clock() + int(self.max_wait_share * known.latency_objective_ns),
                sent_at_ns + known.deadline_ns - ANSWER_MARGIN_NS,
            )
            await self.coordinator.wait_until_durable(key_digest, until)
            failpoints.hit("answering")

    async def look_up(
        self, key_digest: bytes, request_id: str, sent_at_ns: int, request_class: int
    ) -> None:
        """Asks the store what became of a request; the dispatcher is notified of what is found."""
        known = self.request_classes[request_class]
        window_end = sent_at_ns + known.idempotency_window_ns
        await self.coordinator.look_up(
            key_digest, request_id, window_end, known.latency_objective_ns
        )

    def request_answered(self, request_id: str) -> None:
        """Notes that a request's answer was sent, or that nobody waits for it."""
        self.coordinator.abandon(request_id)
        failpoints.hit_after_send("answered")

    async def read_result(self, key_digest: bytes, deadline_ns: int) -> bytes | None:
        """Returns a result from the store, None where none can be given in time."""
        return await self.coordinator.fetch_result(key_digest, deadline_ns - ANSWER_MARGIN_NS)

    async def close(self) -> None:
        """Writes what is left and closes the store."""
        await self.coordinator.close()
        counts = self.coordinator.counters
        log.info(
            "event=record_stopped claims=%d rejected=%d late=%d not_recorded=%d claimed=%d"
            " results_read=%d doubts=%d resolved=%d altered=%d conflicts=%d answered_before=%d",
            counts.claims,
            counts.rejected,
            counts.store_timeouts,
            counts.unrecorded_runs,
            counts.claimed_elsewhere,
            counts.results_fetched,
            counts.doubts,
            counts.resolved,
            counts.altered_rows,
            counts.conflicts,
            counts.answered_before_durable,
        )

    # What the coordinator reports.

    def start_run(self, request_id: str) -> None:
        """Has a request run: its claim is durable, or needs not be."""
        self._start_run(request_id)

    def reject(self, request_id: str) -> None:
        """Reports that a request can't be claimed, so may not run."""
        self._report_end(request_id, Outcome.NOT_RECORDED)

    def report_never_ran(self, request_id: str) -> None:
        """Reports that a claimed request is not to run any more."""
        self._report_end(request_id, Outcome.NO_LONGER_NEEDED)

    def report_claimed_elsewhere(self, request_id: str) -> None:
        """Reports that another attempt has claimed the request."""
        self._report_end(request_id, Outcome.CLAIMED_ELSEWHERE)

    def complete(self, key_digest: bytes, result: bytes | None) -> None:
        """Reports that a request has run, with its result where it is known."""
        if self.dispatcher is not None:
            self.dispatcher.complete_key(key_digest, result)

    def release(self, key_digest: bytes) -> None:
        """Reports that a request has not run, and may."""
        if self.dispatcher is not None:
            self.dispatcher.release_key(key_digest)

    def register(self, key_digest: bytes, until: int) -> None:
        """Reports a request of another node's that may be running.

        Args:
            key_digest: The request's key digest.
            until: Unix ns of the end of its window.
        """
        if self.dispatcher is not None:
            self.dispatcher.idempotency_table.restore_open_key(key_digest, until, False)

    def forget(self, key_digest: bytes) -> None:
        """Reports that nobody will ever know what became of a run."""
        if self.dispatcher is not None:
            self.dispatcher.abandon_key(key_digest)

    def _report_end(self, request_id: str, outcome: Outcome) -> None:
        if self.dispatcher is not None:
            self.dispatcher.handle_event(RunEnded(request_id, outcome, 0, b""))
