"""What a new change becomes: checked whole, then the next revision, sealed. No I/O."""

from collections.abc import Sequence

from .changes import BODY_MOST, Change, Check, Entry, Head, Refused, chained, encode, faults


def propose(
    head: Head,
    scope: str,
    entries: Sequence[Entry],
    time_ms: int,
    key: bytes,
    check: Check | None = None,
) -> Change:
    """The change that follows `head`, signed with `key`. `time_ms`: Unix ms. `check`: faults of an
    entry's meaning. Whoever appends it does so only where `head` is still the last; else it is
    proposed anew. Raises `Refused` with all faults and their places.
    """
    found = faults(scope, entries)
    if not found and check is not None:
        found = [
            f"entries[{at}].{fault}" for at, entry in enumerate(entries) for fault in check(entry)
        ]
    if not found:
        body = encode(entries)
        if len(body) > BODY_MOST:
            found = [f"body: {len(body)} bytes, {BODY_MOST} at most"]
    if found:
        raise Refused(found)
    return chained(head, scope, body, time_ms, key)
