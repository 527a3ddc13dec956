"""The lab: whole fleets in simulated time, driven by an open load, watched by a checker of the four
rules.

Nothing here decides for the program: each node is the real server with its desk and decisions,
between emulated parts.
"""

from .emulator import Emulator, Outcome, play
from .world import World

__all__ = ["Emulator", "Outcome", "World", "play"]
