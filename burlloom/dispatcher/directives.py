"""Directives: what the dispatcher tells the server to do with a request."""

from dataclasses import dataclass
from enum import Enum


class DirectiveKind(Enum):
    """The kind of a directive; all but the first three are the request's answer.

    * RUN: Run the request.
    * CALL: Make the call that its run asked for.
    * RECALL_RESULT: Look up its result outside of this server's memory.
    * COMPLETE: Answer with its result.
    * COMPLETE_AS_ORIGINAL: Answer with the result of the original attempt.
    * REJECT: Answer that the request is rejected.
    * FAIL: Answer with an error; the request may have run.
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
    """One step to take for a request.

    Attributes:
        kind: What to do.
        give_up_at_ns: CALL: When to abandon the call.
        is_repeatable: CALL: Whether a call with an unknown outcome may be made again.
        body: CALL: The call's body. COMPLETE, COMPLETE_AS_ORIGINAL: The result.
        key_digest: All but FAIL and REJECT: The digest that all attempts of the request share;
            empty if it has none.
        retry_after_ns: REJECT: For how long the caller should not send it to this server again.
        is_final: REJECT: Whether the caller should not try another server either.
    """

    kind: DirectiveKind
    give_up_at_ns: int = 0
    is_repeatable: bool = True
    body: bytes = b""
    key_digest: bytes = b""
    retry_after_ns: int = 0
    is_final: bool = False


def complete_as_original(result: bytes | None, key_digest: bytes) -> Directive:
    """Returns the answer to a repeat whose original has ended; FAIL if there is no result."""
    if result is None:
        return Directive(DirectiveKind.FAIL)
    return Directive(DirectiveKind.COMPLETE_AS_ORIGINAL, body=result, key_digest=key_digest)
