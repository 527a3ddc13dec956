"""Signals that the program heeds go to its main thread alone.

The kernel hands one to any thread that does not block it. Handed to another, it is noted by that
one, and the main thread, whose work it is to act on it, may have taken in requests meanwhile: after
a pause of the process, and on a machine on which the other thread has to wait for a core, many.
"""

import signal
from collections.abc import Iterator
from contextlib import contextmanager

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_signals() -> None:
    """In this thread, and all that it starts from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


@contextmanager
def signals_blocked() -> Iterator[None]:
    """For the start of a thread, which takes this over for good."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
