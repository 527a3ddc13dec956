"""Simulates fleets of servers in simulated time, under an open load, and checks four safety rules.

Each simulated node runs the real server with its dispatcher and decisions; machines, callers, the
network and the downstream service are emulated. `rules` states what is checked.
"""

from .emulator import Emulator, Outcome, run_scenario
from .scenario import Scenario

__all__ = ["Emulator", "Outcome", "Scenario", "run_scenario"]
