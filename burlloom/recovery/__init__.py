"""Coming back after a mass restart or with state lost: what of the last life may be acted on, and
how service rises.

Without I/O, and importable alone; `server/recovering.py` has the file and the clock.
"""

from .kept import Kept, Verdict, judge, read, write
from .ramp import Ramp
from .recovery import Recovery, Terms
from .retries import Retries
from .start import Input, Start, State

__all__ = [
    "Input",
    "Kept",
    "Ramp",
    "Recovery",
    "Retries",
    "Start",
    "State",
    "Terms",
    "Verdict",
    "judge",
    "read",
    "write",
]
