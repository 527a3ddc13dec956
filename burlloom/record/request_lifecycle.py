"""The state machine of one keyed request: what one node knows of a request that must not run twice.

No I/O. A `DurableRequest` stands for one attempt's claim on a key digest, from the moment that the
admission controller starts it until its outcome is durable. A claim that an earlier incarnation of
this node left behind is read back into one too. The owner passes each event to `handle`, which
moves the request by `TABLE` and names the effects that are to follow.
tests/test_request_lifecycle.py walks the same table exhaustively, with a crash at every step.
"""

from collections.abc import Callable
from enum import IntEnum, auto

__all__ = ["RULES", "TABLE", "DurableRequest", "RequestEvent", "RequestState", "parse_rules"]


class RequestState(IntEnum):
    """Where a request stands; RUNNING and the two RECORDED states are stored as numbers."""

    NEW = 0
    """Nothing is known of it here."""
    CLAIMING = 1
    """The claim is on its way to the store; the run has not begun."""
    RUNNING = 2
    """The run may have begun."""
    SUCCEEDED = 3
    """It ended with a result that is on its way to the store."""
    FAILED = 4
    """It ended without a result to give, and that is on its way to the store."""
    SUCCESS_RECORDED = 5
    """The result is durable."""
    FAILURE_RECORDED = 6
    """The end without a result is durable."""
    WITHDRAWING = 7
    """It never ran, and its claim is being deleted."""
    CLAIMED_ELSEWHERE = 8
    """Another incarnation of some node holds the claim."""
    AWAITING_EXECUTOR = 9
    """An earlier incarnation began it, and its executor lived on and may still report the end."""
    IN_DOUBT = 10
    """Nobody can tell whether it ran."""
    CLOSED = 11
    """Nothing is left to do."""


class RequestEvent(IntEnum):
    """What can happen to a request; the store's answers to a write are among these."""

    STARTED = 0
    """The admission controller starts it."""
    WRITE_APPLIED = auto()
    """The last write is durable."""
    WRITE_FAILED = auto()
    """The last write surely did not take effect."""
    WRITE_UNCERTAIN = auto()
    """Nobody knows whether the last write took effect."""
    FENCED = auto()
    """This incarnation may write no more."""
    FOUND_CLAIMED = auto()
    """The store holds another claim whose run has not ended."""
    FOUND_RESULT = auto()
    """The store holds another claim's result."""
    FOUND_NO_RESULT = auto()
    """The store holds another claim's end, without a result to give."""
    NOT_FOUND = auto()
    """The store holds no row for this key digest."""
    STORE_TIMED_OUT = auto()
    """The store has used up its share of the request's time."""
    ABANDONED = auto()
    """The admission controller gave the request up before its run began."""
    RUN_SUCCEEDED = auto()
    """The executor reports that it ran, with a result."""
    RUN_FAILED = auto()
    """The executor reports that it ran, without a result."""
    NEVER_RAN = auto()
    """The executor reports that it never ran."""
    RETRY_RECEIVED = auto()
    """A marked retry that is not known here; the store's answer for its key digest follows."""
    RECOVERED_RUNNING = auto()
    """Read back after a start: begun, and the executor may still report its end."""
    RECOVERED_IN_DOUBT = auto()
    """Read back after a start: begun, and the executor is gone too."""
    EXECUTOR_SILENT = auto()
    """The executor will not report any more."""
    RESOLVED_AS_RAN = auto()
    """An operator decided that it ran."""
    RESOLVED_AS_NEVER_RAN = auto()
    """An operator decided that it never ran."""
    WINDOW_EXPIRED = auto()
    """Its idempotency window is over."""


# State, event, guards that must all hold, next state, effects in order. The first row that fits
# applies; an event without a row is ignored.
TABLE = """
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
AWAITING_EXECUTOR RESOLVED_AS_NEVER_RAN                 WITHDRAWING       resolve_as_never_ran
AWAITING_EXECUTOR EXECUTOR_SILENT                    IN_DOUBT          mark_in_doubt
AWAITING_EXECUTOR WINDOW_EXPIRED                     CLOSED            fail
IN_DOUBT          RUN_SUCCEEDED                      SUCCEEDED         resolve_as_succeeded
IN_DOUBT          RUN_FAILED                         FAILED            resolve_as_failed
IN_DOUBT          NEVER_RAN                          WITHDRAWING       resolve_as_never_ran
IN_DOUBT          RESOLVED_AS_RAN                    FAILED            resolve_as_failed
IN_DOUBT          RESOLVED_AS_NEVER_RAN                 WITHDRAWING       resolve_as_never_ran
IN_DOUBT          WINDOW_EXPIRED                     CLOSED            -
"""


class DurableRequest:
    """One attempt's claim on a key digest. All times are wall-clock nanoseconds.

    Attributes:
        key_digest: Digest over request class, idempotency key and body.
        request_id: The attempt's identifier.
        incarnation: The incarnation of the node that made the claim.
        claim_number: The claim's number within that incarnation.
        started_at_ns: When the claim was made.
        expires_at_ns: When the idempotency window ends.
        claim_deadline_ns: Until when the store may answer the claim.
        may_run_unrecorded: Whether it may run although the store did not take its claim.
        state: The present state; changed by `handle` alone.
        is_abandoned: Whether the admission controller has given it up.
        result: The result to store or to deliver.
        write_count: The number of writes sent for it; only the answer to the last one counts.
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
        """Takes the attributes of the same names."""
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
        """Applies the first matching row of the table and returns its effects, in order."""
        if event is RequestEvent.ABANDONED:
            self.is_abandoned = True
        for guards, next_state, effects in RULES.get((self.state, event), ()):
            if all(guard(self, now_ns) for guard in guards):
                self.state = next_state
                return effects
        return ()

    @property
    def row_state(self) -> RequestState:
        """The state that a write of this request stores."""
        return ROW_STATES.get(self.state, RequestState.RUNNING)


ROW_STATES = {
    RequestState.SUCCEEDED: RequestState.SUCCESS_RECORDED,
    RequestState.FAILED: RequestState.FAILURE_RECORDED,
}

Guard = Callable[[DurableRequest, int], bool]
Rule = tuple[tuple[Guard, ...], RequestState, tuple[str, ...]]
Rules = dict[tuple[RequestState, RequestEvent], list[Rule]]


def is_abandoned(request: DurableRequest, now_ns: int) -> bool:
    """Whether the admission controller has given the request up."""
    return request.is_abandoned


def may_run_unrecorded(request: DurableRequest, now_ns: int) -> bool:
    """Whether the request may run although the store did not take its claim."""
    return request.may_run_unrecorded


def is_claim_late(request: DurableRequest, now_ns: int) -> bool:
    """Whether the store's time for the claim is over."""
    return now_ns >= request.claim_deadline_ns


GUARDS: dict[str, Guard] = {
    "abandoned": is_abandoned,
    "unrecorded": may_run_unrecorded,
    "late": is_claim_late,
}
NO_EFFECT = "-"


def parse_rules(table: str) -> Rules:
    """Reads a table in the form of `TABLE`.

    Raises:
        KeyError: A state, an event or a guard is unknown.
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


RULES = parse_rules(TABLE)
