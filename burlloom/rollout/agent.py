"""What a server does about the rollout state's word on itself: a table. No I/O.

Nothing is drained on a permit alone, nor on a step of which nobody knows whether it was written.
"""

from enum import IntEnum

from ..transition_table import parse_transitions
from .group import SERVERS_GROUP
from .instance import InstanceInput, InstanceState
from .state import RolloutState

__all__ = ["AgentInput", "AgentState", "DrainAgent"]


class AgentState(IntEnum):
    """Where one incarnation of a server stands."""

    SERVING = 0
    BEGINNING = 1  # its step to leave is on its way to the store
    UNCERTAIN = 2  # nobody knows whether that step was written
    DRAINING = 3  # it was


class AgentInput(IntEnum):
    """What moves a server from state to state."""

    PERMITTED = 0  # the state, as it was read, allows us to leave
    STATE_OUT = 1  # it says that this incarnation is leaving
    STATE_OTHER = 2  # it says anything else
    WRITE_ACCEPTED = 3  # our step was written
    WRITE_CONFLICT = 4  # somebody wrote before us: it was not
    WRITE_UNKNOWN = 5


TABLE = """
SERVING   PERMITTED      - BEGINNING begin
SERVING   STATE_OUT      - DRAINING  drain
BEGINNING WRITE_ACCEPTED - DRAINING  drain
BEGINNING WRITE_CONFLICT - SERVING   -
BEGINNING WRITE_UNKNOWN  - UNCERTAIN -
UNCERTAIN PERMITTED      - SERVING   -
UNCERTAIN STATE_OUT      - DRAINING  drain
UNCERTAIN STATE_OTHER    - SERVING   -
"""
RULES = parse_transitions(TABLE, AgentState, AgentInput, str, str)


class DrainAgent:
    """One incarnation of a server."""

    def __init__(self, name: str, incarnation: int) -> None:
        """Begins serving.

        Args:
            name: The server's.
            incarnation: The server's.
        """
        self.name = name
        self.incarnation = incarnation
        self.state = AgentState.SERVING

    def apply_input(self, received: AgentInput) -> str:
        """Moves by the table.

        Returns:
            The effect: `begin`, `drain`, `-`; empty where no row holds.
        """
        for _, state, effect in RULES.get((self.state, received), ()):
            self.state = state
            return effect
        return ""

    def process_state(self, state: RolloutState) -> str:
        """Takes in a state that was read after all that we know of our own steps.

        Returns:
            The effect, as of `apply_input`.
        """
        server = state.servers.get(self.name)
        if server is None:
            return self.apply_input(AgentInput.STATE_OTHER)
        if server.left_incarnation == self.incarnation:
            return self.apply_input(AgentInput.STATE_OUT)
        is_ours = server.incarnation <= self.incarnation
        if server.state is InstanceState.GRANTED and is_ours:
            return self.apply_input(AgentInput.PERMITTED)
        return self.apply_input(AgentInput.STATE_OTHER)

    def begin_drain(self, state: RolloutState) -> RolloutState | None:
        """Returns the state in which we have begun to leave; None where that is not allowed."""
        ticket = state.servers[self.name].drain_ticket
        changed, effect = state.apply_input(
            SERVERS_GROUP,
            self.name,
            InstanceInput.BEGIN,
            incarnation=self.incarnation,
            ticket=ticket,
        )
        return changed if effect else None
