"""Validates a proposed change and seals it as the next revision. No I/O."""

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
    """Return the change that follows `head`, signed with `key`.

    It may be appended only while `head` is still the last; otherwise it has to be proposed again.

    Args:
        head: the head that it follows.
        scope: "" or a region.
        entries: the items to set or delete.
        time_ms: Unix ms.
        key: the signing key.
        check: returns faults of an item's meaning.

    Raises:
        InvalidChangeError: with all faults and their places.
    """
    found = change_faults(scope, entries)
    if not found and check is not None:
        found = [
            f"entries[{at}].{fault}" for at, item in enumerate(entries) for fault in check(item)
        ]
    if not found:
        body = encode_items(entries)
        if len(body) > MAX_BODY_BYTES:
            found = [f"body: {len(body)} bytes, {MAX_BODY_BYTES} at most"]
    if found:
        raise InvalidChangeError(found)
    return next_change(head, scope, body, time_ms, key)
