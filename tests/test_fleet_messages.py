"""The codec of datagrams; those of release 0.7.1 are read, and sent with the same bytes."""

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
def test_a_datagram_is_sent_with_the_same_bytes(kind: MessageKind) -> None:
    data = bytes.fromhex(SAMPLE["datagrams"][str(int(kind))])
    message = decode(data, (KEY,))
    assert message.kind is kind
    assert encode(message, KEY) == data


def test_a_datagram_has_its_values_in_the_fields() -> None:
    message = decode(bytes.fromhex(SAMPLE["datagrams"][str(int(MessageKind.REPORT))]), (KEY,))
    assert (message.sender.incarnation, message.sender.refutation) == (1700000000001, 2)
    assert message.values == (4000, 3500, 9000, 1000, 77)
    assert [update.name for update in message.updates] == ["n2", "n3", "n4", "n5"]


def test_a_datagram_of_another_key_is_refused() -> None:
    data = bytes.fromhex(SAMPLE["datagrams"][str(int(MessageKind.PING))])
    with pytest.raises(MessageDecodeError, match="not sealed with our key"):
        decode(data, (b"another key, long enough",))


def test_a_spoilt_datagram_is_refused() -> None:
    key, random = b"k" * 32, Random(1)
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
    for n in range(20_000):
        spoilt = bytearray(data)
        for _ in range(random.randrange(1, 4)):
            spoilt[random.randrange(len(spoilt))] = random.randrange(256)
        cut = bytes(spoilt[: random.randrange(len(spoilt) + 1)]) if n % 2 else bytes(spoilt)
        try:
            assert cut == data
            assert decode(cut, (key,)) == message
        except MessageDecodeError:
            pass
        except AssertionError:
            with pytest.raises(MessageDecodeError):
                decode(cut, (key,))
