"""Changes of the configuration: items, the hash chain over them, and validation. Does no I/O.

A change sets or deletes items of one scope atomically. Each item has an absolute value, so applying
an old change again is harmless if the later changes are applied again as well. Revisions are
consecutive within an epoch.

The tag of a change is a keyed BLAKE2b (RFC 7693) over the previous change's tag and the change's
own fields, so a holder of the key detects a missing, reordered or altered change. The tag covers
the digest of the body in place of the body: a follower that does not hold the scope verifies the
chain without the body.

Source: hash chains of logs, Schneier and Kelsey, "Secure Audit Logs" (1999). All processes share
one signing key here, so the chain protects against anyone without the key, but not against a holder
of it.
"""

import hashlib
import hmac
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

import msgpack

from ..errors import BurlloomError

ITEM_KINDS = ("tenant", "route", "setting")
MAX_KEY_BYTES = 128  # an item's key in UTF-8
MAX_SCOPE_BYTES = 64  # a region's name in UTF-8
MAX_VALUE_BYTES = 512  # an item's value, a map in MessagePack
MAX_BODY_BYTES = 1000  # a sealed datagram holds a change with a body of this size
MAX_CHANGE_ITEMS = 64
TAG_BYTES = 16  # a tag, and also the digest of a body
MAX_NUMBER = (1 << 63) - 1  # largest signed 64-bit integer
MAX_FAULTS = 100  # faults reported of one change; further ones are left out


class ConfigItem(NamedTuple):
    """One configuration item.

    Attributes:
        scope: "" for all regions, or a region's name.
        kind: One of `ITEM_KINDS`.
        key: The item's name within its kind.
        value: MessagePack of a map; None deletes the item.
    """

    scope: str
    kind: str
    key: str
    value: bytes | None


class Change(NamedTuple):
    """One change of a scope's items.

    Attributes:
        epoch: Number of the log; a new, larger one begins after the store was restored.
        revision: Number of the change within the epoch, counted from 1 without gaps.
        time_ms: Unix ms at which the change was proposed, not less than the previous change's.
        scope: Scope of all items of the change.
        body: MessagePack of a list of [kind, key, value or nil]; None if it was left out for a
            follower that does not hold the scope.
        tag: Keyed hash that chains the change to the previous one.
        body_digest: BLAKE2b-128 of the body.
    """

    epoch: int
    revision: int
    time_ms: int
    scope: str
    body: bytes | None
    tag: bytes
    body_digest: bytes

    def without_body(self) -> "Change":
        """Returns the change without its body, for a follower that does not hold its scope."""
        return self._replace(body=None)


class Head(NamedTuple):
    """Identifies the last change of an epoch; revision 0 if the epoch has no change yet.

    `time_ms` is in Unix ms.
    """

    epoch: int
    revision: int
    tag: bytes
    time_ms: int


class InvalidChangeError(BurlloomError):
    """Raised for an invalid change.

    Attributes:
        faults: All faults of the change, each with its place.
    """

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = list(faults)


def initial_head(epoch: int, time_ms: int) -> Head:
    """Returns the head of an epoch before its first change.

    The table at that head holds the items that the store had when the epoch began.
    """
    return Head(
        epoch, 0, hashlib.blake2b(b"epoch %d" % epoch, digest_size=TAG_BYTES).digest(), time_ms
    )


def hash_body(body: bytes) -> bytes:
    """Returns the BLAKE2b-128 of a change's body."""
    return hashlib.blake2b(body, digest_size=TAG_BYTES).digest()


def chain_tag(
    key: bytes,
    previous_tag: bytes,
    epoch: int,
    revision: int,
    time_ms: int,
    scope: str,
    body_digest: bytes,
) -> bytes:
    """Returns the tag of a change that follows the change with the tag `previous_tag`."""
    text = b"%b%d %d %d " % (previous_tag, epoch, revision, time_ms) + body_digest + scope.encode()
    return hashlib.blake2b(text, key=key, digest_size=TAG_BYTES).digest()


def encode_items(items: Iterable[ConfigItem]) -> bytes:
    """Returns the body of a change: MessagePack of a list of [kind, key, value or nil]."""
    body: bytes = msgpack.packb([[item.kind, item.key, item.value] for item in items])
    return body


def decode_items(scope: str, body: bytes) -> list[ConfigItem]:
    """Returns the items of a change's body.

    Raises:
        InvalidChangeError: The body is invalid; the error lists all faults.
    """
    if len(body) > MAX_BODY_BYTES:
        raise InvalidChangeError([f"body: {len(body)} bytes, at most {MAX_BODY_BYTES} allowed"])
    try:
        unpacked = msgpack.unpackb(
            body, max_array_len=MAX_CHANGE_ITEMS, max_map_len=0, max_ext_len=0
        )
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise InvalidChangeError([f"body: not valid MessagePack: {error}"]) from error
    if type(unpacked) is not list:
        raise InvalidChangeError(["body: not a list"])
    faults = [
        f"entries[{index}]: not of kind, key and value"
        for index, fields in enumerate(unpacked)
        if type(fields) is not list or len(fields) != 3
    ]
    if faults:
        raise InvalidChangeError(faults)
    items = [ConfigItem(scope, *fields) for fields in unpacked]
    faults = change_faults(scope, items)
    if faults:
        raise InvalidChangeError(faults)
    return items


