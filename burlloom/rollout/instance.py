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


class InstanceState(IntEnum):
    IN = 0
    GRANTED = 1
    OUT = 2
    BACK = 3
    MISSING = 4
    GONE = 5

    @property
    def label(self) -> str:
        """The word for this state in the stored history and on operators' pages."""
        return self.name.lower()


class InstanceInput(IntEnum):
    SEEN = 0  # it serves, in the life that is told with it
    LOST = 1  # not heard for as long as a sign of life counts
    LEAVING = 2  # it says that it is leaving: its platform told it to
    PERMIT = 3
    BEGIN = 4  # by whom the permit is for
    REVOKE = 5
    EXPIRED = 6  # the time for what it was to do is over
    DRAIN_ENDED = 7  # an operator says that it may be called again
    SETTLED = 8  # it has served for long enough since it came back
    RETIRE = 9  # an operator says that it will not come back, or nobody waits any longer

    @property
    def label(self) -> str:
        """The word for this input in the stored history."""
        return _INPUT_LABELS.get(self) or self.name.lower()


_INPUT_LABELS = {
    InstanceInput.LOST: "silent",
    InstanceInput.LEAVING: "parts",
    InstanceInput.PERMIT: "grant",
    InstanceInput.DRAIN_ENDED: "given",
}


TABLE = """
GONE    SEEN        -                 BACK    record_incarnation
IN      SEEN        is_newer          BACK    record_crash
IN      LOST        -                 MISSING mark_missing
IN      LEAVING     -                 OUT     record_leaving
IN      PERMIT      has_budget        GRANTED -
IN      RETIRE      -                 GONE    -
GRANTED SEEN        is_newer          BACK    record_crash
GRANTED LOST        -                 MISSING cancel_permit
GRANTED LEAVING     -                 OUT     record_leaving
GRANTED BEGIN       is_own_permit     OUT     record_leaving
GRANTED REVOKE      -                 BACK    cancel_permit
GRANTED EXPIRED     -                 BACK    cancel_permit
GRANTED RETIRE      -                 GONE    -
OUT     SEEN        is_restarted      BACK    record_return
OUT     DRAIN_ENDED -                 BACK    record_return
OUT     EXPIRED     is_downstream     BACK    record_return
OUT     EXPIRED     -                 MISSING mark_missing
OUT     RETIRE      -                 GONE    -
BACK    SEEN        is_newer          BACK    record_crash
BACK    LOST        -                 MISSING mark_missing
BACK    LEAVING     -                 OUT     record_leaving
BACK    SETTLED     -                 IN      -
BACK    EXPIRED     -                 MISSING mark_missing
BACK    PERMIT      may_be_sent_again GRANTED -
BACK    RETIRE      -                 GONE    -
MISSING SEEN        is_restarted      BACK    record_return
MISSING PERMIT      may_be_sent_again GRANTED -
MISSING RETIRE      -                 GONE    -
"""


@dataclass(frozen=True, slots=True)
class Instance:
    """`life`: the one that served last; `left`: one that is known to leave, 0 where none is.
    `since`: the book's step that brought it to this state. `version`: that it served with last;
    `to`: that it is to start with next, empty: the good one. `moved`: the plan that sent it out
    last. `asked`: the ticket of an operator's order to take it out, 0: none. `span_ms`: for how
    long, 0: as long as any other.
    """

    state: InstanceState = InstanceState.GONE
    incarnation: int = 0
    left_incarnation: int = 0
    since_step: int = 0
    version: str = ""
    next_version: str = ""
    release_number: int = 0
    drain_ticket: int = 0
    drain_ms: int = 0

    @property
    def is_out(self) -> bool:
        """Against the budget."""
        return self.state not in (InstanceState.IN, InstanceState.GONE)

    @property
    def was_sent_out(self) -> bool:
        """It may have left with a permit, or may yet, and has not been seen since."""
        return (
            self.state in (InstanceState.GRANTED, InstanceState.OUT)
            or self.state is InstanceState.MISSING
            and self.left_incarnation >= self.incarnation
        )


@dataclass(frozen=True, slots=True)
class InstanceEvent:
    """What goes with an input. `life`: of who speaks; `ticket`: of the order on which it acts;
    `room`: whether the budget has any; `few`: whether fewer were sent out by it than it allows,
    whoever else is away; `below`: an instance of a service below, of which nobody starts a new
    life.
    """

    step: int
    incarnation: int = 0
    ticket: int = 0
    has_budget: bool = False
    has_sent_budget: bool = False
    is_downstream: bool = False


def is_newer(unit: Instance, news: InstanceEvent) -> bool:
    return news.incarnation > unit.incarnation


def is_restarted(unit: Instance, news: InstanceEvent) -> bool:
    """Later than the life that left: a letter of that one, late, does not bring it back."""
    return news.incarnation > unit.left_incarnation


def is_own_permit(unit: Instance, news: InstanceEvent) -> bool:
    """Not another's order on the same instance, nor of a life before."""
    return news.ticket == unit.drain_ticket and news.incarnation >= unit.incarnation


def has_budget(unit: Instance, news: InstanceEvent) -> bool:
    return news.has_budget


def may_be_sent_again(unit: Instance, news: InstanceEvent) -> bool:
    """It counts already, but may be serving all the same: it waits for those who were sent out, as
    any other.
    """
    return news.has_sent_budget and unit.left_incarnation < unit.incarnation


def is_downstream(unit: Instance, news: InstanceEvent) -> bool:
    return news.is_downstream


def record_incarnation(unit: Instance, news: InstanceEvent) -> Instance:
    return replace(unit, incarnation=news.incarnation)


def record_return(unit: Instance, news: InstanceEvent) -> Instance:
    return replace(unit, incarnation=max(news.incarnation, unit.incarnation), drain_ticket=0)


def record_leaving(unit: Instance, news: InstanceEvent) -> Instance:
    return replace(
        unit, left_incarnation=max(unit.left_incarnation, news.incarnation), drain_ticket=0
    )


def cancel_permit(unit: Instance, news: InstanceEvent) -> Instance:
    """Nothing has come of the permit. Whoever waited for an instance below is gone by now, or asks
    anew.
    """
    return replace(
        unit,
        release_number=0,
        next_version="",
        drain_ticket=0 if news.is_downstream else unit.drain_ticket,
    )


def keep(unit: Instance, news: InstanceEvent) -> Instance:
    return unit


TESTS: dict[str, Callable[[Instance, InstanceEvent], bool]] = {
    "-": lambda unit, news: True,
    "is_newer": is_newer,
    "is_restarted": is_restarted,
    "is_own_permit": is_own_permit,
    "has_budget": has_budget,
    "may_be_sent_again": may_be_sent_again,
    "is_downstream": is_downstream,
}
EFFECTS: dict[str, Callable[[Instance, InstanceEvent], Instance]] = {
    "-": keep,
    "mark_missing": keep,
    "cancel_permit": cancel_permit,
    "record_incarnation": record_incarnation,
    "record_crash": record_incarnation,
    "record_return": record_return,
    "record_leaving": record_leaving,
}
RULES = parse_transitions(TABLE, InstanceState, InstanceInput, TESTS.__getitem__, str)


def apply_input(
    unit: Instance, what: InstanceInput, news: InstanceEvent
) -> tuple[Instance, str] | None:
    """By the first row whose test holds: the unit after it and the effect's name; None where there
    is none.
    """
    for test, after, effect in RULES.get((unit.state, what), ()):
        if test(unit, news):
            made = EFFECTS[effect](unit, news)
            return replace(made, state=after, since_step=news.step), effect
    return None
