"""Handles each request from arrival to answer: dispatch, run, downstream call, result lookup."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..admission.model import Idempotency, Outcome
from ..dispatcher import (
    CallEnded,
    CallRequested,
    Directive,
    DirectiveKind,
    Dispatcher,
    RequestAttempt,
    RequestSlot,
    ResultRecalled,
    RunEnded,
)
from ..downstream import CallStatus, ConnectionPool
from ..executor import ExecutorConnection, RunStatus
from ..rpc import IncomingRequest, max_request_age_ns
from ..sockets import TaskSupervisor, sleep_ns
from ..time_units import NS_PER_MS
from .configuration import ServerConfig
from .outcomes import CALL_OUTCOMES, RUN_OUTCOMES, send_answer
from .started_requests import StartedRequests

if TYPE_CHECKING:
    from ..downstream.service_pools import ServicePools
    from .subsystems import Subsystems

log = logging.getLogger(__name__)

# Delay before the end of a call that its run no longer waits for is reported to the dispatcher; the
# reason is in `_call_downstream`.
UNWANTED_CALL_DELAY_NS = 250 * NS_PER_MS
MAX_STARTED_REQUESTS = 50_000  # some 150 bytes each


class RequestHandler:
    """Carries out the dispatcher's directives for each request.

    Attributes:
        dispatcher: Decides each step of a request; None until the executor has connected.
        open_requests: Requests without an answer yet, by id.
        class_indexes: Index of each request class in the settings, by name.
        started_requests: The started requests of non-idempotent classes.

    Args:
        config: The server's configuration.
        clock: Returns Unix ns.
        tasks: Supervises the task of each request.
    """

    def __init__(
        self, config: ServerConfig, clock: Callable[[], int], tasks: TaskSupervisor
    ) -> None:
        self.clock = clock
        self.tasks = tasks
        self.request_classes = config.settings.request_classes
        self.class_indexes = {name: index for index, name in enumerate(config.class_names)}
        self.dispatcher: Dispatcher | None = None
        self.open_requests: dict[str, IncomingRequest] = {}
        max_deadline_ns = max(each.deadline_ns for each in self.request_classes)
        self.started_requests = StartedRequests(
            max_request_age_ns(max_deadline_ns), MAX_STARTED_REQUESTS
        )

    def connect(
        self,
        subsystems: Subsystems,
        executor: ExecutorConnection,
        downstream: ConnectionPool | ServicePools,
    ) -> None:
        """Sets the components that take part in handling a request.

        Args:
            subsystems: The subsystems that are queried and notified for each request.
            executor: Connection to the executor, which runs requests.
            downstream: Connections to the downstream, which runs call.
        """
        self.record, self.levels = subsystems.record, subsystems.levels
        self.recovery, self.membership = subsystems.recovery, subsystems.membership
        self.rollout = subsystems.rollout
        self.executor = executor
        self.downstream = downstream

    # Called by the listener of callers' connections.

    def is_serving(self, request_id: str) -> bool:
        """Returns whether a request with this id is open here, or must not run a second time."""
        return (
            request_id in self.open_requests
            or request_id in self.started_requests
            or (self.dispatcher is not None and self.dispatcher.has_request(request_id))
        )

    def load_report(self, caller: str) -> str:
        """Returns the load report for a caller; empty before the executor has connected.

        A caller that takes part in the trial of a level gets the load report of that level.
        """
        if self.dispatcher is None:
            return ""
        share = self.dispatcher.service_level.trial_share
        if share and self.levels.sampling_draw(caller) < share:
            return self.dispatcher.trial_load_report
        return self.dispatcher.load_report

    def connection_lost(self, request: IncomingRequest) -> None:
        """Cancels a request whose connection is lost."""
        if self.dispatcher is not None and self.dispatcher.has_request(request.id):
            self.dispatcher.cancel_request(request.id)
        else:
            # The request is still being looked up in the record; it is dropped when that ends.
            self._remove_open(request)
            self.record.request_answered(request.id)

    def _remove_open(self, request: IncomingRequest) -> bool:
        """Removes a request from the open ones; returns whether it was one of them.

        Another request with its id, which came after its caller had left, stays.
        """
        if self.open_requests.get(request.id) is not request:
            return False
        del self.open_requests[request.id]
        return True

    def receive(self, request: IncomingRequest) -> None:
        """Handles a decoded request; most rejections are answered before this returns."""
        dispatcher = self.dispatcher
        if dispatcher is None:
            request.reject(0, False)
            return
        attempt = self._create_attempt(request)
        if (
            request.is_retry
            and self.record.is_shared
            and (key_digest := dispatcher.unknown_key_digest(attempt))
        ):
            self.open_requests[request.id] = request
            self.tasks.start(self._look_up(dispatcher, request, attempt, key_digest), "look_up")
        else:
            self._dispatch(dispatcher, request, attempt)

    def _create_attempt(self, request: IncomingRequest) -> RequestAttempt:
        # Positional, because keyword arguments would cost a microsecond per request.
        return RequestAttempt(
            request.id,
            request.sent_at_ns,
            request.caller,
            self.class_indexes[request.request_class],
            request.cost_ns,
            request.memory_kb,
            request.priority,
            request.idempotency_key,
            request.cache_key,
            request.body,
            self.record.may_claim(),
            request.is_retry,
            self.levels.count_request(request.tenant),
            self.levels.sampling_draw(request.caller),
            self.recovery.should_reject_retry(request.is_retry),
        )

    async def _look_up(
        self,
        dispatcher: Dispatcher,
        request: IncomingRequest,
        attempt: RequestAttempt,
        key_digest: bytes,
    ) -> None:
        """Looks up the request in the record before it is dispatched.

        A request that ran on another node must not be rejected.
        """
        await self.record.look_up(key_digest, request.id, request.sent_at_ns, attempt.request_class)
        if self._remove_open(request):
            self._dispatch(dispatcher, request, attempt)

    def _dispatch(
        self, dispatcher: Dispatcher, request: IncomingRequest, attempt: RequestAttempt
    ) -> None:
        if (
            request.is_retry
            and self.recovery.is_fenced()
            and dispatcher.unknown_key_digest(attempt)
        ):
            # The request may have run in an incarnation whose key digests are lost, so that it must
            # be neither run again nor rejected.
            request.fail()
            self.record.request_answered(request.id)
            return
        directive = dispatcher.submit(attempt)
        if isinstance(directive, Directive):
            send_answer(request, directive)
            self.rollout.request_answered(directive.kind, attempt.request_class, request.sent_at_ns)
            self.record.request_answered(request.id)
            return
        self.open_requests[request.id] = request
        self.tasks.start(self._serve(dispatcher, request, directive), "request")

    async def _serve(
        self, dispatcher: Dispatcher, request: IncomingRequest, slot: RequestSlot
    ) -> None:
        pending_task: asyncio.Task[None] | None = None
        is_answered = False
        index = self.class_indexes[request.request_class]
        try:
            while not is_answered:
                directive = await dispatcher.next_directive(slot)
                match directive.kind:
                    case DirectiveKind.RUN:
                        self.record.begin_run(
                            directive.key_digest, request.id, request.sent_at_ns, index
                        )
                    case DirectiveKind.CALL:
                        coroutine = self._call_downstream(dispatcher, request.id, directive)
                        pending_task = self.tasks.start(coroutine, "call")
                    case DirectiveKind.RECALL_RESULT:
                        coroutine = self._read_result(dispatcher, request, directive.key_digest)
                        pending_task = self.tasks.start(coroutine, "read_result")
                    case _:
                        if directive.kind in (
                            DirectiveKind.COMPLETE,
                            DirectiveKind.COMPLETE_AS_ORIGINAL,
                        ):
                            await self.record.wait_until_durable(
                                directive.key_digest, request.sent_at_ns, index
                            )
                            self.levels.request_completed(index, request.sent_at_ns)
                        is_answered = True
                        send_answer(request, directive)
                        self.rollout.request_answered(directive.kind, index, request.sent_at_ns)
                        self.record.request_answered(request.id)
        finally:
            if not is_answered:
                request.fail()
            if pending_task is not None:
                pending_task.cancel()
            self._remove_open(request)

    async def _read_result(
        self, dispatcher: Dispatcher, request: IncomingRequest, key_digest: bytes
    ) -> None:
        class_index = self.class_indexes[request.request_class]
        deadline_ns = request.sent_at_ns + self.request_classes[class_index].deadline_ns
        result = await self.record.read_result(key_digest, deadline_ns)
        dispatcher.handle_event(ResultRecalled(request.id, result))

    async def _call_downstream(
        self, dispatcher: Dispatcher, request_id: str, directive: Directive
    ) -> None:
        started_ns = self.clock()
        if not self.membership.may_call():
            dispatcher.handle_event(CallEnded(request_id, Outcome.OVERLOADED, 0))
            return
        status, reply = await self.downstream.call(
            request_id,
            directive.body,
            directive.give_up_at_ns - started_ns,
            directive.is_repeatable,
        )
        if status is CallStatus.OK:
            self.executor.send_call_result(request_id, reply)
        else:
            log.info(
                "event=call_failed id=%s outcome=%s elapsed_ms=%d",
                request_id,
                status.value,
                (self.clock() - started_ns) // NS_PER_MS,
            )
        if status is CallStatus.NO_LONGER_NEEDED:
            # The downstream declined the call because its run no longer waits for it. The end of
            # that run is on its way and cancels this task. Without the delay the dispatcher would
            # repeat the call again and again, and soon consider the downstream as failed.
            await sleep_ns(UNWANTED_CALL_DELAY_NS)
        self.levels.call_ended(status is CallStatus.OK)
        self.recovery.call_ended(status is CallStatus.OK)
        dispatcher.handle_event(
            CallEnded(request_id, CALL_OUTCOMES[status], self.clock() - started_ns)
        )

    # Called by the request record and the executor connection.

    def start_run(self, request_id: str) -> None:
        """Has the executor run a request that may run now.

        The request runs even if its connection was lost in the meantime, because the record counts
        it as begun. If it is no longer open, its run is reported as no longer needed.
        """
        request = self.open_requests.get(request_id)
        if request is not None:
            request_class = self.request_classes[self.class_indexes[request.request_class]]
            if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
                self.started_requests.add(request_id, self.clock())
            is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
            self.executor.start_run(request_id, request.request_class, request.body, is_idempotent)
        else:
            self.run_ended(request_id, RunStatus.NO_LONGER_NEEDED, 0, b"")

    def run_ended(
        self, request_id: str, status: RunStatus, duration_ns: int, result: bytes
    ) -> None:
        """Reports the end of a run to the record and the dispatcher.

        Args:
            request_id: The id of the request.
            status: How the run ended.
            duration_ns: How long the run took.
            result: The result; empty if there is none.
        """
        if status is RunStatus.REJECTED and request_id in self.open_requests:
            self.open_requests[request_id].report_unknown()
        self.record.run_ended(request_id, RUN_OUTCOMES[status], result)
        if self.dispatcher is not None:
            event = RunEnded(request_id, RUN_OUTCOMES[status], duration_ns, result)
            self.dispatcher.handle_event(event)

    def call_result_uncertain(self, request_id: str) -> None:
        """Fails a request whose run may have received the result of its call or not."""
        if self.dispatcher is not None:
            self.dispatcher.fail_request(request_id)

    def run_reached_call(self, request_id: str, body: bytes) -> None:
        """Reports to the dispatcher that a run waits for a downstream call with this body."""
        if self.dispatcher is not None:
            self.dispatcher.handle_event(CallRequested(request_id, body))
