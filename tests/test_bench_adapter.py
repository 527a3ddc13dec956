"""Tests of the simulator's adapter: replies to batches, and the errors that end the adapter."""

import io
from pathlib import Path

import pytest

from burlloom.bench_adapter.__main__ import serve
from burlloom.bench_adapter.errors import (
    FramingError,
    InvalidValueError,
    UnknownMessageError,
    ValueCountError,
    WireError,
)

DATA = Path(__file__).parent / "data" / "bench_adapter"


def serve_batches(batches: bytes) -> bytes:
    output = io.BytesIO()
    serve(io.BytesIO(batches), output)
    return output.getvalue()


def test_replies_equal_those_of_version_0_7_1() -> None:
    batches = (DATA / "batches.txt").read_bytes()
    assert serve_batches(batches) == (DATA / "replies.txt").read_bytes()


@pytest.mark.parametrize(
    ("batches", "error", "message"),
    [
        ("NOPE 1", FramingError, "a batch must begin with TURN, got 'NOPE'"),
        ("TURN 4", FramingError, "input ended inside a batch"),
        (
            "TURN x",
            InvalidValueError,
            "TURN: invalid value (invalid literal for int() with base 10: 'x')",
        ),
        ("TURN 1\nHUH 4\nFLUSH", UnknownMessageError, "unknown message 'HUH'"),
        ("TURN 1\nASK 1 2\nFLUSH", ValueCountError, "ASK takes 13 values, got 2"),
        (
            "TURN 1\nNEEDS 4 c:1\nFLUSH",
            InvalidValueError,
            "NEEDS: invalid value (instance 4 has not been started)",
        ),
        (
            "TURN 1\nBOOT -1 2 {}\nFLUSH",
            InvalidValueError,
            "BOOT: invalid value (the instance must not be negative, got -1)",
        ),
        ("TURN 1\nBOOT 1 2 {}\nFLUSH", InvalidValueError, "BOOT: invalid value ('extra')"),
    ],
)
def test_the_error_of_invalid_input_names_the_message_and_the_fault(
    batches: str, error: type[WireError], message: str
) -> None:
    with pytest.raises(error) as raised:
        serve_batches(f"{batches}\n".encode())
    assert str(raised.value) == message
