"""Named moments in the handling of a keyed request, at which tests stop or kill the program.

Nothing in the program sets `hook`; the kill-and-restart rig does, in a process of its own.
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
    """Calls the hook, if there is one, with the failpoint's name."""
    if hook is not None:
        hook(name)


def hit_after_send(name: str) -> None:
    """Calls the hook once what was submitted in this iteration of the loop has left."""
    if hook is not None:
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, loop.call_soon, hit, name)


def hit_for_batch(kinds: set[str], moment: str) -> None:
    """Calls the hook for a batch with writes of these kinds; others are skipped."""
    if hook is not None:
        for kind in BATCH_KINDS:
            if kind in kinds:
                hit(f"{kind}-{moment}")
