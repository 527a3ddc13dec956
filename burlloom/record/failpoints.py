"""Named moments on a charge's way, at which tests stop or kill the program.

Nothing in the program sets `hook`; the kill-and-restart rig does, in a process of its own.
"""

import asyncio
from collections.abc import Callable

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
hook: Callable[[str], None] | None = None


def hit(name: str) -> None:
    if hook is not None:
        hook(name)


def hit_after_send(name: str) -> None:
    """After what was posted in this turn of the loop has left."""
    if hook is not None:
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, loop.call_soon, hit, name)


def hit_for_batch(kinds: set[str], moment: str) -> None:
    """Of a batch with writes of these kinds; those without a name here are passed over."""
    if hook is not None:
        for kind in ("claim", "finish"):
            if kind in kinds:
                hit(f"{kind}-{moment}")
