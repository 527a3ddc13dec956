"""The state machine of a keyed request, which must not run twice. Does no I/O.

A `DurableRequest` is one attempt's claim on a key digest, from the moment the admission controller
starts the attempt until its outcome is durable. It also represents a claim that an earlier
incarnation of this node left in the store. The owner passes each event to `handle`, which
moves the request by `TRANSITION_TABLE` and returns the effects to execute.
tests/test_request_lifecycle.py explores the same table exhaustively, with crashes at every step.
"""

from collections.abc import Callable
from enum import IntEnum, auto

__all__ = [
    "TRANSITION_RULES",
    "TRANSITION_TABLE",
    "DurableRequest",
    "RequestEvent",
    "RequestState",
    "parse_rules",
]


class RequestState(IntEnum):
    """The state of a request; RUNNING and the two RECORDED states are stored by number."""

    NEW = 0
    """This node knows nothing about the key yet."""
    CLAIMING = 1
    """The claim was sent to the store; the run has not started."""
    RUNNING = 2
    """The run may have started."""
    SUCCEEDED = 3
    """The run ended with a result, which is not yet durable."""
    FAILED = 4
    """The run ended without a result, which is not yet durable."""
    SUCCESS_RECORDED = 5
    """The result is durable."""
    FAILURE_RECORDED = 6
    """The end of the run without a result is durable."""
    WITHDRAWING = 7
    """The request never ran, and its claim is being deleted."""
    CLAIMED_ELSEWHERE = 8
    """Another incarnation or another node holds the claim."""
    AWAITING_EXECUTOR = 9
    """An earlier incarnation started the run; its executor still runs and may report the end."""
    IN_DOUBT = 10
    """It is unknown whether the request ran."""
    CLOSED = 11
    """The request needs no further action."""


class RequestEvent(IntEnum):
    """The events of a request, including the store's answers to its writes."""

    STARTED = 0
    """The admission controller started the request."""
    WRITE_APPLIED = auto()
    """The last write is durable."""
    WRITE_FAILED = auto()
    """The last write certainly did not take effect."""
    WRITE_UNCERTAIN = auto()
    """It is unknown whether the last write took effect."""
    FENCED = auto()
    """This incarnation may no longer write."""
    FOUND_CLAIMED = auto()
    """The store holds another claim, whose run has not ended."""
    FOUND_RESULT = auto()
    """The store holds another claim's result."""
    FOUND_NO_RESULT = auto()
    """The store holds another claim that has ended, or can no longer end, without a result."""
    NOT_FOUND = auto()
    """The store holds no row for this key digest."""
    STORE_TIMED_OUT = auto()
    """The store did not answer within its share of the latency objective."""
    ABANDONED = auto()
    """The admission controller gave the request up before its run started."""
    RUN_SUCCEEDED = auto()
    """The executor reports a run that ended with a result."""
    RUN_FAILED = auto()
    """The executor reports a run that ended without a result."""
    NEVER_RAN = auto()
    """The executor reports that the request never ran."""
    RETRY_RECEIVED = auto()
    """A marked retry arrived whose key this node does not know; a lookup follows."""
    RECOVERED_RUNNING = auto()
    """Recovered at startup: the run had started, and the executor may still report its end."""
    RECOVERED_IN_DOUBT = auto()
    """Recovered at startup: the run had started, and its executor has ended too."""
    EXECUTOR_SILENT = auto()
    """The executor did not report the end of the run in time."""
    RESOLVED_AS_RAN = auto()
    """An operator decided that the request ran."""
    RESOLVED_AS_NEVER_RAN = auto()
    """An operator decided that the request never ran."""
    WINDOW_EXPIRED = auto()
    """The idempotency window has ended."""


