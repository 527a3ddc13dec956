"""What a store keeps of a mark, and what is asked of it."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from .fate import Input, State

# The states that a row can have: begun, ended with its result, ended without one to give.
MARK_BYTES = 16
BEGUN, KEPT, SPENT = int(State.RUN), int(State.KEPT), int(State.SPENT)


class Row(NamedTuple):
    """One mark in the store; times are wall-clock nanoseconds."""

    mark: bytes
    state: int
    node: str
    life: int
    turn: int
    id: str
    at: int
    until: int
    result: bytes = b""
    seal: bytes = b""


NAMES = {BEGUN: "begun", KEPT: "ran", SPENT: "ran-without-result"}  # as an operator reads them


class Kind(IntEnum):
    CLAIM = 0  # lays a row where there is none, or an older turn of the same life
    FINISH = 1  # its end, on the row of this life and turn
    WITHDRAW = 2  # takes it away again
    INSERT = 3  # lays a whole row where there is none
    LOOK = 4  # whose is it
    FIND = 5  # any row, for a retry that is not known here


def of_finish(row: Row) -> tuple[object, ...]:
    """The values of a FINISH, in the order of both stores' statements."""
    return row.state, row.result, row.seal, row.mark, row.node, row.life, row.turn


def of_withdraw(row: Row) -> tuple[object, ...]:
    return row.mark, row.node, row.life, row.turn


@dataclass(frozen=True, slots=True)
class Write:
    """One thing asked of a store. `row` is what is to stand; for LOOK and FIND only its mark
    counts.
    """

    kind: Kind
    row: Row


@dataclass(frozen=True, slots=True)
class Word:
    """What a store says of one write: how it went, and the row that stands there where it is
    another's.
    """

    how: Input
    row: Row | None = None


def whose(
    row: Row | None,
    node: str,
    life: int,
    turn: int,
    lives: dict[str, tuple[int, bool]],
    sound: bool = True,
) -> Input:
    """What a row that stands at a mark means to the one who claimed it as (node, life, turn).

    `lives` has each node's present life, and whether it was fenced off. A claim of a life that is
    over has nobody to end it: whether it ran is in doubt, which to a repeat is the same as an end
    without a result. So is a row whose seal is broken: it may say that it ran, and what it says
    can't be served.
    """
    if row is None:
        return Input.ABSENT
    if not sound or row.state == SPENT:
        return Input.BARE
    if row.state == KEPT:
        return Input.FOUND
    if (row.node, row.life, row.turn) == (node, life, turn):
        return Input.HELD
    present, fenced = lives.get(row.node, (row.life, False))
    return Input.BARE if fenced or row.life != present else Input.TAKEN


def answer(
    write: Write, there: Row | None, lives: dict[str, tuple[int, bool]], sound: bool = True
) -> Word:
    """The word on a write that changed nothing, by the row that stands there."""
    row = write.row
    how = whose(there, row.node, row.life, row.turn, lives, sound)
    if (
        write.kind is Kind.FINISH
        and there is not None
        and sound
        and (there.node, there.life, there.turn, there.state)
        == (row.node, row.life, row.turn, row.state)
    ):
        how = Input.HELD  # said again, after a word that was lost
    return Word(how, there if how is Input.FOUND else None)


def applied(row: Row | None, write: Write, present: int) -> tuple[Row | None, bool]:
    """What stands at a mark after a write, and whether the write took hold: what each store's SQL
    must do.

    `present` is the life that the store knows of the writing node: one that is over writes nothing
    any more.
    """
    new = write.row
    ours = row is not None and (row.node, row.life, row.state) == (new.node, new.life, BEGUN)
    if write.kind in (Kind.LOOK, Kind.FIND):
        return row, False
    if write.kind in (Kind.CLAIM, Kind.INSERT) and new.life != present:
        return row, False
    if write.kind is Kind.CLAIM and row is not None and ours and row.turn <= new.turn:
        return new, True
    if write.kind in (Kind.CLAIM, Kind.INSERT):
        return (new, True) if row is None else (row, False)
    if row is None or not ours or row.turn != new.turn:
        return row, False
    if write.kind is Kind.WITHDRAW:
        return None, True
    return row._replace(state=new.state, result=new.result, seal=new.seal), True