def change_faults(scope: Any, items: Sequence[ConfigItem]) -> list[str]:
    """Returns all faults of the items of a change, each with its place."""
    faults = (
        []
        if is_text(scope, 0, MAX_SCOPE_BYTES)
        else [f"scope: not text of {MAX_SCOPE_BYTES} bytes at most"]
    )
    if not 0 < len(items) <= MAX_CHANGE_ITEMS:
        faults.append(f"entries: {len(items)}, 1 to {MAX_CHANGE_ITEMS} allowed")
    first_index_by_key: dict[Any, int] = {}
    for index, item in enumerate(items[:MAX_CHANGE_ITEMS]):
        place = f"entries[{index}]"
        if item.scope != scope:
            faults.append(
                f"{place}.scope: {item.scope!r:.80}, but the scope of the change is {scope!r:.80}"
            )
        is_kind_valid = type(item.kind) is str and item.kind in ITEM_KINDS
        if not is_kind_valid:
            faults.append(f"{place}.kind: {item.kind!r:.80}, not one of {', '.join(ITEM_KINDS)}")
        is_key_valid = is_text(item.key, 1, MAX_KEY_BYTES)
        if not is_key_valid:
            faults.append(f"{place}.key: not text of 1 to {MAX_KEY_BYTES} bytes")
        if (
            is_kind_valid
            and is_key_valid
            and first_index_by_key.setdefault((item.kind, item.key), index) != index
        ):
            faults.append(
                f"{place}.key: set by entries[{first_index_by_key[item.kind, item.key]}] already"
            )
        fault = value_fault(item.value)
        if fault:
            faults.append(f"{place}.value: {fault}")
    return faults[:MAX_FAULTS]


def value_fault(value: Any) -> str:
    """Returns the fault of an item's value; "" if the value is valid."""
    if value is None:
        return ""
    if type(value) is not bytes:
        return "not bytes"
    if len(value) > MAX_VALUE_BYTES:
        return f"{len(value)} bytes, at most {MAX_VALUE_BYTES} allowed"
    try:
        unpacked = msgpack.unpackb(value, max_ext_len=0)
    except (ValueError, TypeError, msgpack.UnpackException, RecursionError) as error:
        return f"not valid MessagePack: {error!s:.80}"
    return "" if type(unpacked) is dict else "not a map"


def is_text(value: Any, min_bytes: int, max_bytes: int) -> bool:
    """Returns whether a value is a string of `min_bytes` to `max_bytes` bytes of UTF-8."""
    if type(value) is not str or len(value) > max_bytes:
        return False
    try:
        return min_bytes <= len(value.encode()) <= max_bytes
    except UnicodeEncodeError:
        return False


def next_change(previous: Head, scope: str, body: bytes, time_ms: int, key: bytes) -> Change:
    """Returns the signed change that follows `previous`; its time is never before `previous`'s."""
    revision, time_ms, digest = (
        previous.revision + 1,
        max(previous.time_ms, time_ms),
        hash_body(body),
    )
    tag = chain_tag(key, previous.tag, previous.epoch, revision, time_ms, scope, digest)
    return Change(previous.epoch, revision, time_ms, scope, body, tag, digest)


def chain_break(previous: Head, change: Change, keys: Sequence[bytes]) -> str:
    """Returns why a change does not directly follow the head `previous`; "" if it does.

    Any of the keys may have signed the change, so that keys can be rotated while the fleet runs.
    """
    if change.epoch != previous.epoch:
        return "epoch differs from that of the head"
    if change.revision != previous.revision + 1:
        return (
            "revision not after the head"
            if change.revision <= previous.revision
            else "gap between the head and the revision"
        )
    if change.time_ms < previous.time_ms:
        return "time before that of the head"
    if change.body is not None and hash_body(change.body) != change.body_digest:
        return "body does not match its digest"
    if not any(
        hmac.compare_digest(
            change.tag,
            chain_tag(
                key,
                previous.tag,
                change.epoch,
                change.revision,
                change.time_ms,
                change.scope,
                change.body_digest,
            ),
        )
        for key in keys
    ):
        return "tag does not continue the chain"
    return ""


def head_after(change: Change) -> Head:
    """Returns the head of a log whose last change is `change`."""
    return Head(change.epoch, change.revision, change.tag, change.time_ms)


# Returns the semantic faults of an item, each with its place within the value.
ItemCheck = Callable[[ConfigItem], list[str]]
