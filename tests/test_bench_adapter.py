"""The simulator's wire: batches in, replies out, and what ends the adapter."""

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


def reply(batches: bytes) -> bytes:
    sink = io.BytesIO()
    serve(io.BytesIO(batches), sink)
    return sink.getvalue()


def test_replies_are_those_that_version_0_7_1_gave() -> None:
    batches = (DATA / "batches.txt").read_bytes()
    assert reply(batches) == (DATA / "replies.txt").read_bytes()


@pytest.mark.parametrize(
    ("batches", "error", "text"),
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
def test_unreadable_input_names_what_is_wrong(
    batches: str, error: type[WireError], text: str
) -> None:
    with pytest.raises(error) as raised:
        reply(f"{batches}\n".encode())
    assert str(raised.value) == text
