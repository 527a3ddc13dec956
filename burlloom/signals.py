"""Has the signals that the program handles delivered to its main thread alone.

The kernel delivers a signal to any thread that does not block it. Another thread would only note
it, and the main thread, which runs the handler, might have accepted requests meanwhile: many, after
a pause of the process or on a machine on which the other thread waits for a core.
"""

import signal
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["HANDLED_SIGNALS", "block_signals", "signals_blocked", "unblock_signals"]

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_signals() -> None:
    """Blocks the handled signals in this thread and in all threads that it starts from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Lets this thread receive the handled signals again; one that waited arrives at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


@contextmanager
def signals_blocked() -> Iterator[None]:
    """Blocks the handled signals in the block: a thread that is started in it inherits that."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
