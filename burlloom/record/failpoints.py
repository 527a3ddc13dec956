"""Named points in the handling of a keyed request at which tests pause or kill the process.

The server never sets `hook`; only the kill-and-restart benchmark does, in its server process.
"""

import asyncio
from collections.abc import Callable

__all__ = ["FAILPOINT_NAMES", "hit", "hit_after_send", "hit_for_batch"]

FAILPOINT_NAMES = (
    "claim-posted",
    "claim-commit",
    "claim-durable",
    "executed",
    "ended",
    "finish-posted",
    "finish-commit",
    "finish-durable",
    "answering",
    "answered",
)
BATCH_KINDS = ("claim", "finish")
hook: Callable[[str], None] | None = None


def hit(name: str) -> None:
    """Calls the hook, if one is set, with the failpoint's name."""
    if hook is not None:
        hook(name)


def hit_after_send(name: str) -> None:
    """Calls the hook after the data submitted in this iteration of the event loop was sent."""
    if hook is not None:
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, loop.call_soon, hit, name)


def hit_for_batch(kinds: set[str], moment: str) -> None:
    """Calls the hook once for each kind in the batch that is one of `BATCH_KINDS`."""
    if hook is not None:
        for kind in BATCH_KINDS:
            if kind in kinds:
                hit(f"{kind}-{moment}")
