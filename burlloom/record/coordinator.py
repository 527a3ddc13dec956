"""Coordinates the record: passes events to the state machine and executes its effects.

The decisions are made in `request_lifecycle`, `circuit_breaker`, `rows` and `recovery_rules`.
"""

import asyncio
import logging
from collections.abc import Callable, Iterator

from ..admission.model import Outcome
from ..time_units import NS_PER_MS, NS_PER_SECOND
from . import failpoints
from .authentication import RowAuthenticator
from .circuit_breaker import CircuitBreaker
from .policy import RecordListener, RecordObserver, RecordPolicy
from .recovery_rules import classify_recovered_row
from .request_effects import RequestEffects
from .request_lifecycle import DurableRequest, RequestEvent, RequestState
from .request_registry import RequestRegistry
from .request_writer import RequestWriter, ResultFetcher, build_lookup_row
from .rows import RecordRow
from .store import RecordStore, StoreSession
from .store_health import StoreHealth

__all__ = ["RecordCoordinator"]

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05  # between checks for ended windows and ticks of the circuit breaker
FINAL_STATES = (
    RequestState.CLOSED,
    RequestState.SUCCESS_RECORDED,
    RequestState.FAILURE_RECORDED,
)
UNRESOLVED_STATES = (RequestState.IN_DOUBT, RequestState.AWAITING_EXECUTOR)
RUN_ENDED_STATES = (RequestState.SUCCEEDED, RequestState.FAILED)
EVENT_BY_OUTCOME = {
    Outcome.OK: RequestEvent.RUN_SUCCEEDED,
    Outcome.NO_LONGER_NEEDED: RequestEvent.NEVER_RAN,
}
"""All other outcomes count as RUN_FAILED: a run that was stopped may have had its effect."""


