"""Reasons for closing a connection; docs/on-call.md says what to do about each."""

from enum import Enum

from ..errors import BurlloomError


class CloseReason(Enum):
    """The values of the key `reason` in the log's `connection_closed` lines."""

    PEER_CLOSED = "peer_closed"
    PEER_RESET = "peer_reset"
    MALFORMED = "malformed"
    FIRST_MESSAGE_TIMEOUT = "first_message_timeout"
    MESSAGE_TIMEOUT = "message_timeout"
    TOO_MANY_BAD_REQUESTS = "too_many_bad_requests"
    CONNECTION_LIMIT = "connection_limit"
    WRONG_TYPE = "wrong_type"
    TOO_LARGE = "too_large"
    REPEATED_MESSAGE_ID = "repeated_message_id"
    SLOW_CONSUMER = "slow_consumer"
    CONNECTION_REFUSED = "connection_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    CALL_ABANDONED = "call_abandoned"
    IDLE_TIMEOUT = "idle_timeout"
    NOT_REUSABLE = "not_reusable"
    SHUTDOWN = "shutdown"
    ADDRESS_CHANGED = "address_changed"
    INTERNAL_ERROR = "internal_error"


class ConnectionEndedError(BurlloomError):
    """A connection cannot be used any longer, for a known reason.

    Attributes:
        reason: The reason to log.
        detail: What was wrong, and where in the input.
    """

    def __init__(self, reason: CloseReason, detail: str = "") -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
