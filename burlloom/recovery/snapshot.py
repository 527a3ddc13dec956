"""The snapshot that a server leaves to its next incarnation, and its validation. No I/O.

One line of JSON with a BLAKE2b checksum, which the caller writes to a temporary file and renames,
so that a crash leaves the old file or the new one. The checksum detects torn writes and edits; it
does not authenticate the author.
"""

import hashlib
import json
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

VERSION = 1
MAX_TEXT_CHARACTERS = 1 << 20
MAX_MEMBERS = 64


class SnapshotValidity(IntEnum):
    """Result of the validation: the first of these that applies."""

    MISSING = 0
    TORN = 1  # not what was written, or not by this version
    FOREIGN = 2  # another node's
    FUTURE = 3  # written after now: the clock was stepped back, so its age is unknown
    OLD = 4  # older than the highest age
    GOOD = 5


@dataclass(frozen=True, slots=True)
class RecoverySnapshot:
    """What an incarnation left behind.

    Attributes:
        node: The node's name.
        incarnation: Start of the incarnation that wrote it, Unix ms.
        written_at_ms: When it was written, Unix ms.
        record_incarnation: The incarnation's number in the store of record, -1 without one.
        call_share: Concurrent calls that it was granted.
        was_drained: Whether it drained, so that no request was in doubt when it ended.
        peer_addresses: Addresses of other members.
    """

    node: str
    incarnation: int
    written_at_ms: int
    record_incarnation: int
    call_share: float
    was_drained: bool
    peer_addresses: tuple[str, ...]


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
    body = json.dumps({"version": VERSION, **stored}, sort_keys=True, separators=(",", ":"))
    return json.dumps({"kept": body, "sum": checksum(body)}) + "\n"


def checksum(body: str) -> str:
    """Returns the checksum of a snapshot's body, in hexadecimal digits."""
    return hashlib.blake2b(body.encode(), digest_size=16, person=b"burlloom-kept").hexdigest()


def parse_snapshot(text: str | None) -> RecoverySnapshot | SnapshotValidity:
    """Parses a state file's text; None stands for a missing file.

    Returns:
        The snapshot, or MISSING, or TORN.
    """
    if text is None:
        return SnapshotValidity.MISSING
    try:
        got = json.loads(text[:MAX_TEXT_CHARACTERS])
        body = got["kept"]
        if got["sum"] != checksum(body):
            return SnapshotValidity.TORN
        fields = json.loads(body)
        if fields.pop("version") != VERSION:
            return SnapshotValidity.TORN
        return parse_fields(fields)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return SnapshotValidity.TORN


def parse_fields(fields: dict[str, Any]) -> RecoverySnapshot | SnapshotValidity:
    """Checks the types of the stored fields: a checksum can be right over invalid values.

    Returns:
        The snapshot, or TORN.
    """
    if set(fields) != set(STORED_NAMES):
        return SnapshotValidity.TORN
    are_integers = all(type(fields[name]) is int for name in ("life", "told_at", "record_life"))
    names = fields["members"]
    if (
        not are_integers
        or type(fields["node"]) is not str
        or type(fields["clean"]) is not bool
        or type(names) is not list
        or not all(type(name) is str for name in names)
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
        tuple(names[:MAX_MEMBERS]),
    )


def validate_snapshot(
    snapshot: RecoverySnapshot | SnapshotValidity, node: str, now: int, max_age_ms: int
) -> SnapshotValidity:
    """Validates a parsed snapshot.

    Args:
        snapshot: The snapshot, or why there is none, which is then returned.
        node: This node's name.
        now: The time, Unix ms.
        max_age_ms: The highest age, ms.

    Returns:
        The first validity that applies.
    """
    if not isinstance(snapshot, RecoverySnapshot):
        return snapshot
    if snapshot.node != node:
        return SnapshotValidity.FOREIGN
    if snapshot.written_at_ms > now or snapshot.incarnation > now:
        return SnapshotValidity.FUTURE
    return (
        SnapshotValidity.OLD if now - snapshot.written_at_ms > max_age_ms else SnapshotValidity.GOOD
    )


def limit_members(addresses: Sequence[str]) -> tuple[str, ...]:
    """Returns the addresses that a snapshot holds: sorted, distinct, bounded in number."""
    return tuple(sorted(set(addresses)))[:MAX_MEMBERS]
