"""One server, or one instance of a service below, while it is taken out of service and comes back:
a table. No I/O.

States: IN it serves, as far as the book knows; GRANTED it may leave and has not begun; OUT it has
begun to leave, or was told to by its platform; BACK it serves again, or kept on, and has not
settled; MISSING it went without a word, or is not back in time; GONE not in the book.

All but IN count against the budget, so a permit's or an absence's end never frees what is not back:
an absence ends by a life later than the one that left, or by somebody's word that it is gone for
good. Whoever holds a permit begins by a step in the book itself; where the permit was taken back
before, there is none to begin on. A permit out of IN wants room; one out of BACK or MISSING, for
who is to go back to an older version, wants that fewer were sent out than the budget allows: it may
serve, though it counts as away.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import IntEnum

from ..transition_table import parse_transitions


class State(IntEnum):
    IN = 0
    GRANTED = 1
    OUT = 2
    BACK = 3
    MISSING = 4
    GONE = 5


class Input(IntEnum):
    SEEN = 0  # it serves, in the life that is told with it
    SILENT = 1  # not heard for as long as a sign of life counts
    PARTS = 2  # it says that it is leaving: its platform told it to
    GRANT = 3
    BEGIN = 4  # by whom the permit is for
    REVOKE = 5
    EXPIRED = 6  # the time for what it was to do is over
    GIVEN = 7  # an operator says that it may be called again
    SETTLED = 8  # it has served for long enough since it came back
    RETIRE = 9  # an operator says that it will not come back, or nobody waits any longer


TABLE = """
GONE    SEEN    -     BACK    enter
IN      SEEN    newer BACK    fall
IN      SILENT  -     MISSING lose
IN      PARTS   -     OUT     leave
IN      GRANT   room  GRANTED -
IN      RETIRE  -     GONE    -
GRANTED SEEN    newer BACK    fall
GRANTED SILENT  -     MISSING refuse
GRANTED PARTS   -     OUT     leave
GRANTED BEGIN   mine  OUT     leave
GRANTED REVOKE  -     BACK    refuse
GRANTED EXPIRED -     BACK    refuse
GRANTED RETIRE  -     GONE    -
OUT     SEEN    again BACK    come
OUT     GIVEN   -     BACK    come
OUT     EXPIRED below BACK    come
OUT     EXPIRED -     MISSING lose
OUT     RETIRE  -     GONE    -
BACK    SEEN    newer BACK    fall
BACK    SILENT  -     MISSING lose
BACK    PARTS   -     OUT     leave
BACK    SETTLED -     IN      -
BACK    EXPIRED -     MISSING lose
BACK    GRANT   stays GRANTED -
BACK    RETIRE  -     GONE    -
MISSING SEEN    again BACK    come
MISSING GRANT   stays GRANTED -
MISSING RETIRE  -     GONE    -
"""


@dataclass(frozen=True, slots=True)
class Unit:
    """`life`: the one that served last; `left`: one that is known to leave, 0 where none is.
    `since`: the book's step that brought it to this state. `version`: that it served with last;
    `to`: that it is to start with next, empty: the good one. `moved`: the plan that sent it out
    last. `asked`: the ticket of an operator's order to take it out, 0: none. `span_ms`: for how
    long, 0: as long as any other.
    """

    state: State = State.GONE
    life: int = 0
    left: int = 0
    since: int = 0
    version: str = ""
    to: str = ""
    moved: int = 0
    asked: int = 0
    span_ms: int = 0

    @property
    def counts(self) -> bool:
        """Against the budget."""
        return self.state not in (State.IN, State.GONE)

    @property
    def sent(self) -> bool:
        """It may have left with a permit, or may yet, and has not been seen since."""
        return (
            self.state in (State.GRANTED, State.OUT)
            or self.state is State.MISSING
            and self.left >= self.life
        )


@dataclass(frozen=True, slots=True)
class News:
    """What goes with an input. `life`: of who speaks; `ticket`: of the order on which it acts;
    `room`: whether the budget has any; `few`: whether fewer were sent out by it than it allows,
    whoever else is away; `below`: an instance of a service below, of which nobody starts a new
    life.
    """

    step: int
    life: int = 0
    ticket: int = 0
    room: bool = False
    few: bool = False
    below: bool = False


def newer(unit: Unit, news: News) -> bool:
    return news.life > unit.life


def again(unit: Unit, news: News) -> bool:
    """Later than the life that left: a letter of that one, late, does not bring it back."""
    return news.life > unit.left


def mine(unit: Unit, news: News) -> bool:
    """Not another's order on the same instance, nor of a life before."""
    return news.ticket == unit.asked and news.life >= unit.life


def room(unit: Unit, news: News) -> bool:
    return news.room


def stays(unit: Unit, news: News) -> bool:
    """It counts already, but may be serving all the same: it waits for those who were sent out, as
    any other.
    """
    return news.few and unit.left < unit.life


def below(unit: Unit, news: News) -> bool:
    return news.below


def enter(unit: Unit, news: News) -> Unit:
    return replace(unit, life=news.life)


def come(unit: Unit, news: News) -> Unit:
    return replace(unit, life=max(news.life, unit.life), asked=0)


def leave(unit: Unit, news: News) -> Unit:
    return replace(unit, left=max(unit.left, news.life), asked=0)


def refuse(unit: Unit, news: News) -> Unit:
    """Nothing has come of the permit. Whoever waited for an instance below is gone by now, or asks
    anew.
    """
    return replace(unit, moved=0, to="", asked=0 if news.below else unit.asked)


def same(unit: Unit, news: News) -> Unit:
    return unit


TESTS: dict[str, Callable[[Unit, News], bool]] = {
    "-": lambda unit, news: True,
    "newer": newer,
    "again": again,
    "mine": mine,
    "room": room,
    "stays": stays,
    "below": below,
}
EFFECTS: dict[str, Callable[[Unit, News], Unit]] = {
    "-": same,
    "lose": same,
    "refuse": refuse,
    "enter": enter,
    "fall": enter,
    "come": come,
    "leave": leave,
}
RULES = parse_transitions(TABLE, State, Input, TESTS.__getitem__, str)


def meet(unit: Unit, what: Input, news: News) -> tuple[Unit, str] | None:
    """By the first row whose test holds: the unit after it and the effect's name; None where there
    is none.
    """
    for test, after, effect in RULES.get((unit.state, what), ()):
        if test(unit, news):
            made = EFFECTS[effect](unit, news)
            return replace(made, state=after, since=news.step), effect
    return None
