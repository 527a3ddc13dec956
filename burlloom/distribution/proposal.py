"""Validates a proposed change and seals it as the next revision. Does no I/O."""

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
    """Returns the change that follows `head`, signed with `key`.

    The change may be appended only while `head` is still the store's head; otherwise it has to be
    proposed again.

    Args:
        head: The head that the change follows.
        scope: "" for all regions, or a region.
        entries: The items to set or delete.
        time_ms: Current time in Unix ms.
        key: The signing key.
        check: Returns semantic faults of an item, which the format checks can't find.

    Raises:
        InvalidChangeError: The change is invalid; the error lists all faults with their places.
    """
    faults = change_faults(scope, entries)
    if not faults and check is not None:
        faults = [
            f"entries[{index}].{fault}"
            for index, item in enumerate(entries)
            for fault in check(item)
        ]
    if not faults:
        body = encode_items(entries)
        if len(body) > MAX_BODY_BYTES:
            faults = [f"body: {len(body)} bytes, at most {MAX_BODY_BYTES} allowed"]
    if faults:
        raise InvalidChangeError(faults)
    return next_change(head, scope, body, time_ms, key)
