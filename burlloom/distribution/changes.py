"""Changes of configuration: items, the hash chain that seals their order, and validation.

A change sets some items of one scope, all or none. Each item has an absolute value, so applying a
change again after later ones is harmless once those are applied again as well. Revisions are dense
within an epoch. The tag of a change is a keyed BLAKE2b (RFC 7693) over the tag before it and the
change's fields: whoever has the key detects one that is missing, moved or altered. The chain covers
the hash of the body in place of the body, so that a follower that does not hold the scope can
verify it without the body. No I/O.

Source: hash chains of logs, Schneier and Kelsey, "Secure Audit Logs" (1999); here one key is shared
by all, which keeps out strangers but not a holder of the key.
"""

import hashlib
import hmac
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

import msgpack

from ..errors import BurlloomError

KINDS = ("tenant", "route", "setting")
MAX_KEY_BYTES = 128  # bytes of UTF-8
MAX_SCOPE_BYTES = 64  # bytes of UTF-8: a region's name
MAX_VALUE_BYTES = 512  # bytes of MessagePack, a map
MAX_BODY_BYTES = 1000  # a change fits a datagram with its seal
MAX_CHANGE_ITEMS = 64
TAG_BYTES = 16  # bytes of a tag and of a body's digest
MAX_NUMBER = (1 << 63) - 1
MAX_FAULTS = 100  # that are told of one change


class ConfigItem(NamedTuple):
    """One configuration item.

    Attributes:
        scope: "" holds everywhere, else a region's name.
        kind: one of `KINDS`.
        key: the item's name within its kind.
        value: MessagePack of a map; None deletes the item.
    """

    scope: str
    kind: str
    key: str
    value: bytes | None


class Change(NamedTuple):
    """One change of a scope's items.

    Attributes:
        epoch: number of the log; it grows when the store was restored.
        revision: dense number within the epoch.
        time_ms: Unix ms at the origin, never less than that of the change before.
        scope: scope of all items.
        body: MessagePack of a list of [kind, key, value or nil]; None if left out for a follower
            that does not hold the scope.
        tag: hash that chains it to the change before.
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
        """Return the change as it goes to a follower that does not hold its scope."""
        return self._replace(body=None)


class Head(NamedTuple):
    """The last change of an epoch; revision 0 if there is none yet. `time_ms` is Unix ms."""

    epoch: int
    revision: int
    tag: bytes
    time_ms: int


class InvalidChangeError(BurlloomError):
    """A change that can't be made.

    Attributes:
        faults: all that is wrong, each with its place.
    """

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = list(faults)


def initial_head(epoch: int, time_ms: int) -> Head:
    """Return the head of an epoch before its first change.

    The table then holds whatever the store had.
    """
    return Head(
        epoch, 0, hashlib.blake2b(b"epoch %d" % epoch, digest_size=TAG_BYTES).digest(), time_ms
    )


def hash_body(body: bytes) -> bytes:
    """Return the BLAKE2b-128 of a change's body."""
    return hashlib.blake2b(body, digest_size=TAG_BYTES).digest()


def chain_tag(
    key: bytes,
    before: bytes,
    epoch: int,
    revision: int,
    time_ms: int,
    scope: str,
    body_digest: bytes,
) -> bytes:
    """Return the tag of a change that follows one with the tag `before` (16 bytes)."""
    text = b"%b%d %d %d " % (before, epoch, revision, time_ms) + body_digest + scope.encode()
    return hashlib.blake2b(text, key=key, digest_size=TAG_BYTES).digest()


def encode_items(items: Iterable[ConfigItem]) -> bytes:
    """Return the body of a change: MessagePack of a list of [kind, key, value or nil]."""
    body: bytes = msgpack.packb([[item.kind, item.key, item.value] for item in items])
    return body


def decode_items(scope: str, body: bytes) -> list[ConfigItem]:
    """Return the items of a body. Raises `InvalidChangeError` with all faults."""
    if len(body) > MAX_BODY_BYTES:
        raise InvalidChangeError([f"body: {len(body)} bytes, {MAX_BODY_BYTES} at most"])
    try:
        got = msgpack.unpackb(body, max_array_len=MAX_CHANGE_ITEMS, max_map_len=0, max_ext_len=0)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise InvalidChangeError([f"body: no MessagePack that may be here: {error}"]) from error
    if type(got) is not list:
        raise InvalidChangeError(["body: no list"])
    found = [
        f"entries[{at}]: not of kind, key and value"
        for at, part in enumerate(got)
        if type(part) is not list or len(part) != 3
    ]
    if found:
        raise InvalidChangeError(found)
    items = [ConfigItem(scope, *part) for part in got]
    found = change_faults(scope, items)
    if found:
        raise InvalidChangeError(found)
    return items


