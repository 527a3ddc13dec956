"""What executor, downstream and dispatcher call the end of a run, of a call and of a request."""

from ..admission.model import Outcome
from ..dispatcher import Kind, Step
from ..downstream import Answer
from ..executor import End
from ..rpc import IncomingRequest

RUN_OUTCOMES = {
    End.PASS: Outcome.OK,
    End.FAIL: Outcome.FAILED,
    End.KILLED: Outcome.ABANDONED,
    End.NOOP: Outcome.NO_LONGER_NEEDED,
    End.BAD: Outcome.NO_LONGER_NEEDED,
}
CALL_OUTCOMES = {
    Answer.WELL: Outcome.OK,
    Answer.DECLINED: Outcome.OVERLOADED,
    Answer.UNWANTED: Outcome.NO_LONGER_NEEDED,
    Answer.UNREACHED: Outcome.UNREACHABLE,
    Answer.FAILED: Outcome.FAILED,
    Answer.OUT_OF_TIME: Outcome.TIMED_OUT,
    Answer.BROKEN: Outcome.CONNECTION_LOST,
}


def send_answer(request: IncomingRequest, step: Step) -> None:
    """Answers a request as the dispatcher's last step for it says."""
    match step.kind:
        case Kind.SETTLE | Kind.SETTLE_AS:
            request.settle(step.body)
        case Kind.DECLINE:
            request.refuse(step.stay_away, step.final)
        case _:
            request.fail()
