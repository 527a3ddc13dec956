"""Runs the server program, and kills it with SIGKILL at a failpoint of the record.

The environment variable KILL_AT=FAILPOINT:COUNT names the failpoint, and which pass through it kills
the process; without the variable the program runs as usual.
"""

import os
import signal
import sys

from burlloom.record import failpoints
from burlloom.server.__main__ import main

failpoint, _, count = os.environ.get("KILL_AT", "").partition(":")
passes_left = int(count or 1)


def kill_at_failpoint(reached: str) -> None:
    global passes_left
    if reached == failpoint:
        passes_left -= 1
        if not passes_left:
            os.kill(os.getpid(), signal.SIGKILL)


if failpoint:
    assert failpoint in failpoints.FAILPOINT_NAMES, failpoint
    failpoints.hook = kill_at_failpoint
sys.exit(main())
