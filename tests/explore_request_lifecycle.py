"""Explores all states that small models of the record can reach.

A model has a few nodes with one store, and bounded numbers of attempts with one idempotency key, of
node crashes and of store faults. Requests change by the transition table of
`burlloom.record.request_lifecycle`, the stored row by `rows.apply_write`. A violated invariant ends
the exploration with a shortest sequence of steps that leads to it. Time is not modelled: whatever
can happen at some time may happen now.
"""

from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

from burlloom.record.request_lifecycle import DurableRequest, RequestEvent, RequestState
from burlloom.record.rows import (
    ROW_COMPLETED,
    ROW_COMPLETED_WITHOUT_RESULT,
    ROW_STARTED,
    RecordRow,
    RecordWrite,
    WriteKind,
    apply_write,
    classify_row,
    interpret_unapplied_write,
)

KEY_DIGEST = b"m" * 16
WRITE_KIND_BY_EFFECT = {
    "claim": WriteKind.CLAIM,
    "retry_claim": WriteKind.CLAIM,
    "finish": WriteKind.FINISH,
    "retry_finish": WriteKind.FINISH,
    "withdraw": WriteKind.WITHDRAW,
    "retry_withdraw": WriteKind.WITHDRAW,
    "insert": WriteKind.INSERT,
    "poll": WriteKind.LOOK,
    "resolve_as_succeeded": WriteKind.FINISH,
    "resolve_as_failed": WriteKind.FINISH,
    "resolve_as_never_ran": WriteKind.WITHDRAW,
}
EFFECTS_THAT_RELEASE_KEY = {
    "reject",
    "report_never_ran",
    "release",
    "resolve_as_never_ran",
    "forget",
}
EFFECTS_THAT_REGISTER_KEY = {
    "deliver_result",
    "fail",
    "mark_in_doubt",
    "resolve_as_succeeded",
    "resolve_as_failed",
    "register",
}
EFFECTS_THAT_REJECT = {"reject", "report_never_ran", "release", "resolve_as_never_ran"}


class RequestModel(NamedTuple):
    """A request that a node holds: the fields of `DurableRequest` that the model varies."""

    attempt: int
    state: RequestState
    incarnation: int
    claim_number: int
    is_abandoned: bool
    result: bytes


class QueuedWrite(NamedTuple):
    """A write on its way to the store; only the answer to an awaited one is handled."""

    attempt: int
    kind: WriteKind
    state: int
    incarnation: int
    claim_number: int
    result: bytes
    is_awaited: bool


class NodeModel(NamedTuple):
    """A node: its memory, its writes that the store has not answered, and its executor's runs."""

    is_up: bool = True
    incarnation: int = 1
    claim_number: int = 0
    is_key_known: bool = False  # a further attempt at this node is a repeat, handled in memory
    requests: tuple[RequestModel, ...] = ()
    queue: tuple[QueuedWrite, ...] = ()
    runs: tuple[tuple[int, int, str], ...] = ()  # attempt, incarnation, and phase


class ModelState(NamedTuple):
    """The whole model: nodes, stored row, and what has happened so far."""

    nodes: tuple[NodeModel, ...]
    row: RecordRow | None = None
    # Writes with an unknown outcome that may still apply, each with the index of its node.
    delayed_writes: tuple[tuple[int, QueuedWrite], ...] = ()
    incarnations: tuple[int, ...] = ()
    executed_attempts: tuple[int, ...] = ()  # the attempts whose runs took effect
    attempt_count: int = 0
    crash_count: int = 0
    fault_count: int = 0


class InvariantViolation(AssertionError):
    """An invariant does not hold; the arguments are the invariant and the steps that lead there."""


