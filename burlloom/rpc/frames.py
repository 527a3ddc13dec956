"""Reads MessagePack-RPC requests, and encodes answers and notifications."""

import struct
from typing import Any, NamedTuple

import msgpack

from ..sockets import CloseReason, ConnectionEndedError, ReceiveBuffer
from .frame_scanner import MAX_ITEMS, MAX_VALUE_BYTES, FrameScanner

# A longer message is scanned before it is decoded, so that decoding a short one beside many others
# does not copy all of them.
MAX_DIRECT_BYTES = 4 << 10
CONTAINER_LIMITS = {"max_array_len": MAX_ITEMS, "max_map_len": MAX_ITEMS, "max_ext_len": 0}
DIRECT_LIMITS = {"max_str_len": 256, "max_bin_len": MAX_VALUE_BYTES, **CONTAINER_LIMITS}
SCANNED_LIMITS = {
    "max_str_len": MAX_VALUE_BYTES,
    "max_bin_len": MAX_VALUE_BYTES,
    **CONTAINER_LIMITS,
}

REQUEST_TYPE = 0
RESPONSE_TYPE = 1
NOTIFICATION_TYPE = 2
REQUEST_PARTS = [int, int, str, list]  # message type, message id, method, parameters
MAX_FLAT_PARAMETERS = 2  # a map of fields and a body


class RequestMessage(NamedTuple):
    """A decoded request message.

    Attributes:
        message_id: The id that the answer repeats.
        method: The method's name.
        parameters: The method's parameters.
    """

    message_id: int
    method: str
    parameters: list[Any]


class RequestReader:
    """Reads the requests of one connection, whose bytes arrive in pieces of any size.

    A message that is whole when its first bytes are read is decoded at once. Any other one is
    scanned until it is whole, each value once, and then decoded. The limits of `FrameScanner` hold
    for both: a message that is decoded at once and has any other form than that of a request is
    scanned too.

    Attributes:
        scanner: Scans the incomplete message at the start of the buffer; None if none is begun.
    """

    def __init__(self) -> None:
        self.scanner: FrameScanner | None = None

    def read(self, buffer: ReceiveBuffer) -> RequestMessage | None:
        """Removes the next request from the buffer.

        Returns:
            The request; None while it is incomplete.

        Raises:
            ConnectionEndedError: The bytes are not a request message.
        """
        if self.scanner is None:
            request = read_direct(buffer)
            if request is not None:
                return request
            self.scanner = FrameScanner()
        received = buffer.view[buffer.start : buffer.end]
        if not self.scanner.scan(received):
            return None
        size, self.scanner = self.scanner.position, None
        request = check_request(decode_scanned(received[:size]))
        buffer.start += size
        return request


def read_direct(buffer: ReceiveBuffer) -> RequestMessage | None:
    """Removes the next request from the buffer if it is whole, short and of the usual form.

    Returns:
        The request; None if it has to be scanned.

    Raises:
        ConnectionEndedError: The message is whole and no request message.
    """
    received = buffer.view[buffer.start : min(buffer.end, buffer.start + MAX_DIRECT_BYTES)]
    size = len(received)
    try:
        frame = msgpack.unpackb(received, **DIRECT_LIMITS)
    except msgpack.ExtraData as error:
        frame, size = error.unpacked, size - len(error.extra)
    except ValueError:
        return None
    request = check_request(frame)
    if not is_flat(request.parameters):
        return None
    buffer.start += size
    return request


def is_flat(parameters: list[Any]) -> bool:
    """Returns whether the parameters are at most a map of strings and one more plain value."""
    if len(parameters) > MAX_FLAT_PARAMETERS:
        return False
    for parameter in parameters:
        if type(parameter) is dict:
            for value in parameter.values():
                if type(value) is not str:
                    return False
        elif type(parameter) is list:
            return False
    return True


def decode_scanned(message: memoryview) -> Any:
    """Decodes a message that was scanned.

    Raises:
        ConnectionEndedError: A string is not UTF-8, or a key of a map is not a string.
    """
    try:
        return msgpack.unpackb(message, **SCANNED_LIMITS)
    except UnicodeDecodeError as error:
        raise ConnectionEndedError(CloseReason.MALFORMED, "string is not UTF-8") from error
    except ValueError as error:
        raise ConnectionEndedError(CloseReason.WRONG_TYPE, str(error)) from error


def check_request(frame: Any) -> RequestMessage:
    """Returns the request in a decoded message.

    Raises:
        ConnectionEndedError: The message is not a request message.
    """
    if not isinstance(frame, list) or len(frame) != len(REQUEST_PARTS):
        raise ConnectionEndedError(CloseReason.MALFORMED, "message is not an array of four parts")
    message_type, message_id, method, parameters = frame
    if [type(part) for part in frame] != REQUEST_PARTS:
        raise ConnectionEndedError(
            CloseReason.WRONG_TYPE, "a part of the request message has the wrong type"
        )
    if message_type != REQUEST_TYPE or message_id < 0:
        raise ConnectionEndedError(
            CloseReason.MALFORMED, f"message of type {message_type} with id {message_id}"
        )
    return RequestMessage(message_id, method, parameters)


def encode_result(message_id: int, body: bytes, fields: dict[str, str]) -> tuple[bytes, ...]:
    """Returns the pieces of an answer with a result, without copying the body."""
    # [RESPONSE_TYPE, message_id, nil, [body, fields]]; 0x92 begins an array of two items
    head = b"\x94\x01" + msgpack.packb(message_id) + b"\xc0\x92"
    return head + b"\xc6" + struct.pack(">I", len(body)), body, msgpack.packb(fields)


def encode_error(message_id: int, name: str, fields: dict[str, str]) -> bytes:
    """Returns an answer with an error."""
    return bytes(msgpack.packb([RESPONSE_TYPE, message_id, [name, fields], None]))


def encode_health(message_id: int, is_healthy: bool, fields: dict[str, str]) -> bytes:
    """Returns the answer to a health check."""
    return bytes(msgpack.packb([RESPONSE_TYPE, message_id, None, [is_healthy, fields]]))


def encode_notification(method: str) -> bytes:
    """Returns a notification without parameters."""
    return bytes(msgpack.packb([NOTIFICATION_TYPE, method, []]))
