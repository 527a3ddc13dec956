"""What executor, downstream and dispatcher call the end of a run, of a call and of a request."""

from ..admission.model import Outcome
from ..dispatcher import Directive, DirectiveKind
from ..downstream import CallStatus
from ..executor import RunStatus
from ..rpc import IncomingRequest

RUN_OUTCOMES = {
    RunStatus.PASSED: Outcome.OK,
    RunStatus.FAILED: Outcome.FAILED,
    RunStatus.KILLED: Outcome.ABANDONED,
    RunStatus.NO_LONGER_NEEDED: Outcome.NO_LONGER_NEEDED,
    RunStatus.REJECTED: Outcome.NO_LONGER_NEEDED,
}
CALL_OUTCOMES = {
    CallStatus.OK: Outcome.OK,
    CallStatus.REJECTED: Outcome.OVERLOADED,
    CallStatus.NO_LONGER_NEEDED: Outcome.NO_LONGER_NEEDED,
    CallStatus.UNREACHABLE: Outcome.UNREACHABLE,
    CallStatus.FAILED: Outcome.FAILED,
    CallStatus.TIMED_OUT: Outcome.TIMED_OUT,
    CallStatus.CONNECTION_LOST: Outcome.CONNECTION_LOST,
}


def send_answer(request: IncomingRequest, step: Directive) -> None:
    """Answers a request as the dispatcher's last step for it says."""
    match step.kind:
        case DirectiveKind.COMPLETE | DirectiveKind.COMPLETE_AS_ORIGINAL:
            request.complete(step.body)
        case DirectiveKind.REJECT:
            request.reject(step.retry_after_ns, step.is_final)
        case _:
            request.fail()
