"""The fate of a mark: every history of small worlds, and rows that are broken on purpose."""

import pytest
from explore import Broken, Explorer

from burlloom.record import fate

# Small enough for CI; larger ones are in docs/results.md.
WORLDS = {
    "one node": (1, 2, 2, 2),
    "two nodes": (2, 2, 1, 1),
    "two nodes, no fault, two crashes": (2, 2, 2, 0),
}


@pytest.mark.parametrize("world", WORLDS.values(), ids=list(WORLDS))
def test_no_history_runs_it_twice(world: tuple[int, int, int, int]) -> None:
    assert Explorer(*world).walk() > 1000


BROKEN = {
    "runs though its claim was lost": (
        "ASK   LOST                       GONE   refuse",
        "ASK   LOST                       RUN    run",
    ),
    "runs though nobody knows of its claim": (
        "ASK   UNSURE                     ASK    claim_later",
        "ASK   UNSURE                     RUN    run",
    ),
    "runs though another has it": (
        "ASK   TAKEN                      ELSE   copy+follow",
        "ASK   TAKEN                      RUN    run",
    ),
    "runs though it ran": (
        "ASK   FOUND                      GONE   copy+give",
        "ASK   FOUND                      RUN    run",
    ),
    "runs what is in doubt": (
        "ASK   BARE                       GONE   copy+void",
        "ASK   BARE                       RUN    run",
    ),
    "takes a claim back that ran": (
        "RUN   FAIL                       ILL    finish",
        "RUN   FAIL                       BACK   withdraw",
    ),
    "takes doubt for nothing": (
        "OPEN  DEAD                       DOUBT  doubt",
        "OPEN  DEAD                       BACK   found_unrun",
    ),
    "runs without a claim in time": (
        "ASK   SLOW                       BACK   refuse+withdraw",
        "ASK   SLOW                       RUN    run",
    ),
    "forgets to take its claim back": (
        "ASK   HELD       given_up        BACK   unrun+withdraw",
        "ASK   HELD       given_up        RUN    run+unrun",
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_row_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    row, instead = BROKEN[name]
    assert row in fate.TABLE
    monkeypatch.setattr(fate, "RULES", fate.rules(fate.TABLE.replace(row, instead)))
    with pytest.raises(Broken):
        for world in WORLDS.values():
            Explorer(*world).walk()
