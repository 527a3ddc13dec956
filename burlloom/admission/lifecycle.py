"""The lifecycle of a request: its states, the inputs that change them, and the transition table.

Read `TRANSITION_ROWS` first. When an input reaches a request in some state, the first row for both
whose tests all hold gives the next state and the effect. If no row applies, nothing happens. Tests
and effects are named; `state_machine.StateMachine` binds each name to the method that implements
it.

The table lists every rejection with its reason: a row with the effect `reject`, `reject_evicted`,
`reject_queue_full` or `reject_degraded` names the reason as its test, which `rejection_reasons`
implements.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from ..errors import BurlloomError
from .model import Outcome, Request, RequestClass

__all__ = [
    "TRANSITIONS",
    "BoundTransition",
    "Effect",
    "Input",
    "State",
    "Test",
    "TrackedRequest",
    "Transition",
    "TransitionTableError",
    "bind_transitions",
    "parse_transitions",
]

EARLY_REJECTION_SHARE = 0.5
"""The share of its time to the latency objective at which a queued request may be rejected.

When so much is left, its caller can still try another server.
"""


class State(IntEnum):
    """The state of a request. The order matters: the states of a started request are adjacent."""

    NEW = 0
    """Read, and not yet decided on."""

    QUEUED = 1
    """In the admission queue."""

    RUNNING = 2
    """Running in the executor."""

    AWAITING_CALL = 3
    """Started; waits until it may call the downstream dependency."""

    IN_CALL = 4
    """Started; its call to the downstream dependency is open."""

    ABANDONED = 5
    """Started and still running, but already answered or left by its caller."""

    AWAITING_RESULT = 6
    """A repeat that waits for the result of its original attempt."""

    FINISHED = 7
    """Ended after it ran: a repeat of it must not run."""

    DROPPED = 8
    """Ended without having run: a repeat of it may run."""


class Input(IntEnum):
    """The events that can reach a request."""

    ARRIVED = 0
    """The request was read."""

    SLOT_FREE = 1
    """A run slot is free, and the request is the newest in the queue."""

    EVICTED = 2
    """Another request takes its place in the queue."""

    TIMER = 3
    """A timer round."""

    CALLER_GONE = 4
    """Its caller no longer waits for the answer."""

    LEVEL_CHANGED = 5
    """The service level changed."""

    CALL_REQUESTED = 6
    """Its run asks to call the downstream dependency."""

    CALL_SLOT_FREE = 7
    """Its call may be made."""

    CALL_SUCCEEDED = 8
    """Its call was answered."""

    CALL_FAILED = 9
    """Its call ended in any other way."""

    RUN_ENDED = 10
    """Its run ended, or the result that it waits for is available."""

    NOT_NEEDED = 11
    """The executor did not begin its run, since nobody needs the result any more."""

    NOT_RECORDED = 12
    """Its run was not begun, since its key could not be recorded."""

    CLAIMED = 13
    """Its run was not begun, since another server runs it or ran it."""


INPUT_OF_UNSTARTED_RUN = {
    Outcome.NO_LONGER_NEEDED: Input.NOT_NEEDED,
    Outcome.NOT_RECORDED: Input.NOT_RECORDED,
    Outcome.CLAIMED_ELSEWHERE: Input.CLAIMED,
}
"""The input for each outcome of a run that was never begun."""

# The rows with `may_have_run` precede all rejections: a request whose original attempt ran is
# answered with that result under any load.
TRANSITION_ROWS = """
NEW              ARRIVED         may_have_run is_past_deadline    DROPPED          fail
NEW              ARRIVED         may_have_run is_at_run_capacity  DROPPED          fail
NEW              ARRIVED         may_have_run                     AWAITING_RESULT  reuse_result
NEW              ARRIVED         is_rejected_by_service_level     DROPPED          reject_degraded
NEW              ARRIVED         arrived_after_drain_grace        DROPPED          reject
NEW              ARRIVED         is_past_deadline                 DROPPED          reject
NEW              ARRIVED         cannot_meet_latency_objective    DROPPED          reject
NEW              ARRIVED         server_is_hung                   DROPPED          reject
NEW              ARRIVED         is_shed_for_failure_rate         DROPPED          reject
NEW              ARRIVED         key_cannot_be_recorded           DROPPED          reject
NEW              ARRIVED         queue_is_full                    DROPPED          reject_queue_full
NEW              ARRIVED         -                                QUEUED           enqueue
QUEUED           SLOT_FREE       cannot_meet_latency_objective    DROPPED          reject
QUEUED           SLOT_FREE       -                                RUNNING          start_run
QUEUED           EVICTED         -                                DROPPED          reject_evicted
QUEUED           TIMER           is_past_deadline                 DROPPED          reject
QUEUED           TIMER           cannot_meet_latency_objective    DROPPED          reject
QUEUED           CALLER_GONE     -                                DROPPED          forget_key
QUEUED           LEVEL_CHANGED   is_rejected_by_service_level     DROPPED          reject_degraded
RUNNING          CALL_REQUESTED  -                                AWAITING_CALL    enqueue_call
RUNNING          TIMER           is_past_deadline                 ABANDONED        fail
RUNNING          CALLER_GONE     -                                ABANDONED        -
RUNNING          RUN_ENDED       -                                FINISHED         cache_result
RUNNING          NOT_NEEDED      -                                DROPPED          forget_key
RUNNING          NOT_RECORDED    -                                DROPPED          reject
RUNNING          CLAIMED         -                                AWAITING_RESULT  reuse_result
AWAITING_CALL    CALL_SLOT_FREE  -                                IN_CALL          start_call
AWAITING_CALL    TIMER           is_past_deadline                 ABANDONED        fail
AWAITING_CALL    TIMER           may_skip_call should_skip_call   RUNNING          skip_call
AWAITING_CALL    CALLER_GONE     -                                ABANDONED        -
AWAITING_CALL    RUN_ENDED       -                                FINISHED         cache_result
IN_CALL          CALL_SUCCEEDED  -                                RUNNING          -
IN_CALL          CALL_FAILED     may_retry_call                   AWAITING_CALL    enqueue_call
IN_CALL          CALL_FAILED     may_skip_call                    RUNNING          skip_call
IN_CALL          CALL_FAILED     -                                ABANDONED        fail
IN_CALL          TIMER           is_past_deadline                 ABANDONED        fail
IN_CALL          CALLER_GONE     -                                ABANDONED        -
IN_CALL          RUN_ENDED       -                                FINISHED         cache_result
ABANDONED        RUN_ENDED       -                                FINISHED         -
ABANDONED        NOT_NEEDED      -                                DROPPED          forget_key
ABANDONED        NOT_RECORDED    -                                DROPPED          forget_key
ABANDONED        CLAIMED         -                                DROPPED          forget_key
AWAITING_RESULT  RUN_ENDED       -                                FINISHED         -
AWAITING_RESULT  NOT_NEEDED      -                                DROPPED          -
AWAITING_RESULT  TIMER           is_past_deadline                 DROPPED          fail
AWAITING_RESULT  CALLER_GONE     -                                DROPPED          -
"""


class TrackedRequest:
    """A request and its state.

    Attributes:
        request: The attempt as it was read.
        request_class: The class of the request.
        state: Its current state.
        arrived_at_ns: When it reached the server, before it was read.
        deadline_at_ns: When it is given up.
        answer_by_ns: The latest time for an answer of full value.
        early_rejection_at_ns: From when on it may be rejected early while others are queued.
        waiting_since_ns: When it began to wait in the admission queue or for its call, in awake
            time (`AwakeClock`).
        key_expires_at_ns: Until when its idempotency key is kept; 0 if no key is kept.
        ended_at_ns: When it ended; 0 before.
        successor: The attempt that replaced it, if any.
        last_outcome: How its last run or call ended; ABANDONED while a call is open.
    """

    __slots__ = (
        "answer_by_ns",
        "arrived_at_ns",
        "deadline_at_ns",
        "early_rejection_at_ns",
        "ended_at_ns",
        "key_expires_at_ns",
        "last_outcome",
        "request",
        "request_class",
        "state",
        "successor",
        "waiting_since_ns",
    )

    def __init__(self, request: Request, request_class: RequestClass, now: int) -> None:
        """Tracks a request that was just read.

        Args:
            request: The attempt as it was read.
            request_class: The class of the request.
            now: The host's clock, in ns.
        """
        self.request = request
        self.request_class = request_class
        self.state = State.NEW
        arrived_at_ns = now - request.unread_ns
        deadline_at_ns = max(
            now, request.deadline_at_ns or arrived_at_ns + request_class.deadline_ns
        )
        objective_at_ns = min(
            deadline_at_ns,
            arrived_at_ns
            + request_class.latency_objective_ns
            + int(request_class.latency_objective_stretch * request.cost_ns),
        )
        answer_by_ns = deadline_at_ns if request_class.late_value_share else objective_at_ns
        self.arrived_at_ns = arrived_at_ns
        self.deadline_at_ns = deadline_at_ns
        self.answer_by_ns = answer_by_ns
        self.early_rejection_at_ns = answer_by_ns - int(
            EARLY_REJECTION_SHARE * (answer_by_ns - arrived_at_ns)
        )
        self.waiting_since_ns = 0
        self.key_expires_at_ns = 0
        self.ended_at_ns = 0
        self.successor: TrackedRequest | None = None
        self.last_outcome = Outcome.OK


Test = Callable[[TrackedRequest, int], bool]
Effect = Callable[[TrackedRequest, int], None]
BoundTransition = tuple[tuple[Test, ...], State, Effect | None]


class TransitionTableError(BurlloomError):
    """A row of the transition table is invalid.

    Attributes:
        row: The row as it stands in the table.
        problem: What is wrong with the row.
    """

    def __init__(self, row: str, problem: str) -> None:
        """Creates the error.

        Args:
            row: The row as it stands in the table.
            problem: What is wrong with the row.
        """
        super().__init__(f"{problem}: {row!r}")
        self.row = row
        self.problem = problem


@dataclass(frozen=True, slots=True)
class Transition:
    """One row of the transition table.

    Attributes:
        state: The state in which the row applies.
        input: The input to which it applies.
        tests: The names of the tests that must all hold.
        next_state: The state that follows.
        effect: The name of its effect; "" for none.
    """

    state: State
    input: Input
    tests: tuple[str, ...]
    next_state: State
    effect: str


def parse_transitions(rows: str) -> tuple[Transition, ...]:
    """Parses a transition table.

    Args:
        rows: One row a line, with columns for state, input, one or more tests, next state and
            effect; `-` stands for no test or no effect.

    Raises:
        TransitionTableError: A row has too few columns, or names an unknown state or input.
    """
    transitions = []
    for row in filter(None, rows.split("\n")):
        columns = row.split()
        try:
            state, input_name, *tests, next_state, effect = columns
            if not tests:
                raise TransitionTableError(row, "a row needs at least one test, or - for none")
            transition = Transition(
                State[state],
                Input[input_name],
                tuple(test for test in tests if test != "-"),
                State[next_state],
                "" if effect == "-" else effect,
            )
        except (KeyError, ValueError) as error:
            raise TransitionTableError(
                row, f"wrong number of columns, or unknown state or input ({error})"
            ) from error
        transitions.append(transition)
    return tuple(transitions)


TRANSITIONS = parse_transitions(TRANSITION_ROWS)


def bind_transitions(
    transitions: tuple[Transition, ...],
    tests: Mapping[str, Test],
    effects: Mapping[str, Effect],
) -> list[list[tuple[BoundTransition, ...]]]:
    """Replaces names by methods once, so that no name is looked up while requests are handled.

    Args:
        transitions: The transition table.
        tests: The tests by name.
        effects: The effects by name.

    Returns:
        The transitions by state and then by input, in the order of the table.

    Raises:
        TransitionTableError: A row names an unknown test or effect.
    """
    table: list[list[list[BoundTransition]]] = [[[] for _ in Input] for _ in State]
    for row in transitions:
        try:
            bound_tests = tuple(tests[name] for name in row.tests)
            effect = effects[row.effect] if row.effect else None
        except KeyError as error:
            raise TransitionTableError(str(row), f"unknown test or effect {error}") from error
        table[row.state][row.input].append((bound_tests, row.next_state, effect))
    return [[tuple(bound) for bound in by_input] for by_input in table]
