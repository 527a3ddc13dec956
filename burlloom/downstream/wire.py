"""Encodes calls and parses replies of the downstream dependency's protocol.

A call is a POST. `X-On-Behalf` carries the request's id, and `X-Patience` how many milliseconds the
server waits for the reply. In a reply `X-Declined: 1` means that the call never ran.

=============================  ==========================================
reply                          `CallStatus`
=============================  ==========================================
200                            OK
503 with ``X-Declined: 1``     REJECTED: overloaded
409 with ``X-Declined: 1``     NO_LONGER_NEEDED: its request has ended
504                            TIMED_OUT
any other                      FAILED
=============================  ==========================================
"""

from enum import Enum

import httptools

from ..sockets import CloseReason, ConnectionEndedError
from ..time_units import NS_PER_MS

HTTP_OK = 200  # statuses below this are interim
HTTP_CONFLICT = 409
HTTP_SERVICE_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504

MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 16 << 10  # of one reply, including the interim replies (1xx) before it
MAX_FRAMING_BYTES = 64 << 10  # of one body: lengths and extensions of its chunks, and trailers


class CallStatus(Enum):
    """How a call ended, as far as its end proves it.

    A call that is REJECTED, NO_LONGER_NEEDED or UNREACHABLE never ran; any other may have run.
    """

    OK = "ok"
    REJECTED = "rejected"
    NO_LONGER_NEEDED = "no_longer_needed"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CONNECTION_LOST = "connection_lost"


def too_large_error(detail: str) -> ConnectionEndedError:
    """Returns the error for a part of a reply that is over its limit."""
    return ConnectionEndedError(CloseReason.TOO_LARGE, detail)


def encode_request(host: str, request_id: str, body: bytes, timeout_ns: int) -> bytes:
    """Returns the bytes of a call that the dependency may abandon after `timeout_ns`."""
    head = (
        f"POST /fetch HTTP/1.1\r\nHost: {host}\r\nX-On-Behalf: {request_id}\r\n"
        f"X-Patience: {max(1, timeout_ns // NS_PER_MS)}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class ReplyParser:
    """Parses one reply; httptools calls the `on_` methods.

    Interim replies (1xx) may precede it. Bytes that follow it are ignored, and their connection is
    not reused.

    Attributes:
        is_complete: Whether the reply is completely received.
        is_reusable: Whether the connection may carry another call.
        received_bytes: How many bytes were received, interim replies included.
        header_bytes: How many bytes were received until the headers were complete.
        announced_bytes: The length of the body that the headers announce; 0 if they do not.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.content = bytearray()
        self.received_bytes = self.header_bytes = self.announced_bytes = self.status = 0
        self.is_rejected = self.is_complete = self.is_reusable = False
        self.is_in_body = False

    def feed_data(self, data: memoryview | bytes) -> None:
        """Parses received bytes.

        Raises:
            httptools.HttpParserError: The bytes are not HTTP.
            ConnectionEndedError: The headers, the body or its framing are too large.
        """
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if not self.is_complete:
                raise
        if not self.is_in_body:
            self.header_bytes += len(data)
        self.check_size()

    def check_size(self) -> None:
        """Checks the size of each part of the reply.

        The `on_` methods do not: httptools would turn their error into one of its own.

        Raises:
            ConnectionEndedError: A part is too large, or the headers announce a body that is.
        """
        if len(self.content) > MAX_BODY_BYTES:
            raise too_large_error(f"reply body over {MAX_BODY_BYTES} bytes")
        if self.is_complete:
            return
        if self.announced_bytes > MAX_BODY_BYTES:
            raise too_large_error(f"announced reply body over {MAX_BODY_BYTES} bytes")
        if self.header_bytes > MAX_HEADER_BYTES:
            raise too_large_error(f"reply headers over {MAX_HEADER_BYTES} bytes")
        if self.received_bytes - self.header_bytes - len(self.content) > MAX_FRAMING_BYTES:
            raise too_large_error(f"framing of a reply body over {MAX_FRAMING_BYTES} bytes")

    def on_message_begin(self) -> None:
        """Handles the start of the reply, of an interim one, or of a further, unexpected one."""
        if self.is_complete:
            self.is_reusable = False
        else:
            self.is_rejected = self.is_in_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles one header."""
        if self.is_complete:
            return
        name = name.lower()
        self.is_rejected |= name == b"x-declined" and value.strip() == b"1"
        if name == b"content-length" and value.strip().isdigit():
            self.announced_bytes = int(value)

    def on_headers_complete(self) -> None:
        """Handles the end of the headers."""
        is_interim = self.parser.get_status_code() < HTTP_OK
        self.is_in_body = self.is_in_body or not is_interim

    def on_body(self, body: bytes) -> None:
        """Handles a piece of the body."""
        if not self.is_complete:
            self.content += body

    def on_message_complete(self) -> None:
        """Handles the end of the reply or of an interim one.

        Whether the connection may be reused can be read from the parser only here: right after, the
        parser's state is that of the next reply.
        """
        status = self.parser.get_status_code()
        if not self.is_complete and status >= HTTP_OK:
            self.is_complete, self.status = True, status
            self.is_reusable = self.parser.should_keep_alive()

    def body(self) -> bytes:
        """Returns the body as far as it is received."""
        return bytes(self.content)

    def call_status(self) -> CallStatus:
        """Returns the call status that a complete reply means."""
        status = self.status
        if status == HTTP_OK:
            return CallStatus.OK
        if self.is_rejected and status == HTTP_SERVICE_UNAVAILABLE:
            return CallStatus.REJECTED
        if self.is_rejected and status == HTTP_CONFLICT:
            return CallStatus.NO_LONGER_NEEDED
        if status == HTTP_GATEWAY_TIMEOUT:
            return CallStatus.TIMED_OUT
        return CallStatus.FAILED
