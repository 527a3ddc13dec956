"""Decides when a server drains itself, as a state machine. No I/O.

A server drains only once the store holds the step in which it leaves. A permit alone is not enough,
nor is a write whose outcome is unknown.
"""

from enum import IntEnum

from ..transition_table import parse_transitions
from .group import SERVERS_GROUP
from .instance import InstanceInput, InstanceState
from .state import RolloutState

__all__ = ["AgentInput", "AgentState", "DrainAgent"]


class AgentState(IntEnum):
    """State of one incarnation of a server."""

    SERVING = 0
    BEGINNING = 1  # the write of the step to leave is in progress
    UNCERTAIN = 2  # the outcome of that write is unknown
    DRAINING = 3  # the store holds the step to leave


class AgentInput(IntEnum):
    """Input that moves a server to its next state."""

    PERMITTED = 0  # the rollout state read last has a permit for this server
    STATE_OUT = 1  # the rollout state read last has this incarnation as leaving
    STATE_OTHER = 2  # the rollout state read last has neither
    WRITE_ACCEPTED = 3  # the step to leave was written
    WRITE_CONFLICT = 4  # the step was not written, since another process wrote first
    WRITE_UNKNOWN = 5  # the store failed during the write


# Columns: state, input, test, next state, effect; "-" stands for no test or no effect.
TRANSITION_TABLE = """
SERVING   PERMITTED      - BEGINNING begin
SERVING   STATE_OUT      - DRAINING  drain
BEGINNING WRITE_ACCEPTED - DRAINING  drain
BEGINNING WRITE_CONFLICT - SERVING   -
BEGINNING WRITE_UNKNOWN  - UNCERTAIN -
UNCERTAIN PERMITTED      - SERVING   -
UNCERTAIN STATE_OUT      - DRAINING  drain
UNCERTAIN STATE_OTHER    - SERVING   -
"""
RULES = parse_transitions(TRANSITION_TABLE, AgentState, AgentInput, str, str)


class DrainAgent:
    """Decides for one incarnation of a server when it drains."""

    def __init__(self, name: str, incarnation: int) -> None:
        """Starts in state SERVING.

        Args:
            name: Name of the server.
            incarnation: Incarnation of the server.
        """
        self.name = name
        self.incarnation = incarnation
        self.state = AgentState.SERVING

    def apply_input(self, received: AgentInput) -> str:
        """Applies an input by the table.

        Returns:
            The effect: `begin`, `drain` or `-`; empty if no row applies.
        """
        for _, state, effect in RULES.get((self.state, received), ()):
            self.state = state
            return effect
        return ""

    def process_state(self, state: RolloutState) -> str:
        """Applies a rollout state that was read after the agent's last write ended.

        Returns:
            The effect, as returned by `apply_input`.
        """
        server = state.servers.get(self.name)
        if server is None:
            return self.apply_input(AgentInput.STATE_OTHER)
        if server.left_incarnation == self.incarnation:
            return self.apply_input(AgentInput.STATE_OUT)
        is_for_this_incarnation = server.incarnation <= self.incarnation
        if server.state is InstanceState.GRANTED and is_for_this_incarnation:
            return self.apply_input(AgentInput.PERMITTED)
        return self.apply_input(AgentInput.STATE_OTHER)

    def begin_drain(self, state: RolloutState) -> RolloutState | None:
        """Returns the state in which this server begins to leave; None if it may not."""
        ticket = state.servers[self.name].drain_ticket
        changed, effect = state.apply_input(
            SERVERS_GROUP,
            self.name,
            InstanceInput.BEGIN,
            incarnation=self.incarnation,
            ticket=ticket,
        )
        return changed if effect else None