# Columns: state, event, guards that must all hold, next state, effects in order. The first matching
# row applies; an event without a matching row is ignored.
TRANSITION_TABLE = """
NEW               STARTED                            CLAIMING          claim
NEW               RETRY_RECEIVED                     NEW               look_up
NEW               FOUND_CLAIMED                      CLAIMED_ELSEWHERE register+poll
NEW               FOUND_RESULT                       CLOSED            register+deliver_result
NEW               FOUND_NO_RESULT                    CLOSED            register+fail
NEW               NOT_FOUND                          CLOSED            -
NEW               FENCED                             CLOSED            -
NEW               WRITE_FAILED                       CLOSED            -
NEW               WRITE_UNCERTAIN                    CLOSED            -
NEW               STORE_TIMED_OUT                    CLOSED            -
NEW               RECOVERED_RUNNING                  AWAITING_EXECUTOR -
NEW               RECOVERED_IN_DOUBT                 IN_DOUBT          mark_in_doubt
CLAIMING          ABANDONED                          CLAIMING          -
CLAIMING          WRITE_APPLIED      abandoned       WITHDRAWING       report_never_ran+withdraw
CLAIMING          WRITE_APPLIED                      RUNNING           start_run
CLAIMING          WRITE_FAILED       abandoned       CLOSED            report_never_ran
CLAIMING          WRITE_FAILED       unrecorded      RUNNING           start_run_unrecorded
CLAIMING          WRITE_FAILED                       CLOSED            reject
CLAIMING          FENCED                             CLOSED            reject
CLAIMING          WRITE_UNCERTAIN    abandoned       WITHDRAWING       report_never_ran+withdraw
CLAIMING          WRITE_UNCERTAIN    late unrecorded RUNNING           start_run_unrecorded
CLAIMING          WRITE_UNCERTAIN    late            WITHDRAWING       reject+withdraw
CLAIMING          WRITE_UNCERTAIN                    CLAIMING          retry_claim
CLAIMING          STORE_TIMED_OUT    abandoned       WITHDRAWING       report_never_ran+withdraw
CLAIMING          STORE_TIMED_OUT    unrecorded      RUNNING           start_run_unrecorded
CLAIMING          STORE_TIMED_OUT                    WITHDRAWING       reject+withdraw
CLAIMING          FOUND_CLAIMED      abandoned       CLOSED            report_never_ran
CLAIMING          FOUND_CLAIMED                      CLAIMED_ELSEWHERE follow+poll
CLAIMING          FOUND_RESULT                       CLOSED            follow+deliver_result
CLAIMING          FOUND_NO_RESULT                    CLOSED            follow+fail
RUNNING           FOUND_CLAIMED                      RUNNING           report_conflict
RUNNING           FOUND_RESULT                       RUNNING           report_conflict
RUNNING           FOUND_NO_RESULT                    RUNNING           report_conflict
RUNNING           RUN_SUCCEEDED                      SUCCEEDED         finish
RUNNING           RUN_FAILED                         FAILED            finish
RUNNING           NEVER_RAN                          WITHDRAWING       withdraw
SUCCEEDED         WRITE_APPLIED                      SUCCESS_RECORDED  -
SUCCEEDED         FENCED                             SUCCESS_RECORDED  report_conflict
SUCCEEDED         FOUND_CLAIMED                      SUCCESS_RECORDED  report_conflict
SUCCEEDED         FOUND_RESULT                       SUCCESS_RECORDED  report_conflict
SUCCEEDED         FOUND_NO_RESULT                    SUCCESS_RECORDED  report_conflict
SUCCEEDED         NOT_FOUND                          SUCCEEDED         insert
SUCCEEDED         WRITE_FAILED                       SUCCEEDED         retry_finish
SUCCEEDED         WRITE_UNCERTAIN                    SUCCEEDED         retry_finish
SUCCEEDED         WINDOW_EXPIRED                     CLOSED            -
FAILED            WRITE_APPLIED                      FAILURE_RECORDED  -
FAILED            FENCED                             FAILURE_RECORDED  report_conflict
FAILED            FOUND_CLAIMED                      FAILURE_RECORDED  report_conflict
FAILED            FOUND_RESULT                       FAILURE_RECORDED  report_conflict
FAILED            FOUND_NO_RESULT                    FAILURE_RECORDED  report_conflict
FAILED            NOT_FOUND                          FAILED            insert
FAILED            WRITE_FAILED                       FAILED            retry_finish
FAILED            WRITE_UNCERTAIN                    FAILED            retry_finish
FAILED            WINDOW_EXPIRED                     CLOSED            -
WITHDRAWING       WRITE_APPLIED                      CLOSED            -
WITHDRAWING       NOT_FOUND                          CLOSED            -
WITHDRAWING       FENCED                             CLOSED            -
WITHDRAWING       FOUND_CLAIMED                      CLOSED            -
WITHDRAWING       FOUND_RESULT                       CLOSED            -
WITHDRAWING       FOUND_NO_RESULT                    CLOSED            -
WITHDRAWING       WRITE_FAILED                       WITHDRAWING       retry_withdraw
WITHDRAWING       WRITE_UNCERTAIN                    WITHDRAWING       retry_withdraw
WITHDRAWING       WINDOW_EXPIRED                     CLOSED            -
CLAIMED_ELSEWHERE FOUND_CLAIMED                      CLAIMED_ELSEWHERE poll
CLAIMED_ELSEWHERE WRITE_FAILED                       CLAIMED_ELSEWHERE poll
CLAIMED_ELSEWHERE WRITE_UNCERTAIN                    CLAIMED_ELSEWHERE poll
CLAIMED_ELSEWHERE FOUND_RESULT                       CLOSED            deliver_result
CLAIMED_ELSEWHERE FOUND_NO_RESULT                    CLOSED            fail
CLAIMED_ELSEWHERE NOT_FOUND                          CLOSED            release
CLAIMED_ELSEWHERE FENCED                             CLOSED            fail
CLAIMED_ELSEWHERE ABANDONED                          CLOSED            forget
CLAIMED_ELSEWHERE WINDOW_EXPIRED                     CLOSED            fail
AWAITING_EXECUTOR RUN_SUCCEEDED                      SUCCEEDED         resolve_as_succeeded
AWAITING_EXECUTOR RUN_FAILED                         FAILED            resolve_as_failed
AWAITING_EXECUTOR NEVER_RAN                          WITHDRAWING       resolve_as_never_ran
AWAITING_EXECUTOR RESOLVED_AS_RAN                    FAILED            resolve_as_failed
AWAITING_EXECUTOR RESOLVED_AS_NEVER_RAN              WITHDRAWING       resolve_as_never_ran
AWAITING_EXECUTOR EXECUTOR_SILENT                    IN_DOUBT          mark_in_doubt
AWAITING_EXECUTOR WINDOW_EXPIRED                     CLOSED            fail
IN_DOUBT          RUN_SUCCEEDED                      SUCCEEDED         resolve_as_succeeded
IN_DOUBT          RUN_FAILED                         FAILED            resolve_as_failed
IN_DOUBT          NEVER_RAN                          WITHDRAWING       resolve_as_never_ran
IN_DOUBT          RESOLVED_AS_RAN                    FAILED            resolve_as_failed
IN_DOUBT          RESOLVED_AS_NEVER_RAN              WITHDRAWING       resolve_as_never_ran
IN_DOUBT          WINDOW_EXPIRED                     CLOSED            -
"""


