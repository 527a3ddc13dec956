"""Datagrams that release 0.7.1 sent are read, and sent with the same bytes."""

import json
from pathlib import Path
from typing import Any

import pytest

from burlloom.fleet.messages import MessageDecodeError, MessageKind, decode, encode

SAMPLE: dict[str, Any] = json.loads(
    (Path(__file__).parent / "data" / "fleet_datagrams_0.7.1.json").read_text(encoding="ascii")
)
KEY = bytes.fromhex(SAMPLE["key"])


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
