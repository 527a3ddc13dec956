"""The lifecycle of a request: its states, the inputs that move it, and the table of transitions.

Read `TRANSITIONS` first. A request in a state meets an input; of the rows for both, the first whose
tests all hold moves it to the next state and has its effect. Where no row holds, nothing happens.
Tests and effects are names; `state_machine.StateMachine` binds each to the method that implements
it.

Every rejection stands here with its reason: a row that ends in `reject` (or in `reject_evicted`,
`reject_queue_full`, `reject_degraded`) names it by its test, and `rejection_reasons.py`
has that test.
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
"""Share of its time to the latency objective that a queued request is given back with, so that its
caller can still try another server."""


class State(IntEnum):
    """Where a request stands. The order matters: the states of a started request are adjacent."""

    NEW = 0
    """Read, and not yet decided upon."""

    QUEUED = 1
    """In the admission queue (the source's jostle list)."""

    RUNNING = 2
    """Run by the executor."""

    AWAITING_CALL = 3
    """Started; waits for its turn to call the downstream dependency."""

    IN_CALL = 4
    """Started; its call to the downstream dependency is made."""

    ABANDONED = 5
    """Started and still run, but answered already or left by its caller."""

    AWAITING_RESULT = 6
    """A repeat that gets the result of its original attempt."""

    FINISHED = 7
    """Over, and it ran: a repeat of it must not run."""

    DROPPED = 8
    """Over, and it did not run: a repeat of it may run."""


class Input(IntEnum):
    """What a request can meet."""

    ARRIVED = 0
    """It was read."""

    SLOT_FREE = 1
    """A run slot is free, and it is the newest in the queue."""

    EVICTED = 2
    """Another request takes its place in the queue."""

    TIMER = 3
    """A timer round."""

    CALLER_GONE = 4
    """Its caller does not wait any more."""

    LEVEL_CHANGED = 5
    """A service level holds from now on."""

    CALL_REQUESTED = 6
    """Its run wants to call the downstream dependency."""

    CALL_SLOT_FREE = 7
    """It may call."""

    CALL_SUCCEEDED = 8
    """Its call was answered."""

    CALL_FAILED = 9
    """Its call ended in any other way."""

    RUN_ENDED = 10
    """Its run ended, or the result that it waits for is there."""

    NOT_NEEDED = 11
    """The executor did not begin its run, since nobody needs it any more."""

    NOT_RECORDED = 12
    """Its run was not begun, since its key could not be recorded."""

    CLAIMED = 13
    """Its run was not begun, since another server runs or ran it."""


INPUT_OF_UNSTARTED_RUN = {
    Outcome.NO_LONGER_NEEDED: Input.NOT_NEEDED,
    Outcome.NOT_RECORDED: Input.NOT_RECORDED,
    Outcome.CLAIMED_ELSEWHERE: Input.CLAIMED,
}
"""The input for each outcome which says that a run was never begun."""

# The rows of what ran come before all that reject: a request whose original attempt ran is answered
# with that result, whatever the load.
TRANSITION_ROWS = """
NEW              ARRIVED         may_have_run is_past_deadline    DROPPED          fail
NEW              ARRIVED         may_have_run no_repeat_capacity  DROPPED          fail
NEW              ARRIVED         may_have_run                     AWAITING_RESULT  reuse_result
NEW              ARRIVED         is_rejected_by_service_level     DROPPED          reject_degraded
NEW              ARRIVED         arrived_after_drain_grace        DROPPED          reject
NEW              ARRIVED         is_past_deadline                 DROPPED          reject
NEW              ARRIVED         cannot_meet_latency_objective    DROPPED          reject
NEW              ARRIVED         server_is_hung                   DROPPED          reject
NEW              ARRIVED         is_shed_for_failure_rate         DROPPED          reject
NEW              ARRIVED         key_cannot_be_recorded               DROPPED          reject
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
    """A request and where it stands.

    Attributes:
        request: the attempt as it was read.
        request_class: its class.
        state: where it stands.
        arrived_at_ns: when it reached the server, before it was read.
        deadline_at_ns: when it is given up.
        answer_by_ns: when an answer must be there to be worth its full value.
        early_rejection_at_ns: from when on it is given back while others are queued.
        waiting_since_ns: when it began to wait in the admission queue or for its call, in awake
            time (`AwakeClock`).
        key_expires_at_ns: until when its idempotency key is kept; 0 where it is not.
        ended_at_ns: when it was over; 0 before.
        successor: the attempt that stands in its place, if it was replaced.
        last_outcome: how its last run or call ended; ABANDONED while a call is open.
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
        """Tracks a request from its reading on.

        Args:
            request: the attempt as it was read.
            request_class: its class.
            now: the host's clock in ns.
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
    """A row of the table of transitions cannot be read.

    Attributes:
        row: the row as it stands in the table.
        problem: what is wrong with it.
    """

    def __init__(self, row: str, problem: str) -> None:
        """Makes the error.

        Args:
            row: the row as it stands in the table.
            problem: what is wrong with it.
        """
        super().__init__(f"{problem}: {row!r}")
        self.row = row
        self.problem = problem


@dataclass(frozen=True, slots=True)
class Transition:
    """One row of the table.

    Attributes:
        state: the state in which it applies.
        input: the input that it applies to.
        tests: names of the tests that must all hold.
        next_state: the state that it leads to.
        effect: the name of its effect; "" for none.
    """

    state: State
    input: Input
    tests: tuple[str, ...]
    next_state: State
    effect: str


def parse_transitions(rows: str) -> tuple[Transition, ...]:
    """Reads a table: a row a line of state, input, tests, next state and effect; `-` is none.

    Raises:
        TransitionTableError: a row is too short, or names a state or input that there is not.
    """
    transitions = []
    for row in filter(None, rows.split("\n")):
        columns = row.split()
        try:
            state, what, *tests, next_state, effect = columns
            if not tests:
                raise TransitionTableError(row, "a row needs a test, or -")
            transition = Transition(
                State[state],
                Input[what],
                tuple(test for test in tests if test != "-"),
                State[next_state],
                "" if effect == "-" else effect,
            )
        except (KeyError, ValueError) as error:
            raise TransitionTableError(row, f"unreadable ({error})") from error
        transitions.append(transition)
    return tuple(transitions)


TRANSITIONS = parse_transitions(TRANSITION_ROWS)


def bind_transitions(
    transitions: tuple[Transition, ...],
    tests: Mapping[str, Test],
    effects: Mapping[str, Effect],
) -> list[list[tuple[BoundTransition, ...]]]:
    """Puts the methods in place of the names, once, so that no name is looked up at run time.

    Args:
        transitions: the table.
        tests: each test by its name.
        effects: each effect by its name.

    Returns:
        The transitions by state and then by input, in the order of the table.

    Raises:
        TransitionTableError: a row names a test or an effect that there is not.
    """
    table: list[list[list[BoundTransition]]] = [[[] for _ in Input] for _ in State]
    for row in transitions:
        try:
            bound_tests = tuple(tests[name] for name in row.tests)
            effect = effects[row.effect] if row.effect else None
        except KeyError as error:
            raise TransitionTableError(str(row), f"no test or effect {error}") from error
        table[row.state][row.input].append((bound_tests, row.next_state, effect))
    return [[tuple(found) for found in by_input] for by_input in table]
