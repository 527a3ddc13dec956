"""What a server leaves to its next life, and whether that may be believed. No I/O: texts in, texts
out.

One line of JSON with a BLAKE2b over the rest: written whole beside the old one and renamed, so that
a crash leaves the old or the new. The sum finds what was torn all the same, or touched by hand; it
keeps no secret and proves no author.
"""

import hashlib
import json
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

VERSION = 1
TEXT_MOST = 1 << 20
MEMBERS_MOST = 64  # addresses of others that are kept: some of them will be there


class SnapshotValidity(IntEnum):
    """The first of these that is true."""

    MISSING = 0
    TORN = 1  # not what was written, or not by this version
    FOREIGN = 2  # of another name
    FUTURE = 3  # told later than now: the clock was stepped back, its ages mean nothing
    OLD = 4  # told longer ago than counts
    GOOD = 5


@dataclass(frozen=True, slots=True)
class RecoverySnapshot:
    """`life`: Unix ms, of the life that wrote it, `told_at` when; `record_life`: of the store of
    record, -1 for none; `share` in calls; `clean`: it drained, so that nothing was in doubt when it
    went.
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


def serialize_snapshot(kept: RecoverySnapshot) -> str:
    stored = {name: getattr(kept, field) for name, field in STORED_NAMES.items()}
    body = json.dumps({"version": VERSION, **stored}, sort_keys=True, separators=(",", ":"))
    return json.dumps({"kept": body, "sum": total(body)}) + "\n"


def total(body: str) -> str:
    return hashlib.blake2b(body.encode(), digest_size=16, person=b"burlloom-kept").hexdigest()


def parse_snapshot(text: str | None) -> RecoverySnapshot | SnapshotValidity:
    """What was written, or MISSING, or TORN."""
    if text is None:
        return SnapshotValidity.MISSING
    try:
        got = json.loads(text[:TEXT_MOST])
        body = got["kept"]
        if got["sum"] != total(body):
            return SnapshotValidity.TORN
        told = json.loads(body)
        if told.pop("version") != VERSION:
            return SnapshotValidity.TORN
        return checked(told)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return SnapshotValidity.TORN


def checked(told: dict[str, Any]) -> RecoverySnapshot | SnapshotValidity:
    """A sum can be right over values that nobody wrote."""
    if set(told) != set(STORED_NAMES):
        return SnapshotValidity.TORN
    whole = all(type(told[name]) is int for name in ("life", "told_at", "record_life"))
    names = told["members"]
    if (
        not whole
        or type(told["node"]) is not str
        or type(told["clean"]) is not bool
        or type(names) is not list
        or not all(type(name) is str for name in names)
        or type(told["share"]) not in (int, float)
    ):
        return SnapshotValidity.TORN
    return RecoverySnapshot(
        told["node"],
        told["life"],
        told["told_at"],
        told["record_life"],
        float(told["share"]),
        told["clean"],
        tuple(names[:MEMBERS_MOST]),
    )


def validate_snapshot(
    found: RecoverySnapshot | SnapshotValidity, node: str, now: int, age_most: int
) -> SnapshotValidity:
    """`now` and `age_most` in ms."""
    if not isinstance(found, RecoverySnapshot):
        return found
    if found.node != node:
        return SnapshotValidity.FOREIGN
    if found.written_at_ms > now or found.incarnation > now:
        return SnapshotValidity.FUTURE
    return SnapshotValidity.OLD if now - found.written_at_ms > age_most else SnapshotValidity.GOOD


def limit_members(addresses: Sequence[str]) -> tuple[str, ...]:
    return tuple(sorted(set(addresses)))[:MEMBERS_MOST]
