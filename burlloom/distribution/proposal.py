"""What a new change becomes: checked whole, then the next revision, sealed. No I/O."""

from collections.abc import Sequence

from .changes import (
    MAX_BODY_BYTES,
    Change,
    ConfigItem,
    Head,
    InvalidChangeError,
    ItemCheck,
    change_faults,
    encode_items,
    next_change,
)


def propose(
    head: Head,
    scope: str,
    entries: Sequence[ConfigItem],
    time_ms: int,
    key: bytes,
    check: ItemCheck | None = None,
) -> Change:
    """The change that follows `head`, signed with `key`. `time_ms`: Unix ms. `check`: faults of an
    entry's meaning. Whoever appends it does so only where `head` is still the last; else it is
    proposed anew. Raises `Refused` with all faults and their places.
    """
    found = change_faults(scope, entries)
    if not found and check is not None:
        found = [
            f"entries[{at}].{fault}" for at, entry in enumerate(entries) for fault in check(entry)
        ]
    if not found:
        body = encode_items(entries)
        if len(body) > MAX_BODY_BYTES:
            found = [f"body: {len(body)} bytes, {MAX_BODY_BYTES} at most"]
    if found:
        raise InvalidChangeError(found)
    return next_change(head, scope, body, time_ms, key)
