"""What a server does about the book's word on itself: a table. No I/O.

States: SERVING; ASKING its step to leave is on its way to the book; DOUBT nobody knows whether that
step was taken; LEAVING it was: the server drains. Nothing is drained on a permit alone, nor on a
step in doubt.
"""

from enum import IntEnum

from ..transition_table import parse_transitions
from .book import SERVERS, Book
from .units import Input as Step
from .units import State as At


class State(IntEnum):
    SERVING = 0
    ASKING = 1
    DOUBT = 2
    LEAVING = 3


class Input(IntEnum):
    PERMIT = 0  # the book, as it was read, allows us to leave
    SAYS_OUT = 1  # it says that this life of ours is leaving
    SAYS_ELSE = 2
    HELD = 3  # our step was taken
    BEATEN = 4  # somebody wrote before us: it was not
    UNSURE = 5


TABLE = """
SERVING PERMIT    - ASKING  ask
SERVING SAYS_OUT  - LEAVING drain
ASKING  HELD      - LEAVING drain
ASKING  BEATEN    - SERVING -
ASKING  UNSURE    - DOUBT   -
DOUBT   PERMIT    - SERVING -
DOUBT   SAYS_OUT  - LEAVING drain
DOUBT   SAYS_ELSE - SERVING -
"""
RULES = parse_transitions(TABLE, State, Input, str, str)


class Hand:
    """Of one life of the server `name`."""

    def __init__(self, name: str, life: int) -> None:
        self.name, self.life = name, life
        self.state = State.SERVING

    def meet(self, what: Input) -> str:
        """Gives the effect: `ask`, `drain`, `-`, or nothing where no row holds."""
        for _, state, effect in RULES.get((self.state, what), ()):
            self.state = state
            return effect
        return ""

    def reads(self, book: Book) -> str:
        """A book that was read after all that we know of our own steps."""
        unit = book.servers.get(self.name)
        if unit is not None and unit.left == self.life:
            return self.meet(Input.SAYS_OUT)
        if unit is not None and unit.state is At.GRANTED and unit.life <= self.life:
            return self.meet(Input.PERMIT)
        return self.meet(Input.SAYS_ELSE)

    def step(self, book: Book) -> Book | None:
        """The book in which we have begun to leave."""
        unit = book.servers[self.name]
        made, effect = book.meet(SERVERS, self.name, Step.BEGIN, life=self.life, ticket=unit.asked)
        return made if effect else None
