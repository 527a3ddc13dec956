"""What an operator sets of the record, what it counts, and whom it notifies."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

__all__ = ["RecordCounters", "RecordListener", "RecordObserver", "RecordPolicy"]


@dataclass(frozen=True, slots=True)
class RecordPolicy:
    """What the operator set.

    Attributes:
        may_run_unrecorded: Whether requests run although the store does not take their claims.
        claim_share: The share of the latency objective that the store may use for a claim.
        answer_delay_share: The share of it that an answer may wait until its result is durable.
        max_writes_in_flight: The most writes without an answer at a time.
        executor_wait_ns: How long the executor may still report ends after a restart.
    """

    may_run_unrecorded: bool
    claim_share: float
    answer_delay_share: float
    max_writes_in_flight: int
    executor_wait_ns: int


@dataclass(slots=True)
class RecordCounters:
    """Counts since the start.

    Attributes:
        claims: Claims sent to the store.
        rejected: Requests rejected for want of a claim.
        store_timeouts: Claims and lookups that the store did not answer in time.
        unrecorded_runs: Runs begun on what is in memory alone.
        claimed_elsewhere: Requests whose key another claim holds.
        results_fetched: Results read from the store for repeats.
        results_not_fetched: Results that were not there, or not in time.
        altered_rows: Rows read back whose MAC does not hold.
        conflicts: Rows of others found where ours should stand.
        retried_writes: Writes sent again.
        answered_before_durable: Answers that left before their results were durable.
        doubts: Requests of which nobody could tell whether they ran.
        resolved: Doubts that were resolved.
        recovered_keys: Keys read back at the start.
    """

    claims: int = 0
    rejected: int = 0
    store_timeouts: int = 0
    unrecorded_runs: int = 0
    claimed_elsewhere: int = 0
    results_fetched: int = 0
    results_not_fetched: int = 0
    altered_rows: int = 0
    conflicts: int = 0
    retried_writes: int = 0
    answered_before_durable: int = 0
    doubts: int = 0
    resolved: int = 0
    recovered_keys: int = 0

    def as_metrics(self) -> dict[str, int]:
        """The counts under the names that they have as metrics."""
        return {metric: getattr(self, name) for metric, name in METRIC_FIELDS.items()}


METRIC_FIELDS = {
    "claims": "claims",
    "refused": "rejected",
    "late": "store_timeouts",
    "unkept": "unrecorded_runs",
    "taken": "claimed_elsewhere",
    "recalled": "results_fetched",
    "recalled_in_vain": "results_not_fetched",
    "altered": "altered_rows",
    "conflicts": "conflicts",
    "again": "retried_writes",
    "held_past": "answered_before_durable",
    "doubts": "doubts",
    "resolved": "resolved",
    "read_back": "recovered_keys",
}


@dataclass(slots=True)
class RecordObserver:
    """Whoever observes times, in nanoseconds; none by default.

    Attributes:
        observe_claim: Called with the time from a claim's submission to its answer.
        observe_finish: Called with the time from an end's submission to its answer.
        counters: The counts.
    """

    observe_claim: Callable[[int], None] | None = None
    observe_finish: Callable[[int], None] | None = None
    counters: RecordCounters = field(default_factory=RecordCounters)


class RecordListener(Protocol):
    """What the record tells the server, on the event loop.

    A request id names one attempt, a key digest all attempts that share a key.
    """

    def start_run(self, request_id: str) -> None:
        """The claim is durable: the run may begin."""

    def reject(self, request_id: str) -> None:
        """There is no claim, and the run must not begin."""

    def report_never_ran(self, request_id: str) -> None:
        """The request was abandoned before its run began."""

    def report_claimed_elsewhere(self, request_id: str) -> None:
        """Another claim holds the key; `complete` or `release` follows."""

    def complete(self, key_digest: bytes, result: bytes | None) -> None:
        """The key's outcome: a result, or None for an end without one."""

    def release(self, key_digest: bytes) -> None:
        """The key's claim was withdrawn: a further attempt may run."""

    def register(self, key_digest: bytes, expires_at_ns: int) -> None:
        """The key is claimed elsewhere; it was not known here."""

    def forget(self, key_digest: bytes) -> None:
        """The attempt that waited for another's claim is gone."""
