"""Changes of configuration: entries, the chain that seals their order, and what is wrong with a bad
one. No I/O.

A change sets some entries of one scope, all or none; each sets an absolute value, so a change that
is applied again after later state does no harm once those after it are applied as well. Revisions
are dense within an epoch. The tag of a change is a keyed BLAKE2b (RFC 7693) over the tag before it
and all that it says: whoever has the key notices one that is missing, moved or altered. The chain
covers the digest of the body in place of the body, so that a follower which does not hold the scope
checks it without the body.

Source: hash chains of logs, Schneier and Kelsey, "Secure Audit Logs" (1999); here with one key for
all, which keeps strangers out and not a holder of the key.
"""

import hashlib
import hmac
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

import msgpack

KINDS = ("tenant", "route", "setting")
KEY_MOST = 128  # bytes of UTF-8
SCOPE_MOST = 64  # bytes of UTF-8: a region's name
VALUE_MOST = 512  # bytes of MessagePack, a map
BODY_MOST, ENTRIES_MOST = (
    1000,
    64,
)  # bytes and entries of one change: it fits a datagram with its seal
TAG = 16  # bytes of a tag and of a body's digest
NUMBER_MOST = (1 << 63) - 1
FAULTS_MOST = 100  # that are told of one change


class Entry(NamedTuple):
    """`scope`: "" holds everywhere, else a region's name. `value`: MessagePack of a map; None
    deletes.
    """

    scope: str
    kind: str
    key: str
    value: bytes | None


class Change(NamedTuple):
    """`time_ms`: Unix ms at the origin, never less than of the change before. `body`: MessagePack
    of a list of [kind, key, value or nil]; None where it was left out for who does not hold the
    scope. `body_digest`: BLAKE2b-128 of it.
    """

    epoch: int
    revision: int
    time_ms: int
    scope: str
    body: bytes | None
    tag: bytes
    body_digest: bytes

    def without_body(self) -> "Change":
        return self._replace(body=None)


class Head(NamedTuple):
    """The last change of an epoch: revision 0 where there is none yet. `time_ms`: Unix ms of it."""

    epoch: int
    revision: int
    tag: bytes
    time_ms: int


class Refused(Exception):
    """A change that can't be; `faults`: all of them, each with its place."""

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = list(faults)


def first_head(epoch: int, time_ms: int) -> Head:
    """Where an epoch begins, before its first change. What lies in the table then is whatever the
    store had.
    """
    return Head(epoch, 0, hashlib.blake2b(b"epoch %d" % epoch, digest_size=TAG).digest(), time_ms)


def digest_of_body(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=TAG).digest()


def tag_of(
    key: bytes,
    before: bytes,
    epoch: int,
    revision: int,
    time_ms: int,
    scope: str,
    body_digest: bytes,
) -> bytes:
    """`before`: the tag of the change before, 16 bytes."""
    text = b"%b%d %d %d " % (before, epoch, revision, time_ms) + body_digest + scope.encode()
    return hashlib.blake2b(text, key=key, digest_size=TAG).digest()


def encode(entries: Iterable[Entry]) -> bytes:
    body: bytes = msgpack.packb([[entry.kind, entry.key, entry.value] for entry in entries])
    return body


def decode(scope: str, body: bytes) -> list[Entry]:
    """Raises `Refused` with all faults of the body and of what it sets."""
    if len(body) > BODY_MOST:
        raise Refused([f"body: {len(body)} bytes, {BODY_MOST} at most"])
    try:
        got = msgpack.unpackb(body, max_array_len=ENTRIES_MOST, max_map_len=0, max_ext_len=0)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise Refused([f"body: no MessagePack that may be here: {error}"]) from error
    if type(got) is not list:
        raise Refused(["body: no list"])
    found = [
        f"entries[{at}]: not of kind, key and value"
        for at, part in enumerate(got)
        if type(part) is not list or len(part) != 3
    ]
    if found:
        raise Refused(found)
    entries = [Entry(scope, *part) for part in got]
    found = faults(scope, entries)
    if found:
        raise Refused(found)
    return entries


def faults(scope: Any, entries: Sequence[Entry]) -> list[str]:
    """All that is wrong with what a change would set, each with its place; empty where it may
    be.
    """
    found = (
        [] if is_text(scope, 0, SCOPE_MOST) else [f"scope: not text of {SCOPE_MOST} bytes at most"]
    )
    if not 0 < len(entries) <= ENTRIES_MOST:
        found.append(f"entries: {len(entries)}, of 1 to {ENTRIES_MOST}")
    known: dict[Any, int] = {}
    for at, entry in enumerate(entries[:ENTRIES_MOST]):
        place = f"entries[{at}]"
        if entry.scope != scope:
            found.append(f"{place}.scope: {entry.scope!r:.80}, and the change's is {scope!r:.80}")
        kind = type(entry.kind) is str and entry.kind in KINDS
        if not kind:
            found.append(f"{place}.kind: {entry.kind!r:.80}, of {', '.join(KINDS)}")
        key = is_text(entry.key, 1, KEY_MOST)
        if not key:
            found.append(f"{place}.key: not text of 1 to {KEY_MOST} bytes")
        if kind and key and known.setdefault((entry.kind, entry.key), at) != at:
            found.append(f"{place}.key: set by entries[{known[entry.kind, entry.key]}] already")
        fault = value_fault(entry.value)
        if fault:
            found.append(f"{place}.value: {fault}")
    return found[:FAULTS_MOST]


def value_fault(value: Any) -> str:
    """Why that is no value of an entry; empty where it is one."""
    if value is None:
        return ""
    if type(value) is not bytes:
        return "not bytes"
    if len(value) > VALUE_MOST:
        return f"{len(value)} bytes, {VALUE_MOST} at most"
    try:
        got = msgpack.unpackb(value, max_ext_len=0)
    except (ValueError, TypeError, msgpack.UnpackException, RecursionError) as error:
        return f"no MessagePack: {error!s:.80}"
    return "" if type(got) is dict else "no map"


def is_text(got: Any, least: int, most: int) -> bool:
    """`least` and `most`: bytes of UTF-8."""
    if type(got) is not str or len(got) > most:
        return False
    try:
        return least <= len(got.encode()) <= most
    except UnicodeEncodeError:
        return False


def chained(before: Head, scope: str, body: bytes, time_ms: int, key: bytes) -> Change:
    """The change that comes after `before`, sealed. Time never steps back."""
    revision, time_ms, digest = (
        before.revision + 1,
        max(before.time_ms, time_ms),
        digest_of_body(body),
    )
    tag = tag_of(key, before.tag, before.epoch, revision, time_ms, scope, digest)
    return Change(before.epoch, revision, time_ms, scope, body, tag, digest)


def break_of(before: Head, change: Change, keys: Sequence[bytes]) -> str:
    """Why that change does not come right after `before`; empty where it does. Any of the keys will
    do, so that they can be changed while the fleet runs.
    """
    if change.epoch != before.epoch:
        return "another epoch"
    if change.revision != before.revision + 1:
        return "an older revision" if change.revision <= before.revision else "a gap before it"
    if change.time_ms < before.time_ms:
        return "its time steps back"
    if change.body is not None and digest_of_body(change.body) != change.body_digest:
        return "its body was altered"
    if not any(
        hmac.compare_digest(
            change.tag,
            tag_of(
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


def head_of(change: Change) -> Head:
    return Head(change.epoch, change.revision, change.tag, change.time_ms)


Check = Callable[
    [Entry], list[str]
]  # faults of one entry by its meaning, with places within the value
