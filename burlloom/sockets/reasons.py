"""Why a connection ended. The codes are explained in docs/on-call.md."""

from enum import Enum


class Reason(Enum):
    PEER_CLOSED = "peer-closed"
    PEER_RESET = "peer-reset"
    UNREADABLE = "unreadable"
    SILENT = "silent"
    UNFINISHED = "unfinished"
    ABUSIVE = "abusive"
    FULL = "full"
    WRONG_TYPE = "wrong-type"
    TOO_LARGE = "too-large"
    REPEATED_ID = "repeated-id"
    NOT_READING = "not-reading"
    REFUSED = "refused"
    NO_ANSWER = "no-answer"
    GIVEN_UP = "given-up"
    IDLE = "idle"
    NOT_KEPT = "not-kept"
    LEAVING = "leaving"
    MOVED = "moved"
    FAULT = "fault"


class Ended(Exception):
    """A connection can't go on, for a reason that is ours to name."""

    def __init__(self, reason: Reason, detail: str = "") -> None:
        super().__init__(detail)
        self.reason = reason
