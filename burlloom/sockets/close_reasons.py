"""Reasons for closing a connection; docs/on-call.md says what to do about each."""

from enum import Enum

from ..errors import BurlloomError


class CloseReason(Enum):
    """The values of the key `reason` in the log's `connection_closed` lines."""

    PEER_CLOSED = "peer_closed"  # the peer closed its half of the connection
    PEER_RESET = "peer_reset"  # the connection was reset or lost
    MALFORMED = "malformed"  # received bytes violate the protocol
    FIRST_MESSAGE_TIMEOUT = "first_message_timeout"  # a caller sent no byte in time
    MESSAGE_TIMEOUT = "message_timeout"  # a message was begun and not completed in time
    TOO_MANY_BAD_REQUESTS = "too_many_bad_requests"  # a caller's bad requests reached their limit
    CONNECTION_LIMIT = "connection_limit"  # no room within the limit of connections or descriptors
    WRONG_TYPE = "wrong_type"  # a part of a message has the wrong type
    TOO_LARGE = "too_large"  # a value, message or reply is over its size limit
    REPEATED_MESSAGE_ID = "repeated_message_id"  # a message id is not greater than the one before
    SLOW_CONSUMER = "slow_consumer"  # a caller left too many bytes of answers unread
    CONNECTION_REFUSED = "connection_refused"  # the peer refused the connection
    CONNECT_TIMEOUT = "connect_timeout"  # connecting took too long
    CALL_ABANDONED = "call_abandoned"  # a call timed out or was cancelled
    IDLE_TIMEOUT = "idle_timeout"  # the connection was unused for too long
    NOT_REUSABLE = "not_reusable"  # a call is over, and its connection is not kept for another
    SHUTDOWN = "shutdown"  # the server shuts down
    ADDRESS_CHANGED = "address_changed"  # the connection leads to an address that is no longer used
    INTERNAL_ERROR = "internal_error"  # a defect of the server


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
