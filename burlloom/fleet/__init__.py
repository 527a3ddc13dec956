"""What a fleet does as a whole: who is in it, how the calls below are shared out, who talks to
which services.

Without I/O; `server/fleeting.py` has the sockets, `lab/fleets.py` a network in simulated time.
"""

from .deal import CALL, Terms
from .fleet import Fleet, Habits, summary
from .members import State, Word
from .subset import Spread, Turns, spread

__all__ = [
    "CALL",
    "Fleet",
    "Habits",
    "Spread",
    "State",
    "Terms",
    "Turns",
    "Word",
    "spread",
    "summary",
]
