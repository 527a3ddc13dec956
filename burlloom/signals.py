"""Delivers the signals that the program handles to its main thread only.

The kernel delivers a signal to any thread that does not block it. Python runs handlers in the main
thread only: another thread that receives the signal merely marks it as pending. Until the main
thread runs the handler it may accept further requests: many of them after the process was paused,
or on a machine where the receiving thread waits for a core.
"""

import signal
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["HANDLED_SIGNALS", "block_signals", "signals_blocked", "unblock_signals"]

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_signals() -> None:
    """Blocks the handled signals in this thread and in every thread that it starts afterwards."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Unblocks the handled signals in this thread; pending ones are delivered at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


@contextmanager
def signals_blocked() -> Iterator[None]:
    """Blocks the handled signals within a `with` block; threads started in it inherit the mask."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
