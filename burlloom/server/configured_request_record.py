"""Connects the server to its request record: keyed requests run once their claim is durable.

Imported only if the operator's file enables the record.
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
from ..time_units import NS_PER_MS
from .configuration import ConfigurationError

log = logging.getLogger(__name__)

# Time before the request's deadline at which an answer stops waiting for the store, so that it
# reaches the caller in time.
ANSWER_MARGIN_NS = 100 * NS_PER_MS


class ConfiguredRequestRecord:
    """The request record that an operator's file configures; the listener of its coordinator.

    Attributes:
        coordinator: Writes to the store and tracks writes in flight; set before `open`.
        keeps_results: True.
        is_shared: Whether other nodes write to the store too.
        incarnation: Number of this incarnation in the store; -1 until the store is open.
        previous_note: The note that the node's previous incarnation wrote; empty if none.
        dispatcher: Receives the outcomes of runs; None until the executor has connected.

    Args:
        request_classes: The request classes of the settings.
        max_wait_share: Upper bound on how long an answer waits for the end of its run to become
            durable, as a share of the class's latency objective.
        clock: Returns Unix ns.
        start_run: Has the executor run the request with this id.
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
        self._restored_digests = PackedKeyDigests()

    async def open(self) -> None:
        """Opens the store and reads the keys that this node recorded before.

        Raises:
            ConfigurationError: The store can't be used.
        """
        started_ns = self.clock()
        try:
            opened = await self.coordinator.open()
        except StoreRefusedError as error:
            raise ConfigurationError(str(error)) from error
        self.previous_note, self.incarnation = (
            self.coordinator.previous_notice,
            self.coordinator.incarnation,
        )
        self._restored_digests = PackedKeyDigests(
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
            len(self._restored_digests),
            len(self.coordinator.started_rows),
            (self.clock() - started_ns) // NS_PER_MS,
        )

    def write_note(self, text: str) -> None:
        """Stores a note for the node's next incarnation."""
        self.coordinator.store.save_notice(text)

    def attach_dispatcher(self, dispatcher: Dispatcher, executor_started_ns: int) -> None:
        """Restores the recorded keys in the dispatcher and reports outcomes to it from now on.

        Args:
            dispatcher: Receives the recorded keys and the outcomes of runs.
            executor_started_ns: Start of the executor in Unix ns; runs that began earlier have
                ended.
        """
        self.dispatcher = dispatcher
        dispatcher.idempotency_table.restore_ended_keys(self._restored_digests)
        for key_digest, window_end_ns, is_awaited in self.coordinator.resume_after_restart(
            executor_started_ns
        ):
            dispatcher.idempotency_table.restore_open_key(key_digest, window_end_ns, not is_awaited)

    def may_claim(self) -> bool:
        """Returns whether a claim can be written now."""
        return self.coordinator.may_claim()

    def begin_run(
        self, key_digest: bytes, request_id: str, sent_at_ns: int, request_class: int
    ) -> None:
        """Claims a keyed request, which runs once the claim is durable; runs any other at once."""
        settings = self.request_classes[request_class]
        if settings.idempotency is Idempotency.KEYED:
            self.coordinator.begin_claim(
                key_digest,
                request_id,
                sent_at_ns,
                sent_at_ns + settings.idempotency_window_ns,
                settings.latency_objective_ns,
            )
        else:
            self._start_run(request_id)

    def run_ended(self, request_id: str, outcome: Outcome, result: bytes) -> None:
        """Records the end of a run."""
        self.coordinator.finish_run(request_id, outcome, result)

    async def wait_until_durable(
        self, key_digest: bytes, sent_at_ns: int, request_class: int
    ) -> None:
        """Waits until the end of a keyed run is durable, but no longer than the answer may wait."""
        settings = self.request_classes[request_class]
        if settings.idempotency is Idempotency.KEYED:
            wait_until_ns = min(
                self.clock() + int(self.max_wait_share * settings.latency_objective_ns),
                sent_at_ns + settings.deadline_ns - ANSWER_MARGIN_NS,
            )
            await self.coordinator.wait_until_durable(key_digest, wait_until_ns)
            failpoints.hit("answering")

    async def look_up(
        self, key_digest: bytes, request_id: str, sent_at_ns: int, request_class: int
    ) -> None:
        """Looks up the outcome of a request in the store and reports it to the dispatcher."""
        settings = self.request_classes[request_class]
        window_end_ns = sent_at_ns + settings.idempotency_window_ns
        await self.coordinator.look_up(
            key_digest, request_id, window_end_ns, settings.latency_objective_ns
        )

    def request_answered(self, request_id: str) -> None:
        """Handles that a request was answered, or that its caller no longer waits for it."""
        self.coordinator.abandon(request_id)
        failpoints.hit_after_send("answered")

    async def read_result(self, key_digest: bytes, deadline_ns: int) -> bytes | None:
        """Returns a result from the store; None if there is none, or it can't be read in time."""
        return await self.coordinator.fetch_result(key_digest, deadline_ns - ANSWER_MARGIN_NS)

    async def close(self) -> None:
        """Writes pending changes and closes the store."""
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

    # Notifications of the coordinator (`RecordListener`).

    def start_run(self, request_id: str) -> None:
        """Runs a request whose claim is durable, or need not be."""
        self._start_run(request_id)

    def reject(self, request_id: str) -> None:
        """Reports that a request can't be claimed and so must not run."""
        self._report_end(request_id, Outcome.NOT_RECORDED)

    def report_never_ran(self, request_id: str) -> None:
        """Reports that a request was abandoned before its run began."""
        self._report_end(request_id, Outcome.NO_LONGER_NEEDED)

    def report_claimed_elsewhere(self, request_id: str) -> None:
        """Reports that another attempt holds the claim; `complete` or `release` follows."""
        self._report_end(request_id, Outcome.CLAIMED_ELSEWHERE)

    def complete(self, key_digest: bytes, result: bytes | None) -> None:
        """Reports that a request has run, with its result; None if the result is not known."""
        if self.dispatcher is not None:
            self.dispatcher.complete_key(key_digest, result)

    def release(self, key_digest: bytes) -> None:
        """Reports that a claim was withdrawn: the request has not run; another attempt may."""
        if self.dispatcher is not None:
            self.dispatcher.release_key(key_digest)

    def register(self, key_digest: bytes, expires_at_ns: int) -> None:
        """Reports a request that another node has claimed and that may be running.

        Args:
            key_digest: The request's key digest.
            expires_at_ns: End of the key's idempotency window in Unix ns.
        """
        if self.dispatcher is not None:
            self.dispatcher.idempotency_table.restore_open_key(key_digest, expires_at_ns, False)

    def forget(self, key_digest: bytes) -> None:
        """Reports that the outcome of another attempt's claim is no longer awaited."""
        if self.dispatcher is not None:
            self.dispatcher.abandon_key(key_digest)

    def _report_end(self, request_id: str, outcome: Outcome) -> None:
        if self.dispatcher is not None:
            self.dispatcher.handle_event(RunEnded(request_id, outcome, 0, b""))
