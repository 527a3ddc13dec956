"""Writes the rows of keyed requests, with retries, and reads results for repeated requests."""

import asyncio
from collections.abc import Callable
from functools import partial

from ..time_units import NS_PER_MS, NS_PER_SECOND
from .authentication import RowAuthenticator
from .policy import RecordObserver
from .request_lifecycle import DurableRequest, RequestEvent, RequestState
from .rows import ROW_COMPLETED, RecordRow, RecordWrite, WriteKind, WriteResult
from .store import RecordStore
from .store_health import StoreHealth

__all__ = ["ResultFetcher", "RequestWriter"]

# Bounds of the pause before a write or read is sent again; the pause doubles with each attempt.
MIN_RETRY_PAUSE_NS = 20 * NS_PER_MS
MAX_RETRY_PAUSE_NS = 1000 * NS_PER_MS
MAX_BACKOFF_DOUBLINGS = 8  # bounds the shift; `MAX_RETRY_PAUSE_NS` is reached before
MAX_PENDING_FETCHES = 256  # reads of results at a time; further ones return None at once
UNANSWERED_OUTCOMES = (RequestEvent.WRITE_FAILED, RequestEvent.WRITE_UNCERTAIN)

EventHandler = Callable[[DurableRequest, RequestEvent], None]


class RequestWriter:
    """Sends the writes of requests to the store and retries them.

    Attributes:
        node: The name of this node; empty until the store is open.
        is_stopped: Whether retries are disabled.
    """

    def __init__(
        self,
        store: RecordStore,
        authenticator: RowAuthenticator,
        health: StoreHealth,
        observer: RecordObserver,
        clock: Callable[[], int],
        handle_event: EventHandler,
    ) -> None:
        """Creates a writer.

        Args:
            store: The store.
            authenticator: Computes the rows' MACs.
            health: Feeds the outcomes of writes to the circuit breaker.
            observer: Observes how long writes take, and holds the counters.
            clock: Returns the wall-clock time in nanoseconds.
            handle_event: Called with each request and the event that the store's answer means.
        """
        self.node = ""
        self.is_stopped = False
        self._store = store
        self._authenticator = authenticator
        self._health = health
        self._observer = observer
        self._clock = clock
        self._handle_event = handle_event

    def write(self, request: DurableRequest, kind: WriteKind) -> None:
        """Sends a write; only the answer to a request's last write is handled."""
        request.write_count += 1
        write_count, started_ns = request.write_count, self._clock()
        write_number = self._health.breaker.start_write(started_ns)

        def handle_result(result: WriteResult) -> None:
            now_ns = self._clock()
            succeeded = result.outcome not in (*UNANSWERED_OUTCOMES, RequestEvent.FENCED)
            self._health.finish_write(write_number, now_ns, succeeded)
            self._observe(kind, now_ns - started_ns)
            if write_count == request.write_count:
                if result.row is not None and result.outcome is RequestEvent.FOUND_RESULT:
                    request.result = result.row.result
                self._handle_event(request, result.outcome)

        self._store.submit(RecordWrite(kind, self._build_row(request)), handle_result)

    def write_later(self, request: DurableRequest, kind: WriteKind) -> None:
        """Sends a write after an exponential backoff.

        The write is dropped if the request changed its state or sent another write meanwhile.
        """
        doublings = min(request.write_count, MAX_BACKOFF_DOUBLINGS)
        pause_ns = min(MAX_RETRY_PAUSE_NS, MIN_RETRY_PAUSE_NS << doublings)
        asyncio.get_running_loop().call_later(
            pause_ns / NS_PER_SECOND, self._retry, request, kind, request.write_count, request.state
        )

    def _retry(
        self, request: DurableRequest, kind: WriteKind, write_count: int, state: RequestState
    ) -> None:
        if not self.is_stopped and (request.write_count, request.state) == (write_count, state):
            self._observer.counters.retried_writes += 1
            self.write(request, kind)

    def _observe(self, kind: WriteKind, duration_ns: int) -> None:
        if kind is WriteKind.CLAIM:
            observe = self._observer.observe_claim
        elif kind is WriteKind.FINISH:
            observe = self._observer.observe_finish
        else:
            return
        if observe is not None:
            observe(duration_ns)

    def _build_row(self, request: DurableRequest) -> RecordRow:
        state = request.row_state
        row = RecordRow(
            request.key_digest,
            state,
            self.node,
            request.incarnation,
            request.claim_number,
            request.request_id,
            request.started_at_ns,
            request.expires_at_ns,
            request.result if state is RequestState.SUCCESS_RECORDED else b"",
        )
        return row._replace(mac=self._authenticator.compute_mac(row))


class ResultFetcher:
    """Reads stored results for repeated requests.

    Attributes:
        is_stopped: Whether fetches are refused.
    """

    def __init__(
        self, store: RecordStore, observer: RecordObserver, clock: Callable[[], int]
    ) -> None:
        """Creates a fetcher.

        Args:
            store: The store.
            observer: Holds the counters.
            clock: Returns the wall-clock time in nanoseconds.
        """
        self._store = store
        self.is_stopped = False
        self._counters = observer.counters
        self._clock = clock
        self._pending = 0

    async def fetch(self, row: RecordRow, deadline_ns: int) -> bytes | None:
        """Returns the result stored for a row's key; None if there is none or time runs out.

        None is also returned without a read if `MAX_PENDING_FETCHES` fetches are pending.
        """
        if self._pending >= MAX_PENDING_FETCHES or self.is_stopped:
            self._counters.results_not_fetched += 1
            return None
        self._pending += 1
        try:
            result = await self._find(row, deadline_ns)
        finally:
            self._pending -= 1
        if result.row is not None and result.outcome is RequestEvent.FOUND_RESULT:
            self._counters.results_fetched += 1
            return result.row.result
        self._counters.results_not_fetched += 1
        return None

    async def _find(self, row: RecordRow, deadline_ns: int) -> WriteResult:
        """Reads the row; retries with exponential backoff while the store can't answer."""
        pause_ns = MIN_RETRY_PAUSE_NS
        result = WriteResult(RequestEvent.WRITE_FAILED)
        while (
            result.outcome in UNANSWERED_OUTCOMES
            and (remaining_ns := deadline_ns - self._clock()) > 0
        ):
            future: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
            self._store.submit(
                RecordWrite(WriteKind.FIND, row), partial(set_result_if_pending, future)
            )
            await asyncio.wait({future}, timeout=remaining_ns / NS_PER_SECOND)
            if not future.done():
                future.cancel()
                return WriteResult(RequestEvent.STORE_TIMED_OUT)
            result = future.result()
            if result.outcome in UNANSWERED_OUTCOMES:
                await asyncio.sleep(pause_ns / NS_PER_SECOND)
                pause_ns = min(MAX_RETRY_PAUSE_NS, 2 * pause_ns)
        return result


def build_lookup_row(key_digest: bytes, node: str, incarnation: int) -> RecordRow:
    """Returns a row that carries only the key to read and the node that reads it."""
    return RecordRow(key_digest, ROW_COMPLETED, node, incarnation, 0, "", 0, 0)


def set_result_if_pending(future: asyncio.Future[WriteResult], result: WriteResult) -> None:
    """Sets a future's result unless the future is already done or cancelled."""
    if not future.done():
        future.set_result(result)