def change_faults(scope: Any, items: Sequence[ConfigItem]) -> list[str]:
    """Return all that is wrong with the items of a change, each with its place."""
    found = (
        []
        if is_text(scope, 0, MAX_SCOPE_BYTES)
        else [f"scope: not text of {MAX_SCOPE_BYTES} bytes at most"]
    )
    if not 0 < len(items) <= MAX_CHANGE_ITEMS:
        found.append(f"entries: {len(items)}, of 1 to {MAX_CHANGE_ITEMS}")
    known: dict[Any, int] = {}
    for at, item in enumerate(items[:MAX_CHANGE_ITEMS]):
        place = f"entries[{at}]"
        if item.scope != scope:
            found.append(f"{place}.scope: {item.scope!r:.80}, and the change's is {scope!r:.80}")
        kind = type(item.kind) is str and item.kind in KINDS
        if not kind:
            found.append(f"{place}.kind: {item.kind!r:.80}, of {', '.join(KINDS)}")
        key = is_text(item.key, 1, MAX_KEY_BYTES)
        if not key:
            found.append(f"{place}.key: not text of 1 to {MAX_KEY_BYTES} bytes")
        if kind and key and known.setdefault((item.kind, item.key), at) != at:
            found.append(f"{place}.key: set by entries[{known[item.kind, item.key]}] already")
        fault = value_fault(item.value)
        if fault:
            found.append(f"{place}.value: {fault}")
    return found[:MAX_FAULTS]


def value_fault(value: Any) -> str:
    """Return why a value can't be an item's; "" if it can."""
    if value is None:
        return ""
    if type(value) is not bytes:
        return "not bytes"
    if len(value) > MAX_VALUE_BYTES:
        return f"{len(value)} bytes, {MAX_VALUE_BYTES} at most"
    try:
        got = msgpack.unpackb(value, max_ext_len=0)
    except (ValueError, TypeError, msgpack.UnpackException, RecursionError) as error:
        return f"no MessagePack: {error!s:.80}"
    return "" if type(got) is dict else "no map"


def is_text(got: Any, least: int, most: int) -> bool:
    """Whether a value is text of `least` to `most` bytes of UTF-8."""
    if type(got) is not str or len(got) > most:
        return False
    try:
        return least <= len(got.encode()) <= most
    except UnicodeEncodeError:
        return False


def next_change(before: Head, scope: str, body: bytes, time_ms: int, key: bytes) -> Change:
    """Return the sealed change that follows `before`. Time never goes back."""
    revision, time_ms, digest = (
        before.revision + 1,
        max(before.time_ms, time_ms),
        hash_body(body),
    )
    tag = chain_tag(key, before.tag, before.epoch, revision, time_ms, scope, digest)
    return Change(before.epoch, revision, time_ms, scope, body, tag, digest)


def chain_break(before: Head, change: Change, keys: Sequence[bytes]) -> str:
    """Return why a change does not directly follow `before`; "" if it does.

    Any of the keys may have signed it, so that keys can be rotated while the fleet runs.
    """
    if change.epoch != before.epoch:
        return "another epoch"
    if change.revision != before.revision + 1:
        return "an older revision" if change.revision <= before.revision else "a gap before it"
    if change.time_ms < before.time_ms:
        return "its time steps back"
    if change.body is not None and hash_body(change.body) != change.body_digest:
        return "its body was altered"
    if not any(
        hmac.compare_digest(
            change.tag,
            chain_tag(
                key,
                before.tag,
                change.epoch,
                change.revision,
                change.time_ms,
                change.scope,
                change.body_digest,
            ),
        )
        for key in keys
    ):
        return "its tag does not follow"
    return ""


def head_after(change: Change) -> Head:
    """Return the head of a log whose last change this is."""
    return Head(change.epoch, change.revision, change.tag, change.time_ms)


ItemCheck = Callable[
    [ConfigItem], list[str]
]  # faults of one entry by its meaning, with places within the value