class RecordCoordinator:
    """The record of one node. All methods run on the event loop; times are wall-clock nanoseconds.

    Attributes:
        store: The store.
        policy: The operator's settings.
        observer: Observes durations and counts; its fields may be replaced one by one.
        counters: The observer's counters.
        breaker: The circuit breaker around the store.
        registry: The requests whose outcome is pending, not yet durable, or in doubt.
        incarnation: This node's incarnation; 0 until the record is open.
        previous_notice: The notice that this node's previous incarnation saved; may be empty.
        started_rows: Recovered rows of unfinished runs, held until the executor has connected.
    """

    def __init__(
        self,
        store: RecordStore,
        authenticator: RowAuthenticator,
        policy: RecordPolicy,
        max_latency_objective_ns: int,
        clock: Callable[[], int],
        listener: RecordListener,
    ) -> None:
        """Creates a record that is not open.

        Args:
            store: The store.
            authenticator: Computes and checks the rows' MACs.
            policy: The operator's settings.
            max_latency_objective_ns: The longest latency objective of all request classes; the
                timeout of a write is `policy.claim_share` of it.
            clock: Returns the wall-clock time in nanoseconds.
            listener: The server, which is notified of outcomes.
        """
        self.store = store
        self.policy = policy
        self.observer = RecordObserver()
        self.counters = self.observer.counters
        self.incarnation = 0
        self.previous_notice = ""
        self.started_rows: list[RecordRow] = []
        self._authenticator = authenticator
        self._clock = clock
        self._node = ""
        self._claim_number = 0
        self._closed_until_ns = 0
        self._is_closed = False
        self._tick_timer: asyncio.TimerHandle | None = None
        write_timeout_ns = max(1, int(policy.claim_share * max_latency_objective_ns))
        self.breaker = CircuitBreaker(policy.max_writes_in_flight, write_timeout_ns)
        self.registry = RequestRegistry(clock, self._claim_timed_out)
        self._health = StoreHealth(store, self.breaker, clock)
        self._writer = RequestWriter(
            store, authenticator, self._health, self.observer, clock, self._handle
        )
        self._fetcher = ResultFetcher(store, self.observer, clock)
        self._effects = RequestEffects(self._writer, self.registry, listener, self.counters)

    # Startup and shutdown.

    async def open(self) -> StoreSession:
        """Opens the store.

        Raises:
            StoreRefusedError: The store can't be used.
        """
        session = await self.store.open()
        self.previous_notice = session.previous_notice
        self.incarnation = session.incarnation
        self._node = self._writer.node = session.node
        self._closed_until_ns = session.closed_until_ns
        if self._closed_until_ns > self._clock():
            log.warning(
                "event=record_closed until_ms=%d reason=restored",
                self._closed_until_ns // NS_PER_MS,
            )
        return session

    def read_recorded_keys(self) -> Iterator[list[tuple[bytes, int]]]:
        """Yields batches of key digests and window ends that earlier incarnations recorded.

        Keys of unfinished runs are reported again by `resume_after_restart`.
        """
        now_ns = self._clock()
        for batch in self.store.read_recorded_keys(now_ns):
            self.counters.recovered_keys += len(batch)
            yield batch
        self.started_rows = list(self.store.read_started_rows(now_ns))

    async def start(self) -> None:
        """Starts the store and the periodic timer."""
        await self.store.start()
        self.store.on_verdict = self.apply_verdict
        self._tick()

    def resume_after_restart(self, executor_started_ns: int) -> list[tuple[bytes, int, bool]]:
        """Resumes unfinished requests of earlier incarnations once the executor has connected.

        Args:
            executor_started_ns: When the executor started.

        Returns:
            For each request its key digest, the end of its window, and whether the executor may
            still report the end of its run.
        """
        resumed: list[tuple[bytes, int, bool]] = []
        rows, self.started_rows = self.started_rows, []
        for row in rows:
            event = self._classify(row, executor_started_ns)
            if event is not None:
                request = self._resume(row, event)
                is_awaited = request.state is RequestState.AWAITING_EXECUTOR
                resumed.append((row.key_digest, row.expires_at_ns, is_awaited))
        if resumed:
            awaited_count = sum(is_awaited for _, _, is_awaited in resumed)
            log.warning(
                "event=record_doubts in_doubt=%d awaiting_executor=%d",
                len(resumed) - awaited_count,
                awaited_count,
            )
            if awaited_count:
                asyncio.get_running_loop().call_later(
                    self.policy.executor_wait_ns / NS_PER_SECOND, self._executor_timed_out
                )
        return resumed

    def _classify(self, row: RecordRow, executor_started_ns: int) -> RequestEvent | None:
        is_authentic = self._authenticator.is_authentic(row)
        if not is_authentic:
            self.counters.altered_rows += 1
            log.error("event=record_row_altered key_digest=%s", row.key_digest.hex())
        return classify_recovered_row(row, is_authentic, executor_started_ns)

    def _resume(self, row: RecordRow, event: RequestEvent) -> DurableRequest:
        request = DurableRequest(
            row.key_digest,
            row.request_id,
            row.incarnation,
            row.claim_number,
            row.started_at_ns,
            row.expires_at_ns,
        )
        self.registry.by_key_digest[row.key_digest] = request
        self.registry.by_id.setdefault(row.request_id, request)
        self._handle(request, event)
        return request

    def _executor_timed_out(self) -> None:
        for request in list(self.registry.by_id.values()):
            if request.state is RequestState.AWAITING_EXECUTOR:
                self._handle(request, RequestEvent.EXECUTOR_SILENT)

    def stop(self) -> None:
        """Stops all timers; only writes already submitted still reach the store."""
        self._is_closed = True
        self._writer.is_stopped = True
        self._fetcher.is_stopped = True
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self.registry.cancel_all_timers()

    async def close(self) -> None:
        """Stops all timers and closes the store."""
        self.stop()
        await self.store.close()

    # Calls from the server.

    def may_claim(self) -> bool:
        """Returns whether the admission controller may start a request that needs a claim."""
        now_ns = self._clock()
        if now_ns < self._closed_until_ns:
            return False
        return self.policy.may_run_unrecorded or self._may_write(now_ns)

    def _may_write(self, now_ns: int) -> bool:
        return not self.registry.is_full() and self.breaker.may_write(now_ns)

    def begin_claim(
        self,
        key_digest: bytes,
        request_id: str,
        started_at_ns: int,
        expires_at_ns: int,
        latency_objective_ns: int,
    ) -> None:
        """Claims a key for a request.

        The listener's `start_run`, `reject`, `report_never_ran` or `report_claimed_elsewhere`
        follows.
        """
        now_ns = self._clock()
        self._claim_number += 1
        request = DurableRequest(
            key_digest,
            request_id,
            self.incarnation,
            self._claim_number,
            started_at_ns,
            expires_at_ns,
            claim_deadline_ns=now_ns + int(self.policy.claim_share * latency_objective_ns),
            may_run_unrecorded=self.policy.may_run_unrecorded,
        )
        if self._is_closed or not self._may_write(now_ns):
            self._effects.decide_without_store(request)
            return
        self.registry.by_id[request_id] = request
        self.registry.by_key_digest[key_digest] = request
        self._handle(request, RequestEvent.STARTED)

    async def look_up(
        self, key_digest: bytes, request_id: str, expires_at_ns: int, latency_objective_ns: int
    ) -> None:
        """Looks up the key of a marked retry that this node does not know.

        The listener is told what the store holds for the key, if the store answers in time.
        """
        now_ns = self._clock()
        is_known = request_id in self.registry.by_id
        if self._is_closed or not self._may_write(now_ns) or is_known:
            return
        request = DurableRequest(
            key_digest,
            request_id,
            self.incarnation,
            0,
            now_ns,
            expires_at_ns,
            claim_deadline_ns=now_ns + int(self.policy.claim_share * latency_objective_ns),
        )
        self.registry.by_id[request_id] = request
        self._handle(request, RequestEvent.RETRY_RECEIVED)
        await self.registry.add_waiter(request_id)  # woken by the claim timer at the latest

    def abandon(self, request_id: str) -> None:
        """Handles a request that the admission controller gave up; a started run continues."""
        request = self.registry.by_id.get(request_id)
        if request is not None:
            self._handle(request, RequestEvent.ABANDONED)

    def finish_run(self, request_id: str, outcome: Outcome, result: bytes) -> None:
        """Handles the executor's report that a run ended, also one of an earlier incarnation."""
        request = self.registry.by_id.get(request_id)
        if request is None:
            return
        failpoints.hit("ended")
        if request.state in RUN_ENDED_STATES:
            return  # its result may still have to be written
        event = EVENT_BY_OUTCOME.get(outcome, RequestEvent.RUN_FAILED)
        request.result = result if event is RequestEvent.RUN_SUCCEEDED else b""
        self._handle(request, event)

    async def wait_until_durable(self, key_digest: bytes, deadline_ns: int) -> None:
        """Waits until the end of the key's run is durable, but not past the deadline.

        The answer may be sent before the end is durable: the claim is, so no repeat can run.
        """
        request = self.registry.by_key_digest.get(key_digest)
        if request is None or request.state not in RUN_ENDED_STATES:
            return
        remaining_ns = deadline_ns - self._clock()
        if remaining_ns > 0:
            future = self.registry.add_waiter(request.request_id)
            await asyncio.wait({future}, timeout=remaining_ns / NS_PER_SECOND)
            if future.done():
                return
            future.cancel()
        self.counters.answered_before_durable += 1
        log.warning(
            "event=record_answered_before_durable request_id=%s state=%s",
            request.request_id,
            request.state.name.lower(),
        )

    async def fetch_result(self, key_digest: bytes, deadline_ns: int) -> bytes | None:
        """Returns the stored result for a key; None if there is none or time runs out."""
        row = build_lookup_row(key_digest, self._node, self.incarnation)
        return await self._fetcher.fetch(row, deadline_ns)

    def apply_verdict(
        self, key_digest: bytes, incarnation: int, claim_number: int, ran: bool
    ) -> None:
        """Applies an operator's verdict to the named claim, never to a later claim of the key."""
        request = self.registry.by_key_digest.get(key_digest)
        if request is None or request.state not in UNRESOLVED_STATES:
            return
        if (request.incarnation, request.claim_number) != (incarnation, claim_number):
            return
        log.warning("event=record_doubt_resolved key_digest=%s ran=%s", key_digest.hex(), ran)
        self.counters.resolved += 1
        self._handle(
            request,
            RequestEvent.RESOLVED_AS_RAN if ran else RequestEvent.RESOLVED_AS_NEVER_RAN,
        )

    # Event handling.

    def _tick(self) -> None:
        self._tick_timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self._tick)
        now_ns = self._clock()
        expired = [
            request for request in self.registry.by_id.values() if request.expires_at_ns <= now_ns
        ]
        for request in expired:
            self._handle(request, RequestEvent.WINDOW_EXPIRED)
        self._health.tick(now_ns)

    def _claim_timed_out(self, request: DurableRequest) -> None:
        self.counters.store_timeouts += 1
        self._handle(request, RequestEvent.STORE_TIMED_OUT)

    def _handle(self, request: DurableRequest, event: RequestEvent) -> None:
        for effect in request.handle(event, self._clock()):
            getattr(self._effects, effect)(request)
        if request.state is RequestState.CLAIMED_ELSEWHERE:
            self.registry.wake(request)
        if request.state in FINAL_STATES:
            self.registry.remove(request)
