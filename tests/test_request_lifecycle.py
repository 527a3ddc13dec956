"""Exhaustive exploration of the request state machine, and of deliberately broken tables."""

from types import SimpleNamespace
from typing import Any

import pytest
from explore_request_lifecycle import InvariantViolation, LifecycleExplorer

from burlloom.admission.model import Outcome
from burlloom.record import request_lifecycle
from burlloom.record.coordinator import RecordCoordinator
from burlloom.record.request_lifecycle import RequestEvent, RequestState

# Nodes, attempts, crashes and faults. Small enough for CI; docs/results.md has larger models.
MODEL_SIZES = {
    "one node": (1, 2, 2, 2),
    "two nodes": (2, 2, 1, 1),
    "two nodes, no faults, two crashes": (2, 2, 2, 0),
}


@pytest.mark.parametrize("model_size", MODEL_SIZES.values(), ids=list(MODEL_SIZES))
def test_no_sequence_of_steps_runs_a_request_twice(model_size: tuple[int, int, int, int]) -> None:
    assert LifecycleExplorer(*model_size).explore() > 1000


# Each case replaces one row of the transition table by a wrong one.
BROKEN_ROWS = {
    "runs although its claim failed": (
        "CLAIMING          WRITE_FAILED                       CLOSED            reject",
        "CLAIMING          WRITE_FAILED                       RUNNING           start_run",
    ),
    "runs although its claim is uncertain": (
        "CLAIMING          WRITE_UNCERTAIN                    CLAIMING          retry_claim",
        "CLAIMING          WRITE_UNCERTAIN                    RUNNING           start_run",
    ),
    "runs although another claim holds the key": (
        "CLAIMING          FOUND_CLAIMED                      CLAIMED_ELSEWHERE follow+poll",
        "CLAIMING          FOUND_CLAIMED                      RUNNING           start_run",
    ),
    "runs although it has run": (
        "CLAIMING          FOUND_RESULT                       CLOSED            follow+deliver_result",
        "CLAIMING          FOUND_RESULT                       RUNNING           start_run",
    ),
    "runs a request in doubt": (
        "CLAIMING          FOUND_NO_RESULT                    CLOSED            follow+fail",
        "CLAIMING          FOUND_NO_RESULT                    RUNNING           start_run",
    ),
    "withdraws the claim of a request that ran": (
        "RUNNING           RUN_FAILED                         FAILED            finish",
        "RUNNING           RUN_FAILED                         WITHDRAWING       withdraw",
    ),
    "treats a request in doubt as never run": (
        "AWAITING_EXECUTOR EXECUTOR_SILENT                    IN_DOUBT          mark_in_doubt",
        "AWAITING_EXECUTOR EXECUTOR_SILENT                    WITHDRAWING       resolve_as_never_ran",
    ),
    "runs although its claim timed out": (
        "CLAIMING          STORE_TIMED_OUT                    WITHDRAWING       reject+withdraw",
        "CLAIMING          STORE_TIMED_OUT                    RUNNING           start_run",
    ),
    "runs an abandoned request": (
        "CLAIMING          WRITE_APPLIED      abandoned       WITHDRAWING       report_never_ran+withdraw",
        "CLAIMING          WRITE_APPLIED      abandoned       RUNNING           start_run+report_never_ran",
    ),
}


@pytest.mark.parametrize("name", BROKEN_ROWS)
def test_a_broken_transition_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    correct_row, broken_row = BROKEN_ROWS[name]
    assert correct_row in request_lifecycle.TRANSITION_TABLE
    monkeypatch.setattr(
        request_lifecycle,
        "TRANSITION_RULES",
        request_lifecycle.parse_rules(
            request_lifecycle.TRANSITION_TABLE.replace(correct_row, broken_row)
        ),
    )
    with pytest.raises(InvariantViolation):
        for model_size in MODEL_SIZES.values():
            LifecycleExplorer(*model_size).explore()


@pytest.mark.parametrize("outcome", [Outcome.NO_LONGER_NEEDED, Outcome.FAILED, Outcome.OK])
def test_a_second_end_of_a_run_does_not_replace_the_result_that_is_being_written(
    outcome: Outcome,
) -> None:
    """Guards against a result that is lost when its write is repeated after another notice."""
    request = SimpleNamespace(state=RequestState.SUCCEEDED, result=b"paid")
    handled: list[RequestEvent] = []
    coordinator: Any = SimpleNamespace(
        registry=SimpleNamespace(by_id={"id": request}),
        _handle=lambda _, event: handled.append(event),
    )
    RecordCoordinator.finish_run(coordinator, "id", outcome, b"")
    assert request.result == b"paid"
    assert not handled
