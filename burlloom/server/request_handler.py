"""The way of one request: dispatcher, run and call, from its arrival to its answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..admission.model import Outcome
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
from ..rpc import IncomingRequest
from ..sockets import NS_PER_MS, TaskSupervisor, sleep_ns
from .configuration import ServerConfig
from .outcomes import CALL_OUTCOMES, RUN_OUTCOMES, send_answer

if TYPE_CHECKING:
    from ..downstream.service_pools import ServicePools
    from .subsystems import Subsystems

log = logging.getLogger(__name__)

UNWANTED_CALL_DELAY_NS = 250 * NS_PER_MS


class RequestHandler:
    """Takes each request through the server; the dispatcher decides every step.

    Attributes:
        clock: Unix ns.
        dispatcher: What decides; None until the executor has connected.
        open_requests: Requests that wait for their answer, by id.
        class_index: The place of each request class in the settings, by name.

    Args:
        config: What the server is.
        clock: Unix ns.
        tasks: Where each request's task runs.
    """

    def __init__(
        self, config: ServerConfig, clock: Callable[[], int], tasks: TaskSupervisor
    ) -> None:
        self.clock = clock
        self.tasks = tasks
        self.request_classes = config.settings.request_classes
        self.class_index = {name: index for index, name in enumerate(config.class_names)}
        self.dispatcher: Dispatcher | None = None
        self.open_requests: dict[str, IncomingRequest] = {}

    def connect(
        self,
        subsystems: Subsystems,
        executor: ExecutorConnection,
        downstream: ConnectionPool | ServicePools,
    ) -> None:
        """Sets what a request passes on its way.

        Args:
            subsystems: What is asked, and notified, of each request.
            executor: What runs requests.
            downstream: What runs call.
        """
        self.record, self.levels = subsystems.record, subsystems.levels
        self.recovery, self.membership = subsystems.recovery, subsystems.membership
        self.rollout = subsystems.rollout
        self.executor = executor
        self.downstream = downstream

    # What connections of balancers ask.

    def is_serving(self, request_id: str) -> bool:
        """Returns whether this request waits for its answer here."""
        return request_id in self.open_requests or (
            self.dispatcher is not None and self.dispatcher.has_request(request_id)
        )

    def load_report(self, caller: str) -> str:
        """Returns the load report for one caller; empty before there is a dispatcher.

        Callers within the share of a level's trial are sent the report of that level.
        """
        if self.dispatcher is None:
            return ""
        share = self.dispatcher.service_level.trial_share
        if share and self.levels.sampling_draw(caller) < share:
            return self.dispatcher.trial_load_report
        return self.dispatcher.load_report

    def connection_lost(self, request: IncomingRequest) -> None:
        """Gives up a request that nobody waits for any more."""
        if self.dispatcher is not None and self.dispatcher.has_request(request.id):
            self.dispatcher.cancel_request(request.id)
        else:
            # The record is asked about it; there is nobody to answer once that is known.
            self.open_requests.pop(request.id, None)
            self.record.request_answered(request.id)

    def receive(self, request: IncomingRequest) -> None:
        """Takes a request that was read; most that are rejected are answered before it returns."""
        dispatcher = self.dispatcher
        if dispatcher is None:
            request.reject(0, False)
            return
        attempt = self._attempt(request)
        if (
            request.is_retry
            and self.record.is_shared
            and (key_digest := dispatcher.unknown_key_digest(attempt))
        ):
            self.open_requests[request.id] = request
            self.tasks.start(self._look_up(dispatcher, request, attempt, key_digest), "look_up")
        else:
            self._dispatch(dispatcher, request, attempt)

    def _attempt(self, request: IncomingRequest) -> RequestAttempt:
        # In the order of its fields: keywords would cost a microsecond a request.
        return RequestAttempt(
            request.id,
            request.sent_at_ns,
            request.caller,
            self.class_index[request.request_class],
            request.cost_ns,
            request.memory_kb,
            request.priority,
            request.idempotency_key,
            request.cache_key,
            request.body,
            self.record.accepts_claims(),
            request.is_retry,
            self.levels.count_request(request.tenant),
            self.levels.sampling_draw(request.caller),
            self.recovery.holds_back_retry(request.is_retry),
        )

    async def _look_up(
        self,
        dispatcher: Dispatcher,
        request: IncomingRequest,
        attempt: RequestAttempt,
        key_digest: bytes,
    ) -> None:
        """Asks the record first: a request that ran on another node must not be rejected."""
        await self.record.look_up(key_digest, request.id, request.sent_at_ns, attempt.request_class)
        if self.open_requests.pop(request.id, None) is not None:
            self._dispatch(dispatcher, request, attempt)

    def _dispatch(
        self, dispatcher: Dispatcher, request: IncomingRequest, attempt: RequestAttempt
    ) -> None:
        if (
            request.is_retry
            and self.recovery.is_fenced()
            and dispatcher.unknown_key_digest(attempt)
        ):
            # It may have run in an incarnation whose digests are lost: neither run again nor
            # rejected.
            request.fail()
            self.record.request_answered(request.id)
            return
        step = dispatcher.submit(attempt)
        if isinstance(step, Directive):
            send_answer(request, step)
            self.rollout.request_answered(step.kind, attempt.request_class, request.sent_at_ns)
            self.record.request_answered(request.id)
            return
        self.open_requests[request.id] = request
        self.tasks.start(self._serve(dispatcher, request, step), "request")

    async def _serve(
        self, dispatcher: Dispatcher, request: IncomingRequest, slot: RequestSlot
    ) -> None:
        side_task: asyncio.Task[None] | None = None
        answered = False
        class_index = self.class_index[request.request_class]
        try:
            while not answered:
                step = await dispatcher.next_directive(slot)
                match step.kind:
                    case DirectiveKind.RUN:
                        self.record.begin_run(
                            step.key_digest, request.id, request.sent_at_ns, class_index
                        )
                    case DirectiveKind.CALL:
                        call = self._call_downstream(dispatcher, request.id, step)
                        side_task = self.tasks.start(call, "call")
                    case DirectiveKind.RECALL_RESULT:
                        read = self._read_result(dispatcher, request, step.key_digest)
                        side_task = self.tasks.start(read, "read_result")
                    case _:
                        if step.kind in (
                            DirectiveKind.COMPLETE,
                            DirectiveKind.COMPLETE_AS_ORIGINAL,
                        ):
                            await self.record.wait_until_durable(
                                step.key_digest, request.sent_at_ns, class_index
                            )
                            self.levels.request_completed(class_index, request.sent_at_ns)
                        answered = True
                        send_answer(request, step)
                        self.rollout.request_answered(step.kind, class_index, request.sent_at_ns)
                        self.record.request_answered(request.id)
        finally:
            if not answered:
                request.fail()
            if side_task is not None:
                side_task.cancel()
            self.open_requests.pop(request.id, None)

    async def _read_result(
        self, dispatcher: Dispatcher, request: IncomingRequest, key_digest: bytes
    ) -> None:
        class_index = self.class_index[request.request_class]
        deadline_ns = request.sent_at_ns + self.request_classes[class_index].deadline_ns
        result = await self.record.read_result(key_digest, deadline_ns)
        dispatcher.handle_event(ResultRecalled(request.id, result))

    async def _call_downstream(
        self, dispatcher: Dispatcher, request_id: str, step: Directive
    ) -> None:
        began = self.clock()
        if not self.membership.may_call():
            dispatcher.handle_event(CallEnded(request_id, Outcome.OVERLOADED, 0))
            return
        answer, reply = await self.downstream.call(
            request_id, step.body, step.give_up_at_ns - began, step.is_repeatable
        )
        if answer is CallStatus.OK:
            self.executor.send_call_result(request_id, reply)
        else:
            log.info(
                "event=call_failed id=%s outcome=%s elapsed_ms=%d",
                request_id,
                answer.value,
                (self.clock() - began) // NS_PER_MS,
            )
        if answer is CallStatus.NO_LONGER_NEEDED:
            # No run waits for it, so the end of the run is on its way, and cancels this. Reported
            # at once, the decisions would call again and again, and soon take the downstream for
            # one that is down.
            await sleep_ns(UNWANTED_CALL_DELAY_NS)
        self.levels.call_ended(answer is CallStatus.OK)
        self.recovery.call_ended(answer is CallStatus.OK)
        dispatcher.handle_event(CallEnded(request_id, CALL_OUTCOMES[answer], self.clock() - began))

    # What the record and the executor say.

    def start_run(self, request_id: str) -> None:
        """Has the executor run a request that may run now.

        It runs even where its connection was lost meanwhile: to the record it has begun.
        """
        request = self.open_requests.get(request_id)
        if request is not None:
            self.executor.start_run(request_id, request.request_class, request.body)
        else:
            self.run_ended(request_id, RunStatus.NO_LONGER_NEEDED, 0, b"")

    def run_ended(self, request_id: str, end: RunStatus, duration_ns: int, result: bytes) -> None:
        """Reports the end of a run to the record and the dispatcher."""
        if end is RunStatus.REJECTED and request_id in self.open_requests:
            self.open_requests[request_id].report_unknown()
        self.record.run_ended(request_id, RUN_OUTCOMES[end], result)
        if self.dispatcher is not None:
            run_ended = RunEnded(request_id, RUN_OUTCOMES[end], duration_ns, result)
            self.dispatcher.handle_event(run_ended)

    def run_reached_call(self, request_id: str, body: bytes) -> None:
        """Reports to the dispatcher that a run waits for a call with this body."""
        if self.dispatcher is not None:
            self.dispatcher.handle_event(CallRequested(request_id, body))
