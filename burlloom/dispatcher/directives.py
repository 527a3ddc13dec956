"""What the dispatcher tells the server to do with a request."""

from dataclasses import dataclass
from enum import Enum


class DirectiveKind(Enum):
    """What to do next; all but the first three are the request's answer.

    RUN: run it. CALL: make the call that its run asked for. RECALL_RESULT: look its result up
    outside of our memory. COMPLETE: answer with its result. COMPLETE_AS_ORIGINAL: answer with the
    result of the original attempt. REJECT: answer that it is not served. FAIL: answer with an
    error; it may have run.
    """

    RUN = "run"
    CALL = "call"
    RECALL_RESULT = "recall_result"
    COMPLETE = "complete"
    COMPLETE_AS_ORIGINAL = "complete_as_original"
    REJECT = "reject"
    FAIL = "fail"


@dataclass(frozen=True, slots=True)
class Directive:
    """One thing to do with a request.

    Attributes:
        kind: What to do.
        give_up_at_ns: CALL: when to give the call up.
        is_repeatable: CALL: whether a call may be made again whose outcome is not known.
        body: CALL: the call's body. COMPLETE, COMPLETE_AS_ORIGINAL: the result.
        key_digest: All but FAIL and REJECT: the digest that all attempts of the request share;
            empty where none do.
        retry_after_ns: REJECT: how long the caller should stay away.
        is_final: REJECT: whether it should not be tried at another server either.
    """

    kind: DirectiveKind
    give_up_at_ns: int = 0
    is_repeatable: bool = True
    body: bytes = b""
    key_digest: bytes = b""
    retry_after_ns: int = 0
    is_final: bool = False


def complete_as_original(result: bytes | None, key_digest: bytes) -> Directive:
    """Returns the answer to a duplicate whose original has ended; FAIL where it has no result."""
    if result is None:
        return Directive(DirectiveKind.FAIL)
    return Directive(DirectiveKind.COMPLETE_AS_ORIGINAL, body=result, key_digest=key_digest)