class DurableRequest:
    """One attempt's claim on a key digest. All times are wall-clock nanoseconds.

    Attributes:
        key_digest: The digest of request class, idempotency key and body.
        request_id: The attempt's identifier.
        incarnation: The incarnation of the node that made the claim.
        claim_number: The number of the claim within that incarnation.
        started_at_ns: When the claim was made.
        expires_at_ns: When the idempotency window ends.
        claim_deadline_ns: When the store's time for answering the claim ends.
        may_run_unrecorded: Whether the request may run without a durable claim.
        state: The current state; changed only by `handle`.
        is_abandoned: Whether the admission controller has given the request up.
        result: The result to store or to deliver.
        write_count: The number of writes sent; only the answer to the last one is handled.
    """

    __slots__ = (
        "key_digest",
        "request_id",
        "incarnation",
        "claim_number",
        "started_at_ns",
        "expires_at_ns",
        "claim_deadline_ns",
        "state",
        "is_abandoned",
        "may_run_unrecorded",
        "result",
        "write_count",
    )

    def __init__(
        self,
        key_digest: bytes,
        request_id: str,
        incarnation: int,
        claim_number: int,
        started_at_ns: int,
        expires_at_ns: int,
        *,
        claim_deadline_ns: int = 0,
        may_run_unrecorded: bool = False,
    ) -> None:
        """Creates a request in state NEW; the parameters are the attributes of the same names."""
        self.key_digest = key_digest
        self.request_id = request_id
        self.incarnation = incarnation
        self.claim_number = claim_number
        self.started_at_ns = started_at_ns
        self.expires_at_ns = expires_at_ns
        self.claim_deadline_ns = claim_deadline_ns
        self.may_run_unrecorded = may_run_unrecorded
        self.state = RequestState.NEW
        self.is_abandoned = False
        self.result = b""
        self.write_count = 0

    def handle(self, event: RequestEvent, now_ns: int) -> tuple[str, ...]:
        """Applies the first matching row of `TRANSITION_TABLE` and returns its effects in order."""
        if event is RequestEvent.ABANDONED:
            self.is_abandoned = True
        for guards, next_state, effects in TRANSITION_RULES.get((self.state, event), ()):
            if all(guard(self, now_ns) for guard in guards):
                self.state = next_state
                return effects
        return ()

    @property
    def row_state(self) -> RequestState:
        """The state that the next write of this request stores."""
        return ROW_STATE_BY_REQUEST_STATE.get(self.state, RequestState.RUNNING)


