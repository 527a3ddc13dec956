"""The fate of a mark: every history of small worlds, and rows that are broken on purpose."""

import pytest
from explore import Broken, Explorer

from burlloom.record import request_lifecycle as fate

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
        "CLAIMING          WRITE_FAILED                       CLOSED            reject",
        "CLAIMING          WRITE_FAILED                       RUNNING           start_run",
    ),
    "runs though nobody knows of its claim": (
        "CLAIMING          WRITE_UNCERTAIN                    CLAIMING          retry_claim",
        "CLAIMING          WRITE_UNCERTAIN                    RUNNING           start_run",
    ),
    "runs though another has it": (
        "CLAIMING          FOUND_CLAIMED                      CLAIMED_ELSEWHERE follow+poll",
        "CLAIMING          FOUND_CLAIMED                      RUNNING           start_run",
    ),
    "runs though it ran": (
        "CLAIMING          FOUND_RESULT                       CLOSED            follow+deliver_result",
        "CLAIMING          FOUND_RESULT                       RUNNING           start_run",
    ),
    "runs what is in doubt": (
        "CLAIMING          FOUND_NO_RESULT                    CLOSED            follow+fail",
        "CLAIMING          FOUND_NO_RESULT                    RUNNING           start_run",
    ),
    "takes a claim back that ran": (
        "RUNNING           RUN_FAILED                         FAILED            finish",
        "RUNNING           RUN_FAILED                         WITHDRAWING       withdraw",
    ),
    "takes doubt for nothing": (
        "AWAITING_EXECUTOR EXECUTOR_SILENT                    IN_DOUBT          mark_in_doubt",
        "AWAITING_EXECUTOR EXECUTOR_SILENT                    WITHDRAWING       resolve_as_never_ran",
    ),
    "runs without a claim in time": (
        "CLAIMING          STORE_TIMED_OUT                    WITHDRAWING       reject+withdraw",
        "CLAIMING          STORE_TIMED_OUT                    RUNNING           start_run",
    ),
    "forgets to take its claim back": (
        "CLAIMING          WRITE_APPLIED      abandoned       WITHDRAWING       report_never_ran+withdraw",
        "CLAIMING          WRITE_APPLIED      abandoned       RUNNING           start_run+report_never_ran",
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_row_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    row, instead = BROKEN[name]
    assert row in fate.TRANSITION_TABLE
    monkeypatch.setattr(
        fate, "TRANSITION_RULES", fate.parse_rules(fate.TRANSITION_TABLE.replace(row, instead))
    )
    with pytest.raises(Broken):
        for world in WORLDS.values():
            Explorer(*world).walk()
