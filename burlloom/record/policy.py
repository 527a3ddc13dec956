"""The record's settings, counters and callbacks."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

__all__ = ["RecordCounters", "RecordListener", "RecordObserver", "RecordPolicy"]


@dataclass(frozen=True, slots=True)
class RecordPolicy:
    """The operator's settings of the record.

    Attributes:
        may_run_unrecorded: Whether requests run even if the store does not accept their claims.
        claim_share: The share of the latency objective that a claim may take in the store.
        answer_delay_share: The share of the latency objective for which an answer may be delayed
            until its result is durable.
        max_writes_in_flight: The maximum number of unanswered writes.
        executor_wait_ns: How long after a restart the executor may still report ends of runs,
            nanoseconds.
    """

    may_run_unrecorded: bool
    claim_share: float
    answer_delay_share: float
    max_writes_in_flight: int
    executor_wait_ns: int


@dataclass(slots=True)
class RecordCounters:
    """Counts since the server started.

    Attributes:
        claims: Claims sent to the store.
        rejected: Requests rejected because they got no claim.
        store_timeouts: Claims and lookups that the store did not answer in time.
        unrecorded_runs: Runs started without a durable claim.
        claimed_elsewhere: Requests whose key is held by another claim.
        results_fetched: Results read from the store for repeated requests.
        results_not_fetched: Results that did not exist or were not read in time.
        altered_rows: Rows with an invalid MAC found at startup.
        conflicts: Rows of other claims found in place of this node's row.
        retried_writes: Writes that were sent again.
        answered_before_durable: Answers sent before their results were durable.
        doubts: Requests of which it is unknown whether they ran.
        resolved: Requests in doubt that were resolved.
        recovered_keys: Keys read from the store at startup.
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
        """Returns the counts by metric name."""
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
    """Observers of durations in nanoseconds, unset by default, and the counters.

    Attributes:
        observe_claim: Called with the time from the submission of a claim to its answer.
        observe_finish: Called with the time from the submission of a run's end to its answer.
        counters: The counters.
    """

    observe_claim: Callable[[int], None] | None = None
    observe_finish: Callable[[int], None] | None = None
    counters: RecordCounters = field(default_factory=RecordCounters)


class RecordListener(Protocol):
    """The record's callbacks to the server, called on the event loop.

    A request ID identifies one attempt; a key digest identifies all attempts that share a key.
    """

    def start_run(self, request_id: str) -> None:
        """Starts the run of an attempt whose claim is durable or not required."""

    def reject(self, request_id: str) -> None:
        """Rejects an attempt that has no claim; its run must not start."""

    def report_never_ran(self, request_id: str) -> None:
        """Reports that the attempt was abandoned before its run started."""

    def report_claimed_elsewhere(self, request_id: str) -> None:
        """Reports that another claim holds the key; `complete` or `release` follows."""

    def complete(self, key_digest: bytes, result: bytes | None) -> None:
        """Completes the key with a result, or with None if the run ended without one."""

    def release(self, key_digest: bytes) -> None:
        """Releases a key whose claim was withdrawn; another attempt may run."""

    def register(self, key_digest: bytes, expires_at_ns: int) -> None:
        """Registers a key that is claimed elsewhere and was unknown to this node."""

    def forget(self, key_digest: bytes) -> None:
        """Handles the end of an attempt that was waiting for another claim of the key."""