class LifecycleExplorer:
    """Explores the states of one model in breadth-first order."""

    def __init__(
        self,
        node_count: int,
        max_attempts: int,
        max_crashes: int,
        max_faults: int,
        may_run_unrecorded: bool = False,
        max_states: int = 3_000_000,
    ) -> None:
        self.max_attempts, self.max_crashes, self.max_faults = max_attempts, max_crashes, max_faults
        self.may_run_unrecorded, self.max_states = may_run_unrecorded, max_states
        self.initial_state = ModelState((NodeModel(),) * node_count, incarnations=(1,) * node_count)
        self.predecessors: dict[ModelState, tuple[ModelState | None, str]] = {}

    def explore(self) -> int:
        """Returns the number of reachable states.

        Raises:
            InvariantViolation: An invariant does not hold; carries a shortest sequence of steps.
        """
        self.predecessors = {self.initial_state: (None, "start")}
        pending = deque([self.initial_state])
        while pending:
            state = pending.popleft()
            try:
                for step, after in self.transitions(state):
                    if after not in self.predecessors:
                        self.predecessors[after] = state, step
                        if len(after.executed_attempts) > 1:
                            raise InvariantViolation("the request ran twice", after)
                        pending.append(after)
            except InvariantViolation as violation:
                raise InvariantViolation(
                    violation.args[0],
                    *self.trace(violation.args[1] if len(violation.args) > 1 else state),
                ) from None
            assert len(self.predecessors) < self.max_states, "the model has too many states"
        return len(self.predecessors)

    def trace(self, state: ModelState) -> list[str]:
        """Returns the steps from the initial state to a state."""
        steps: list[str] = []
        current: ModelState | None = state
        while current is not None:
            current, step = self.predecessors[current]
            steps.append(step)
        return steps[::-1]

    def transitions(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        """Yields each step that is possible in a state, and the state after it."""
        for node_index, node in enumerate(state.nodes):
            if not node.is_up:
                yield f"node {node_index} restarts", self.restart_node(state, node_index)
                continue
            if state.attempt_count < self.max_attempts:
                yield (
                    f"attempt {state.attempt_count} arrives at node {node_index}",
                    self.receive_attempt(state, node_index),
                )
                if state.attempt_count and len(state.nodes) > 1 and not node.is_key_known:
                    yield (
                        f"attempt {state.attempt_count} arrives at node {node_index} as a retry",
                        self.receive_retry(state, node_index),
                    )
            for request in node.requests:
                if request.state == RequestState.CLAIMING and not request.is_abandoned:
                    yield (
                        f"node {node_index} abandons attempt {request.attempt}",
                        self.handle_event(state, node_index, request, RequestEvent.ABANDONED),
                    )
                if request.state == RequestState.CLAIMING:
                    yield (
                        f"the claim of attempt {request.attempt} at node {node_index} times out",
                        self.handle_event(state, node_index, request, RequestEvent.STORE_TIMED_OUT),
                    )
                if request.state == RequestState.CLAIMED_ELSEWHERE:
                    yield (
                        f"node {node_index} abandons attempt {request.attempt}",
                        self.handle_event(state, node_index, request, RequestEvent.ABANDONED),
                    )
                if request.state == RequestState.AWAITING_EXECUTOR:
                    yield (
                        f"the executor of node {node_index} stays silent",
                        self.handle_event(state, node_index, request, RequestEvent.EXECUTOR_SILENT),
                    )
            if node.queue:
                yield from self.apply_next_write(state, node_index)
            for run_index, run in enumerate(node.runs):
                yield from self.advance_run(state, node_index, run_index, run)
            if state.crash_count < self.max_crashes:
                yield from self.crash_node(state, node_index)
        for index, (node_index, write) in enumerate(state.delayed_writes):
            row, _ = apply_write(
                state.row, self.build_write(node_index, write), state.incarnations[node_index]
            )
            yield (
                f"a delayed {write.kind.name} of node {node_index} applies",
                state._replace(
                    row=row,
                    delayed_writes=state.delayed_writes[:index] + state.delayed_writes[index + 1 :],
                ),
            )

    # Steps.

    def receive_attempt(self, state: ModelState, node_index: int) -> ModelState:
        """Returns the state after the next attempt arrives at a node."""
        node, attempt = state.nodes[node_index], state.attempt_count
        state = state._replace(attempt_count=attempt + 1)
        if node.is_key_known:
            return state
        request = RequestModel(
            attempt, RequestState.NEW, node.incarnation, node.claim_number + 1, False, b""
        )
        node = node._replace(
            is_key_known=True,
            claim_number=node.claim_number + 1,
            requests=node.requests + (request,),
        )
        return self.handle_event(
            self.replace_node(state, node_index, node), node_index, request, RequestEvent.STARTED
        )

    def receive_retry(self, state: ModelState, node_index: int) -> ModelState:
        """Looks the key up in the store first; an unknown key is handled as a first attempt."""
        node, attempt = state.nodes[node_index], state.attempt_count
        incarnations = {
            f"n{index}": (incarnation, False)
            for index, incarnation in enumerate(state.incarnations)
        }
        event = classify_row(state.row, f"n{node_index}", node.incarnation, 0, incarnations)
        if event in (RequestEvent.NOT_FOUND, RequestEvent.WRITE_APPLIED):
            return self.receive_attempt(state, node_index)
        request = RequestModel(
            attempt,
            RequestState.NEW,
            node.incarnation,
            0,
            False,
            state.row.result if state.row is not None else b"",
        )
        state = self.replace_node(
            state._replace(attempt_count=attempt + 1),
            node_index,
            node._replace(requests=node.requests + (request,)),
        )
        return self.handle_event(
            self.handle_event(state, node_index, request, RequestEvent.RETRY_RECEIVED),
            node_index,
            request,
            event,
        )

    def apply_next_write(
        self, state: ModelState, node_index: int
    ) -> Iterator[tuple[str, ModelState]]:
        """Yields the possible outcomes of the oldest write of a node, including store faults."""
        node = state.nodes[node_index]
        write, remaining_node = node.queue[0], node._replace(queue=node.queue[1:])
        record_write = self.build_write(node_index, write)
        row, is_applied = apply_write(state.row, record_write, state.incarnations[node_index])
        incarnations = {
            f"n{index}": (incarnation, False)
            for index, incarnation in enumerate(state.incarnations)
        }
        event = (
            RequestEvent.WRITE_APPLIED
            if is_applied
            else RequestEvent.FENCED
            if write.kind in (WriteKind.CLAIM, WriteKind.INSERT)
            and write.incarnation != state.incarnations[node_index]
            else interpret_unapplied_write(record_write, state.row, incarnations).outcome
        )
        name = f"{write.kind.name} of attempt {write.attempt} at node {node_index}"
        yield (
            f"{name}: {event.name}",
            self.deliver_answer(
                self.replace_node(state._replace(row=row), node_index, remaining_node),
                node_index,
                write,
                event,
                row,
            ),
        )
        if state.fault_count < self.max_faults:
            faulty_state = state._replace(fault_count=state.fault_count + 1)
            yield (
                f"{name} fails",
                self.deliver_answer(
                    self.replace_node(faulty_state, node_index, remaining_node),
                    node_index,
                    write,
                    RequestEvent.WRITE_FAILED,
                    None,
                ),
            )
            delayed_state = faulty_state._replace(
                delayed_writes=faulty_state.delayed_writes
                + ((node_index, write._replace(is_awaited=False)),)
            )
            for is_late in (False, True):
                when = " after the claim deadline" if is_late else ""
                yield (
                    f"{name} applies with an uncertain answer{when}",
                    self.deliver_answer(
                        self.replace_node(
                            faulty_state._replace(row=row), node_index, remaining_node
                        ),
                        node_index,
                        write,
                        RequestEvent.WRITE_UNCERTAIN,
                        None,
                        is_late,
                    ),
                )
                yield (
                    f"{name} is delayed with an uncertain answer{when}",
                    self.deliver_answer(
                        self.replace_node(delayed_state, node_index, remaining_node),
                        node_index,
                        write,
                        RequestEvent.WRITE_UNCERTAIN,
                        None,
                        is_late,
                    ),
                )

    def deliver_answer(
        self,
        state: ModelState,
        node_index: int,
        write: QueuedWrite,
        event: RequestEvent,
        row: RecordRow | None,
        is_late: bool = False,
    ) -> ModelState:
        """Returns the state after the store's answer to a write reaches its request."""
        request = next(
            (
                request
                for request in state.nodes[node_index].requests
                if request.attempt == write.attempt
                and write.is_awaited
                and (request.incarnation, request.claim_number)
                == (write.incarnation, write.claim_number)
            ),
            None,
        )
        if request is None:
            return state
        if event is RequestEvent.FOUND_RESULT:
            assert state.row is not None
            if (
                not state.executed_attempts
                or state.row.result != b"r%d" % state.executed_attempts[0]
            ):
                raise InvariantViolation("the store returned a result that no run produced", state)
            state, request = self.replace_request(
                state, node_index, request, result=state.row.result
            )
        return self.handle_event(state, node_index, request, event, is_late)

    def advance_run(
        self, state: ModelState, node_index: int, run_index: int, run: tuple[int, int, str]
    ) -> Iterator[tuple[str, ModelState]]:
        """Yields the possible next phases of a run."""
        attempt, incarnation, phase = run
        node = state.nodes[node_index]
        other_runs = node.runs[:run_index] + node.runs[run_index + 1 :]
        if phase == "sent":
            started_state = state._replace(executed_attempts=state.executed_attempts + (attempt,))
            yield (
                f"attempt {attempt} runs at node {node_index}",
                self.replace_node(
                    started_state,
                    node_index,
                    node._replace(runs=other_runs + ((attempt, incarnation, "RUN_SUCCEEDED"),)),
                ),
            )
            yield (
                f"attempt {attempt} runs and fails at node {node_index}",
                self.replace_node(
                    started_state,
                    node_index,
                    node._replace(runs=other_runs + ((attempt, incarnation, "RUN_FAILED"),)),
                ),
            )
            yield (
                f"attempt {attempt} never runs at node {node_index}",
                self.replace_node(
                    state,
                    node_index,
                    node._replace(runs=other_runs + ((attempt, incarnation, "NEVER_RAN"),)),
                ),
            )
            return
        after = self.replace_node(state, node_index, node._replace(runs=other_runs))
        request = next((request for request in node.requests if request.attempt == attempt), None)
        if request is not None:
            result = b"r%d" % attempt if phase == "RUN_SUCCEEDED" else b""
            after, request = self.replace_request(after, node_index, request, result=result)
            after = self.handle_event(after, node_index, request, RequestEvent[phase])
        yield f"node {node_index} receives {phase} of attempt {attempt}", after

    def crash_node(self, state: ModelState, node_index: int) -> Iterator[tuple[str, ModelState]]:
        """Yields the crashes of a node after each number of its queued writes, with and without
        its executor."""
        node = state.nodes[node_index]
        state = state._replace(crash_count=state.crash_count + 1)
        row = state.row
        for applied_count in range(len(node.queue) + 1):
            if applied_count:
                row, _ = apply_write(
                    row,
                    self.build_write(node_index, node.queue[applied_count - 1]),
                    state.incarnations[node_index],
                )
            for runs in {(), node.runs}:
                crashed_node = NodeModel(False, node.incarnation, 0, False, (), (), runs)
                yield (
                    f"node {node_index} crashes after {applied_count} writes, executor {'survives' if runs else 'dies'}",
                    self.replace_node(state._replace(row=row), node_index, crashed_node),
                )

    def restart_node(self, state: ModelState, node_index: int) -> ModelState:
        """Returns the state after a node has started a new incarnation and recovered the row."""
        node = state.nodes[node_index]
        incarnation, row = node.incarnation + 1, state.row
        incarnations = (
            state.incarnations[:node_index] + (incarnation,) + state.incarnations[node_index + 1 :]
        )
        restarted_node = NodeModel(True, incarnation, 0, False, (), (), node.runs)
        state = self.replace_node(
            state._replace(incarnations=incarnations), node_index, restarted_node
        )
        if row is None or row.node != f"n{node_index}":
            return state
        state = self.replace_node(state, node_index, restarted_node._replace(is_key_known=True))
        if row.state in (ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT):
            return state
        request = RequestModel(
            int(row.request_id), RequestState.NEW, row.incarnation, row.claim_number, False, b""
        )
        state = self.replace_node(
            state, node_index, state.nodes[node_index]._replace(requests=(request,))
        )
        return self.handle_event(
            state,
            node_index,
            request,
            RequestEvent.RECOVERED_RUNNING if node.runs else RequestEvent.RECOVERED_IN_DOUBT,
        )

    # Changes of parts of the state.

    def handle_event(
        self,
        state: ModelState,
        node_index: int,
        previous: RequestModel,
        event: RequestEvent,
        is_late: bool = False,
    ) -> ModelState:
        """Returns the state after a request has handled an event and its effects were executed."""
        request = DurableRequest(
            KEY_DIGEST,
            str(previous.attempt),
            previous.incarnation,
            previous.claim_number,
            0,
            1,
            claim_deadline_ns=0 if is_late else 1,
            may_run_unrecorded=self.may_run_unrecorded,
        )
        request.state, request.is_abandoned, request.result = (
            previous.state,
            previous.is_abandoned,
            previous.result,
        )
        effects = request.handle(event, 0)
        node = state.nodes[node_index]
        updated = RequestModel(
            previous.attempt,
            request.state,
            previous.incarnation,
            previous.claim_number,
            request.is_abandoned,
            request.result,
        )
        is_key_known, queue, runs = node.is_key_known, node.queue, node.runs
        other_requests = [other for other in node.requests if other != previous]
        is_latest_claim = not any(
            other.claim_number > previous.claim_number and other.incarnation == previous.incarnation
            for other in other_requests
        )
        for effect in effects:
            if effect in WRITE_KIND_BY_EFFECT:
                queue = tuple(
                    queued._replace(
                        is_awaited=queued.is_awaited
                        and (queued.attempt, queued.claim_number)
                        != (previous.attempt, previous.claim_number)
                    )
                    for queued in queue
                )
                queue += (
                    QueuedWrite(
                        previous.attempt,
                        WRITE_KIND_BY_EFFECT[effect],
                        int(request.row_state),
                        previous.incarnation,
                        previous.claim_number,
                        request.result
                        if request.row_state is RequestState.SUCCESS_RECORDED
                        else b"",
                        True,
                    ),
                )
            if effect in ("start_run", "start_run_unrecorded"):
                runs += ((previous.attempt, previous.incarnation, "sent"),)
            if effect in EFFECTS_THAT_RELEASE_KEY and is_latest_claim:
                is_key_known = False
            if effect in EFFECTS_THAT_REGISTER_KEY:
                is_key_known = True
            if (
                effect in EFFECTS_THAT_REJECT
                and previous.attempt in state.executed_attempts
                and effect != "release"
            ):
                raise InvariantViolation("an attempt that ran was rejected", state)
        requests = (
            tuple(other_requests)
            if request.state
            in (RequestState.CLOSED, RequestState.SUCCESS_RECORDED, RequestState.FAILURE_RECORDED)
            else (*other_requests, updated)
        )
        return self.replace_node(
            state,
            node_index,
            node._replace(is_key_known=is_key_known, queue=queue, runs=runs, requests=requests),
        )

    def replace_request(
        self, state: ModelState, node_index: int, request: RequestModel, **changes: Any
    ) -> tuple[ModelState, RequestModel]:
        """Returns the state with one request changed, and the changed request."""
        changed = request._replace(**changes)
        node = state.nodes[node_index]
        requests = tuple(changed if other == request else other for other in node.requests)
        return self.replace_node(state, node_index, node._replace(requests=requests)), changed

    @staticmethod
    def replace_node(state: ModelState, node_index: int, node: NodeModel) -> ModelState:
        """Returns the state with one node replaced."""
        return state._replace(
            nodes=state.nodes[:node_index] + (node,) + state.nodes[node_index + 1 :]
        )

    @staticmethod
    def build_write(node_index: int, write: QueuedWrite) -> RecordWrite:
        """Returns the write in the form that the store takes."""
        state = ROW_STARTED if write.kind is WriteKind.CLAIM else write.state
        return RecordWrite(
            write.kind,
            RecordRow(
                KEY_DIGEST,
                state,
                f"n{node_index}",
                write.incarnation,
                write.claim_number,
                str(write.attempt),
                0,
                1,
                write.result,
            ),
        )