ROW_STATE_BY_REQUEST_STATE = {
    RequestState.SUCCEEDED: RequestState.SUCCESS_RECORDED,
    RequestState.FAILED: RequestState.FAILURE_RECORDED,
}

Guard = Callable[[DurableRequest, int], bool]
Rule = tuple[tuple[Guard, ...], RequestState, tuple[str, ...]]
Rules = dict[tuple[RequestState, RequestEvent], list[Rule]]


def is_abandoned(request: DurableRequest, now_ns: int) -> bool:
    """Returns whether the admission controller has given the request up."""
    return request.is_abandoned


def may_run_unrecorded(request: DurableRequest, now_ns: int) -> bool:
    """Returns whether the request may run without a durable claim."""
    return request.may_run_unrecorded


def is_claim_late(request: DurableRequest, now_ns: int) -> bool:
    """Returns whether the claim deadline has passed."""
    return now_ns >= request.claim_deadline_ns


GUARDS: dict[str, Guard] = {
    "abandoned": is_abandoned,
    "unrecorded": may_run_unrecorded,
    "late": is_claim_late,
}
NO_EFFECT = "-"


def parse_rules(table: str) -> Rules:
    """Parses a table in the format of `TRANSITION_TABLE`.

    Raises:
        KeyError: A state, event or guard is unknown.
    """
    parsed: Rules = {}
    for line in filter(None, table.split("\n")):
        state, event, *guards, next_state, effects = line.split()
        rule = (
            tuple(GUARDS[guard] for guard in guards),
            RequestState[next_state],
            () if effects == NO_EFFECT else tuple(effects.split("+")),
        )
        parsed.setdefault((RequestState[state], RequestEvent[event]), []).append(rule)
    return parsed


TRANSITION_RULES = parse_rules(TRANSITION_TABLE)
