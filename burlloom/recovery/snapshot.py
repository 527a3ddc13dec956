"""The snapshot that a server writes for its next incarnation, and its validation. Does no I/O.

A snapshot is one line of JSON with a BLAKE2b checksum. The caller writes it to a temporary file and
renames that, so that a crash leaves either the old file or the new one. The checksum detects torn
writes and edits; it does not authenticate the author.
"""

import hashlib
import json
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

SNAPSHOT_VERSION = 1
# Characters of a state file that are read; a longer text is cut, and so fails the checksum.
MAX_TEXT_CHARACTERS = 1 << 20
# Addresses that a snapshot holds; further ones are dropped.
MAX_PEER_ADDRESSES = 64


class SnapshotValidity(IntEnum):
    """Result of the validation: the first value that applies."""

    MISSING = 0  # there is no state file
    TORN = 1  # the text is damaged, or of another format version
    FOREIGN = 2  # the snapshot is another node's
    FUTURE = 3  # written after the present time: the clock was stepped back, so its age is unknown
    OLD = 4  # older than the highest age
    GOOD = 5  # the snapshot can be used


@dataclass(frozen=True, slots=True)
class RecoverySnapshot:
    """State that one incarnation of a node leaves to the next.

    Attributes:
        node: The node's name.
        incarnation: Start of the incarnation that wrote the snapshot, Unix ms.
        written_at_ms: When the snapshot was written, Unix ms.
        record_incarnation: The incarnation's number in the store of record; -1 without a store.
        call_share: Concurrent calls that the incarnation was granted.
        was_drained: Whether the incarnation drained, so that no request was in doubt at its end.
        peer_addresses: Addresses of other members of the fleet.
    """

    node: str
    incarnation: int
    written_at_ms: int
    record_incarnation: int
    call_share: float
    was_drained: bool
    peer_addresses: tuple[str, ...]


# The field of `RecoverySnapshot` by its name in the state file.
STORED_NAMES = {
    "node": "node",
    "life": "incarnation",
    "told_at": "written_at_ms",
    "record_life": "record_incarnation",
    "share": "call_share",
    "clean": "was_drained",
    "members": "peer_addresses",
}


def serialize_snapshot(snapshot: RecoverySnapshot) -> str:
    """Returns the snapshot as one line of JSON with its checksum."""
    stored = {name: getattr(snapshot, field) for name, field in STORED_NAMES.items()}
    body = json.dumps(
        {"version": SNAPSHOT_VERSION, **stored}, sort_keys=True, separators=(",", ":")
    )
    return json.dumps({"kept": body, "sum": checksum(body)}) + "\n"


def checksum(body: str) -> str:
    """Returns the checksum of a snapshot's body, in hexadecimal digits."""
    return hashlib.blake2b(body.encode(), digest_size=16, person=b"burlloom-kept").hexdigest()


def parse_snapshot(text: str | None) -> RecoverySnapshot | SnapshotValidity:
    """Parses the text of a state file.

    Args:
        text: The text; None for a missing file.

    Returns:
        The snapshot, or MISSING or TORN.
    """
    if text is None:
        return SnapshotValidity.MISSING
    try:
        envelope = json.loads(text[:MAX_TEXT_CHARACTERS])
        body = envelope["kept"]
        if envelope["sum"] != checksum(body):
            return SnapshotValidity.TORN
        fields = json.loads(body)
        if fields.pop("version") != SNAPSHOT_VERSION:
            return SnapshotValidity.TORN
        return parse_fields(fields)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return SnapshotValidity.TORN


def parse_fields(fields: dict[str, Any]) -> RecoverySnapshot | SnapshotValidity:
    """Checks the types of the stored fields, since a checksum may also match invalid values.

    Args:
        fields: The fields by their stored names.

    Returns:
        The snapshot, or TORN.
    """
    if set(fields) != set(STORED_NAMES):
        return SnapshotValidity.TORN
    are_integers = all(type(fields[name]) is int for name in ("life", "told_at", "record_life"))
    addresses = fields["members"]
    if (
        not are_integers
        or type(fields["node"]) is not str
        or type(fields["clean"]) is not bool
        or type(addresses) is not list
        or not all(type(address) is str for address in addresses)
        or type(fields["share"]) not in (int, float)
    ):
        return SnapshotValidity.TORN
    return RecoverySnapshot(
        fields["node"],
        fields["life"],
        fields["told_at"],
        fields["record_life"],
        float(fields["share"]),
        fields["clean"],
        tuple(addresses[:MAX_PEER_ADDRESSES]),
    )


def validate_snapshot(
    snapshot: RecoverySnapshot | SnapshotValidity, node: str, now_unix_ms: int, max_age_ms: int
) -> SnapshotValidity:
    """Validates a parsed snapshot.

    Args:
        snapshot: The snapshot, or why there is none, which is then returned.
        node: This node's name.
        now_unix_ms: The time, Unix ms.
        max_age_ms: The highest age, ms.

    Returns:
        The first validity that applies.
    """
    if not isinstance(snapshot, RecoverySnapshot):
        return snapshot
    if snapshot.node != node:
        return SnapshotValidity.FOREIGN
    if snapshot.written_at_ms > now_unix_ms or snapshot.incarnation > now_unix_ms:
        return SnapshotValidity.FUTURE
    return (
        SnapshotValidity.OLD
        if now_unix_ms - snapshot.written_at_ms > max_age_ms
        else SnapshotValidity.GOOD
    )


def limit_peer_addresses(addresses: Sequence[str]) -> tuple[str, ...]:
    """Returns the addresses to store: sorted, distinct, at most MAX_PEER_ADDRESSES."""
    return tuple(sorted(set(addresses)))[:MAX_PEER_ADDRESSES]
