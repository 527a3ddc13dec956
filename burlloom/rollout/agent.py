"""What a server does about the book's word on itself: a table. No I/O.

States: SERVING; ASKING its step to leave is on its way to the book; DOUBT nobody knows whether that
step was taken; LEAVING it was: the server drains. Nothing is drained on a permit alone, nor on a
step in doubt.
"""

from enum import IntEnum

from ..transition_table import parse_transitions
from .instance import InstanceInput as Step
from .instance import InstanceState as At
from .state import SERVERS_GROUP, RolloutState


class AgentState(IntEnum):
    SERVING = 0
    BEGINNING = 1
    UNCERTAIN = 2
    DRAINING = 3


class AgentInput(IntEnum):
    PERMITTED = 0  # the book, as it was read, allows us to leave
    STATE_OUT = 1  # it says that this life of ours is leaving
    STATE_OTHER = 2
    WRITE_ACCEPTED = 3  # our step was taken
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
    """Of one life of the server `name`."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name, self.incarnation = name, incarnation
        self.state = AgentState.SERVING

    def apply_input(self, what: AgentInput) -> str:
        """Gives the effect: `ask`, `drain`, `-`, or nothing where no row holds."""
        for _, state, effect in RULES.get((self.state, what), ()):
            self.state = state
            return effect
        return ""

    def process_state(self, book: RolloutState) -> str:
        """A book that was read after all that we know of our own steps."""
        unit = book.servers.get(self.name)
        if unit is not None and unit.left_incarnation == self.incarnation:
            return self.apply_input(AgentInput.STATE_OUT)
        if unit is not None and unit.state is At.GRANTED and unit.incarnation <= self.incarnation:
            return self.apply_input(AgentInput.PERMITTED)
        return self.apply_input(AgentInput.STATE_OTHER)

    def begin_drain(self, book: RolloutState) -> RolloutState | None:
        """The book in which we have begun to leave."""
        unit = book.servers[self.name]
        made, effect = book.apply_input(
            SERVERS_GROUP,
            self.name,
            Step.BEGIN,
            incarnation=self.incarnation,
            ticket=unit.drain_ticket,
        )
        return made if effect else None
