"""Tests of reading request messages whose bytes arrive in pieces, well-formed and hostile."""

import random
import sys
from collections.abc import Iterator
from typing import Any

import msgpack
import pytest
from test_races import ListenerHarness, on_loop, request

from burlloom.fakes.parts import fields
from burlloom.rpc import connection as connection_module
from burlloom.rpc import frame_scanner
from burlloom.rpc.connection import Connection
from burlloom.rpc.frames import RequestReader
from burlloom.sockets import ConnectionEndedError, ReceiveBuffer

PAIRS = b"\xde\x00\x40" + b"\xa0\xa0" * 64
# Messages that never end within any limit on a single value, by what they consist of.
ENDLESS_MESSAGES = {
    "nested maps": b"\x94\x00\x01\xa4look" + b"\xdc\x00\x40" + (b"\xdc\x00\x40" + PAIRS * 64) * 64,
    "small integers": b"\x94\x00\x01\xa4look\xdc\x00\x40" + (b"\xdc\x00\x40" + b"\x01" * 64) * 60,
    "short fields": b"\x94\x00\x01\xa4look\x92\xde\x00\x40" + b"\xa1a\xa1b" * 63 + b"\xda\x3f\xff",
    "one long body": b"\x94\x00\x01\xa4look\x92\x80\xc5\x3f\xff" + b"x" * 16000,
}
# Interpreter calls that a message may cost for each of its bytes, and for each piece of it.
MAX_CALLS_PER_BYTE, MAX_CALLS_PER_PIECE = 16, 64


def pieces(data: bytes, size: int) -> Iterator[bytes]:
    return (data[start : start + size] for start in range(0, len(data), size))


def count_calls(connection: Connection, data: bytes, size: int) -> int:
    """Returns how many calls the interpreter makes while a connection takes data in pieces."""
    calls = 0

    def count(*_: Any) -> None:
        nonlocal calls
        calls += 1

    sys.setprofile(count)
    try:
        for piece in pieces(data, size):
            if not connection.is_ended and len(space := connection.buffer.free_space()):
                space[: len(piece)] = piece[: len(space)]
                with connection.close_on_error():
                    connection.consume(min(len(piece), len(space)))
    finally:
        sys.setprofile(None)
    return calls


@pytest.mark.parametrize("size", [1, 7, 64, 4096])
@pytest.mark.parametrize("form", ENDLESS_MESSAGES)
def test_an_unfinished_message_is_never_decoded_from_its_start_again(form: str, size: int) -> None:
    """Guards against review/6: clients with messages that never end held the event loop."""
    data = ENDLESS_MESSAGES[form][: 600 * min(size, 30)]

    async def scenario() -> None:
        harness = ListenerHarness()
        connection = (await harness.client()).connection
        calls = count_calls(connection, data, size)
        pieces_count = -(-len(data) // size)
        assert calls <= MAX_CALLS_PER_BYTE * len(data) + MAX_CALLS_PER_PIECE * pieces_count

    on_loop(scenario)()


def read_all(reader: RequestReader, data: bytes, sizes: Iterator[int]) -> tuple[list[Any], str]:
    """Returns the requests that are read from data in pieces, and the reason of a close."""
    buffer, requests, position = ReceiveBuffer(64, connection_module.MAX_READ_BUFFER_BYTES), [], 0
    try:
        while position < len(data):
            space = buffer.free_space()
            count = min(next(sizes), len(space), len(data) - position)
            space[:count] = data[position : position + count]
            buffer.end += count
            position += count
            while buffer.start < buffer.end and (message := reader.read(buffer)) is not None:
                requests.append(message)
    except ConnectionEndedError as error:
        return requests, error.reason.value
    return requests, ""


def random_value(draw: random.Random, depth: int) -> Any:
    kind = draw.choice(["text", "bytes", "number", "nil", "array", "map"][: 6 if depth < 5 else 4])
    match kind:
        case "text":
            return "x" * draw.choice([0, 1, 31, 32, 255, 256, 300])
        case "bytes":
            return b"\xff" * draw.choice([0, 1, 2048, 5000])
        case "number":
            return draw.choice([0, -1, 127, -32, 1 << 40, -(1 << 40), 0.5, True])
        case "array":
            return [random_value(draw, depth + 1) for _ in range(draw.choice([0, 1, 3, 16]))]
        case "map":
            count = draw.choice([0, 1, 3, 16])
            return {f"field{index}": random_value(draw, depth + 1) for index in range(count)}
    return None


def random_messages(draw: random.Random) -> bytes:
    """Returns some messages behind each other: usual, of any form, and at times with a fault."""
    data = b""
    for number in range(1, 1 + draw.randrange(1, 6)):
        parameters = [fields(), b"body" * draw.randrange(500)]
        if draw.random() < 0.5:
            parameters = [random_value(draw, 2) for _ in range(draw.randrange(4))]
        data += request(number, "look", *parameters)
    if draw.random() < 0.5:
        position = draw.randrange(len(data))
        data = data[:position] + bytes([draw.randrange(256)]) + data[position + 1 :]
    return data


def test_a_message_means_the_same_in_pieces_of_any_size() -> None:
    """Guards against a limit that holds only for messages that arrive whole, or only in pieces."""
    draw = random.Random(59)
    for _ in range(400):
        data = random_messages(draw)
        whole = read_all(RequestReader(), data, iter(lambda: 1 << 20, 0))
        for choices in ([1], [1, 2, 3, 7, 64], [1000, 4096]):
            sizes = iter(lambda choices=choices: draw.choice(choices), 0)  # type: ignore[misc]
            assert read_all(RequestReader(), data, sizes) == whole, data


@pytest.mark.parametrize("size", [1, 4096])
def test_the_limits_of_a_message(size: int) -> None:
    """A message at a limit is read, and one beyond it closes the connection."""
    sizes = iter(lambda: size, 0)
    nested = [[[0]]]
    for parameters, reason in [
        ([{f"{index}": "" for index in range(frame_scanner.MAX_ITEMS)}, b""], ""),
        ([[0] * frame_scanner.MAX_ITEMS] * 3, ""),
        ([[0] * frame_scanner.MAX_ITEMS] * 4, "too_large"),
        ([0] * (frame_scanner.MAX_ITEMS + 1), "too_large"),
        ([nested[0]], ""),
        ([nested], "too_large"),
        ([{}, b"x" * frame_scanner.MAX_VALUE_BYTES], ""),
        ([{}, b"x" * (frame_scanner.MAX_VALUE_BYTES + 1)], "too_large"),
        ([{"": "x" * 4000}, b"x" * 4000], ""),
        ([{"": "x" * 4096}, b"x" * 4096], "too_large"),
    ]:
        data = bytes(msgpack.packb([0, 1, "look", parameters]))
        assert read_all(RequestReader(), data, sizes)[1] == reason, parameters
