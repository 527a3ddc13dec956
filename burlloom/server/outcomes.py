"""Maps statuses of runs and calls to outcomes, and the dispatcher's directives to answers."""

from ..admission.model import Outcome
from ..dispatcher import Directive, DirectiveKind
from ..downstream import CallStatus
from ..executor import RunStatus
from ..rpc import IncomingRequest

RUN_OUTCOMES = {
    RunStatus.PASSED: Outcome.OK,
    RunStatus.FAILED: Outcome.FAILED,
    RunStatus.KILLED: Outcome.ABANDONED,
    RunStatus.UNCERTAIN: Outcome.ABANDONED,
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


def send_answer(request: IncomingRequest, directive: Directive) -> None:
    """Answers a request with the dispatcher's final directive for it."""
    match directive.kind:
        case DirectiveKind.COMPLETE | DirectiveKind.COMPLETE_AS_ORIGINAL:
            request.complete(directive.body)
        case DirectiveKind.REJECT:
            request.reject(directive.retry_after_ns, directive.is_final)
        case _:
            request.fail()
