"""Tests of the datagram codec, including compatibility with the bytes of release 0.7.1."""

import json
from itertools import product
from pathlib import Path
from random import Random
from typing import Any

import pytest

from burlloom.fleet import MemberState, MemberUpdate
from burlloom.fleet.messages import Message, MessageDecodeError, MessageKind, decode, encode

SAMPLE: dict[str, Any] = json.loads(
    (Path(__file__).parent / "data" / "fleet_datagrams_0.7.1.json").read_text(encoding="ascii")
)
KEY = bytes.fromhex(SAMPLE["key"])
OWN = MemberUpdate("own", "10.0.0.1:1", 5, 0, MemberState.ALIVE)
UPDATES = [
    MemberUpdate("m", "10.0.0.2:1", incarnation, refutation, state)
    for incarnation, refutation in product((1, 2), (0, 1))
    for state in (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
]


@pytest.mark.parametrize("kind", list(MessageKind))
def test_a_datagram_of_release_0_7_1_is_decoded_and_encoded_to_the_same_bytes(
    kind: MessageKind,
) -> None:
    data = bytes.fromhex(SAMPLE["datagrams"][str(int(kind))])
    message = decode(data, (KEY,))
    assert message.kind is kind
    assert encode(message, KEY) == data


def test_a_decoded_datagram_has_the_expected_field_values() -> None:
    message = decode(bytes.fromhex(SAMPLE["datagrams"][str(int(MessageKind.REPORT))]), (KEY,))
    assert (message.sender.incarnation, message.sender.refutation) == (1700000000001, 2)
    assert message.values == (4000, 3500, 9000, 1000, 77)
    assert [update.name for update in message.updates] == ["n2", "n3", "n4", "n5"]


def test_a_datagram_with_another_key_is_rejected() -> None:
    data = bytes.fromhex(SAMPLE["datagrams"][str(int(MessageKind.PING))])
    with pytest.raises(MessageDecodeError, match="tag does not match any key of this fleet"):
        decode(data, (b"another key, long enough",))


def test_a_corrupted_or_truncated_datagram_is_rejected() -> None:
    key, random_generator = b"k" * 32, Random(1)
    updates = tuple(UPDATES[:10])
    message = Message(MessageKind.PAGE, OWN, 7, (1, 2, 3, 4), "name", updates)
    data = encode(message, key)
    assert len(data) < 600
    assert decode(data, (b"x" * 32, key)) == message
    longest = Message(
        MessageKind.PAGE,
        OWN._replace(name="n" * 64),
        1 << 60,
        (1 << 60,) * 5,
        "n" * 64,
        (MemberUpdate("n" * 64, "255.255.255.255:65535", 1 << 60, 1 << 60, MemberState.LEFT),) * 10,
    )
    assert decode(encode(longest, key), (key,)) == longest
    for round_number in range(20_000):
        corrupted = bytearray(data)
        for _ in range(random_generator.randrange(1, 4)):
            corrupted[random_generator.randrange(len(corrupted))] = random_generator.randrange(256)
        received = (
            bytes(corrupted[: random_generator.randrange(len(corrupted) + 1)])
            if round_number % 2
            else bytes(corrupted)
        )
        try:
            assert received == data
            assert decode(received, (key,)) == message
        except MessageDecodeError:
            pass
        except AssertionError:
            with pytest.raises(MessageDecodeError):
                decode(received, (key,))
