"""The program as it is, but ended by SIGKILL at a named moment: KILL_AT=NAME:COUNT in its
environment.
"""

import os
import signal
import sys

from burlloom.record import failpoints as points
from burlloom.server.__main__ import main

name, _, count = os.environ.get("KILL_AT", "").partition(":")
left = int(count or 1)


def hook(reached: str) -> None:
    global left
    if reached == name:
        left -= 1
        if not left:
            os.kill(os.getpid(), signal.SIGKILL)


if name:
    assert name in points.FAILPOINT_NAMES, name
    points.hook = hook
sys.exit(main())
