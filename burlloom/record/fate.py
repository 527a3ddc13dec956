"""The fate of a mark: what one node knows of a txn that must not have its effect twice.

No I/O. A `Fate` stands for one try's hold on a mark, from the moment that the decisions start it
until its end is durable; what a former life of this node left is read back into one too. Whoever
keeps it hands each thing that happens to `meet`, which moves it by TABLE and names the effect that
is to follow. The same table is walked exhaustively in tests/test_fate.py, with crashes at every
step.

States: NEW nothing known here; ASK a claim is on its way, nothing was begun; RUN the run may have
begun; RAN and ILL it ended, with a result or without one to give, and that is on its way to the
store; KEPT and SPENT that is durable; BACK it never ran, and its claim is being taken back; ELSE
another life of some node holds the mark; OPEN a former life of this node began it, and its executor
lived on; DOUBT nobody can tell whether it ran; GONE nothing is left to do.
"""

from collections.abc import Callable
from enum import IntEnum

State = IntEnum("State", "NEW ASK RUN RAN ILL KEPT SPENT BACK ELSE OPEN DOUBT GONE", start=0)
Input = IntEnum(
    "Input",
    [
        "START",  # the decisions start it
        "HELD",
        "LOST",
        "UNSURE",
        "FENCED",  # the last write: durable; surely not; nobody knows; no longer ours to make
        "TAKEN",
        "FOUND",
        "BARE",
        "ABSENT",  # the store has another's: running; with its result; without one; or none
        "SLOW",  # the store has had its part of the txn's time
        "LEFT",  # the decisions gave it up before its run began
        "PASS",
        "FAIL",
        "NOOP",  # the executor's word: it ran well; it ran, without a result; it never ran
        "LOOKED",  # a marked retry that is not known here; the store's word on its mark follows
        "READ_OPEN",
        "READ_DOUBT",  # read back after a start: begun; the executor may still tell, or is gone too
        "DEAD",  # the executor will not tell any more
        "SAY_RAN",
        "SAY_UNRUN",  # an operator's word
        "OVER",  # its window is over
    ],
    start=0,
)

TABLE = """
NEW   START                      ASK    claim
NEW   LOOKED                     NEW    look
NEW   TAKEN                      ELSE   plant+follow
NEW   FOUND                      GONE   plant+give
NEW   BARE                       GONE   plant+void
NEW   ABSENT                     GONE   kept
NEW   FENCED                     GONE   kept
NEW   LOST                       GONE   kept
NEW   UNSURE                     GONE   kept
NEW   SLOW                       GONE   kept
NEW   READ_OPEN                  OPEN   watch
NEW   READ_DOUBT                 DOUBT  doubt
ASK   LEFT                       ASK    -
ASK   HELD       given_up        BACK   unrun+withdraw
ASK   HELD                       RUN    run
ASK   LOST       given_up        GONE   unrun
ASK   LOST       prefer          RUN    run_unkept
ASK   LOST                       GONE   refuse
ASK   FENCED                     GONE   refuse
ASK   UNSURE     given_up        BACK   unrun+withdraw
ASK   UNSURE     late prefer     RUN    run_unkept
ASK   UNSURE     late            BACK   refuse+withdraw
ASK   UNSURE                     ASK    claim_later
ASK   SLOW       given_up        BACK   unrun+withdraw
ASK   SLOW       prefer          RUN    run_unkept
ASK   SLOW                       BACK   refuse+withdraw
ASK   TAKEN      given_up        GONE   unrun
ASK   TAKEN                      ELSE   copy+follow
ASK   FOUND                      GONE   copy+give
ASK   BARE                       GONE   copy+void
RUN   TAKEN                      RUN    alarm
RUN   FOUND                      RUN    alarm
RUN   BARE                       RUN    alarm
RUN   PASS                       RAN    finish
RUN   FAIL                       ILL    finish
RUN   NOOP                       BACK   withdraw
RAN   HELD                       KEPT   kept
RAN   FENCED                     KEPT   alarm
RAN   TAKEN                      KEPT   alarm
RAN   FOUND                      KEPT   alarm
RAN   BARE                       KEPT   alarm
RAN   ABSENT                     RAN    insert
RAN   LOST                       RAN    finish_later
RAN   UNSURE                     RAN    finish_later
RAN   OVER                       GONE   kept
ILL   HELD                       SPENT  kept
ILL   FENCED                     SPENT  alarm
ILL   TAKEN                      SPENT  alarm
ILL   FOUND                      SPENT  alarm
ILL   BARE                       SPENT  alarm
ILL   ABSENT                     ILL    insert
ILL   LOST                       ILL    finish_later
ILL   UNSURE                     ILL    finish_later
ILL   OVER                       GONE   kept
BACK  HELD                       GONE   kept
BACK  ABSENT                     GONE   kept
BACK  FENCED                     GONE   kept
BACK  TAKEN                      GONE   kept
BACK  FOUND                      GONE   kept
BACK  BARE                       GONE   kept
BACK  LOST                       BACK   withdraw_later
BACK  UNSURE                     BACK   withdraw_later
BACK  OVER                       GONE   kept
ELSE  TAKEN                      ELSE   follow_later
ELSE  LOST                       ELSE   follow_later
ELSE  UNSURE                     ELSE   follow_later
ELSE  FOUND                      GONE   give
ELSE  BARE                       GONE   void
ELSE  ABSENT                     GONE   freed
ELSE  FENCED                     GONE   void
ELSE  LEFT                       GONE   lose
ELSE  OVER                       GONE   void
OPEN  PASS                       RAN    found_ran
OPEN  FAIL                       ILL    found_ill
OPEN  NOOP                       BACK   found_unrun
OPEN  SAY_RAN                    ILL    found_ill
OPEN  SAY_UNRUN                  BACK   found_unrun
OPEN  DEAD                       DOUBT  doubt
OPEN  OVER                       GONE   void
DOUBT PASS                       RAN    found_ran
DOUBT FAIL                       ILL    found_ill
DOUBT NOOP                       BACK   found_unrun
DOUBT SAY_RAN                    ILL    found_ill
DOUBT SAY_UNRUN                  BACK   found_unrun
DOUBT OVER                       GONE   kept
"""


class Fate:
    """One try's hold on a mark. `at`, `until` and `ask_until` are wall-clock nanoseconds."""

    __slots__ = (
        "mark",
        "id",
        "life",
        "turn",
        "at",
        "until",
        "ask_until",
        "state",
        "given_up",
        "prefer",
        "result",
        "writes",
    )

    def __init__(
        self,
        mark: bytes,
        id: str,
        life: int,
        turn: int,
        at: int,
        until: int,
        *,
        ask_until: int = 0,
        prefer: bool = False,
    ) -> None:
        self.mark, self.id, self.life, self.turn, self.at, self.until = (
            mark,
            id,
            life,
            turn,
            at,
            until,
        )
        self.ask_until, self.prefer = ask_until, prefer
        self.state, self.given_up, self.result, self.writes = State.NEW, False, b"", 0

    def meet(self, what: Input, now: int) -> tuple[str, ...]:
        """Moves by the first row whose tests all hold; gives its effects."""
        if what is Input.LEFT:
            self.given_up = True
        for tests, state, effect in RULES.get((self.state, what), ()):
            if all(test(self, now) for test in tests):
                self.state = state
                return effect
        return ()

    @property
    def written(self) -> State:
        """What a write of it says now."""
        return {State.RAN: State.KEPT, State.ILL: State.SPENT}.get(self.state, State.RUN)


Test = Callable[[Fate, int], bool]
TESTS: dict[str, Test] = {
    "given_up": lambda fate, now: fate.given_up,
    "prefer": lambda fate, now: fate.prefer,
    "late": lambda fate, now: now >= fate.ask_until,
}
Rules = dict[tuple[State, Input], list[tuple[tuple[Test, ...], State, tuple[str, ...]]]]


def rules(table: str) -> Rules:
    found: Rules = {}
    for state, what, *tests, after, effect in filter(None, map(str.split, table.split("\n"))):
        row = (
            tuple(TESTS[test] for test in tests),
            State[after],
            () if effect == "-" else tuple(effect.split("+")),
        )
        found.setdefault((State[state], Input[what]), []).append(row)
    return found


RULES = rules(TABLE)
