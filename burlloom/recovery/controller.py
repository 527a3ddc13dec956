"""One server's recovery: snapshot validation, slow start, retry budget and fence. Does no I/O."""

from dataclasses import dataclass

from ..time_units import NS_PER_MS
from .bootstrap import EVENT_BY_VALIDITY, Bootstrap, BootstrapEvent, BootstrapState
from .call_slow_start import CallSlowStart, StepOutcome
from .retry_budget import RetryBudget
from .snapshot import RecoverySnapshot, SnapshotValidity, validate_snapshot

# Calls that a step needs for a conclusive outcome; the cap, if lower, suffices.
MIN_CALLS_PER_STEP = 3
# Share of failed calls in a step from which the cap is halved.
STEP_BACK_FAILED_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class RecoveryPolicy:
    """Parameters of the recovery. Times are in ns.

    Attributes:
        idempotency_window_ns: How long idempotency keys are valid; the fence lasts as long.
        step_ns: Length of a step of the slow start.
        initial_share: Initial cap of a cold start, as a part of an equal share of the calls.
        warm_initial_share: Initial cap with a valid snapshot, as a part of the snapshot's call
            share.
        min_calls: Lower bound of the cap, in concurrent calls.
        verification_timeout_ns: How long to wait for peers and the store to report a later
            incarnation.
        max_snapshot_age_ns: Highest age of a snapshot; older snapshots are not used.
        retry_ratio: Retries allowed for each first attempt.
        min_retries_per_second: Retries a second allowed whatever the first attempts are.
        retry_window_ns: Window over which attempts are counted.
        fence: `retries`, or `off` if lost idempotency keys do not matter.
        requires_record: Whether a run begins only after its idempotency key is in the store of
            record.
    """

    idempotency_window_ns: int
    step_ns: int = 500 * NS_PER_MS
    initial_share: float = 0.25
    warm_initial_share: float = 0.5
    min_calls: float = 1.0
    verification_timeout_ns: int = 2000 * NS_PER_MS
    max_snapshot_age_ns: int = 600_000 * NS_PER_MS
    retry_ratio: float = 0.2
    min_retries_per_second: float = 2.0
    retry_window_ns: int = 2000 * NS_PER_MS
    fence: str = "retries"
    requires_record: bool = False


class RecoveryController:
    """Controls one server's recovery, from its start until full service is restored.

    Attributes:
        pending_log_entries: Inputs of the bootstrap and their effects that the host has not logged.

    Args:
        policy: The parameters.
        snapshot: The parsed snapshot, or why there is none.
        node: This node's name.
        now_ns: The time of the start, ns on the host's clock.
        now_unix_ms: The same time, Unix ms.
        has_no_verifiers: Whether there are neither peers nor a store that could be asked.
    """

    def __init__(
        self,
        policy: RecoveryPolicy,
        snapshot: RecoverySnapshot | SnapshotValidity,
        node: str,
        now_ns: int,
        now_unix_ms: int,
        has_no_verifiers: bool,
    ) -> None:
        self.policy = policy
        self.snapshot = snapshot if isinstance(snapshot, RecoverySnapshot) else None
        self.validity = validate_snapshot(
            snapshot, node, now_unix_ms, policy.max_snapshot_age_ns // NS_PER_MS
        )
        # After a crash the store of record still has the idempotency keys;
        # `handle_record_opened` verifies that the store is the same one.
        has_stored_keys = (
            self.snapshot is not None
            and policy.requires_record
            and self.snapshot.record_incarnation >= 0
        )
        self.bootstrap = Bootstrap(
            has_no_verifiers,
            self.snapshot is not None and (self.snapshot.was_drained or has_stored_keys),
            policy.idempotency_window_ns,
        )
        self.retry_budget = RetryBudget(
            policy.retry_ratio, policy.min_retries_per_second, policy.retry_window_ns
        )
        self.started_at_ns = now_ns
        self.slow_start: CallSlowStart | None = None
        self.succeeded_calls = self.failed_calls = 0
        self.stepped_at_ns = now_ns
        self.has_applied_hint = False
        self.pending_log_entries: list[tuple[str, str]] = []
        self.handle(EVENT_BY_VALIDITY[self.validity], now_ns)

    def handle(self, event: BootstrapEvent, now_ns: int) -> None:
        """Passes an input to the bootstrap and stores its effect for the log.

        Args:
            event: The input.
            now_ns: The time, ns on the host's clock.
        """
        effect = self.bootstrap.handle(event, now_ns)
        if effect:
            self.pending_log_entries.append((event.name.lower(), effect))

    def handle_peer_report(self, incarnation: int, now_ns: int) -> None:
        """Handles a peer's report of an earlier incarnation of this node.

        Args:
            incarnation: The start of that incarnation, Unix ms.
            now_ns: The time, ns on the host's clock.
        """
        if self.snapshot is None:
            self.handle(BootstrapEvent.SAID_LIVED, now_ns)
        else:
            self.handle(
                BootstrapEvent.SAID_LATER
                if incarnation > self.snapshot.incarnation
                else BootstrapEvent.SAID_SAME,
                now_ns,
            )

    def handle_record_opened(self, incarnation: int, now_ns: int) -> None:
        """Handles the opening of the store of record, which counts this node's incarnations.

        Args:
            incarnation: The number of this incarnation in the store of record, from 1.
            now_ns: The time, ns on the host's clock.
        """
        if self.snapshot is None:
            return  # the store's keys are valid, and no earlier store is known to compare it with
        if self.snapshot.record_incarnation < 0:
            return
        expected = self.snapshot.record_incarnation + 1
        self.handle(
            BootstrapEvent.SAID_SAME
            if incarnation == expected
            else BootstrapEvent.SAID_LATER
            if incarnation > expected
            else BootstrapEvent.SAID_EARLIER,
            now_ns,
        )

    def record_call(self, succeeded: bool) -> None:
        """Counts one finished downstream call of the current step."""
        self.succeeded_calls += succeeded
        self.failed_calls += not succeeded

    def tick(self, now_ns: int, equal_share: float, share: float) -> bool:
        """Advances the recovery; called in each round.

        Args:
            now_ns: The time, ns on the host's clock.
            equal_share: An equal share of the fleet's calls, in concurrent calls.
            share: The share that this node is granted now, in concurrent calls.

        Returns:
            Whether the cap changed.
        """
        if (
            now_ns - self.started_at_ns >= self.policy.verification_timeout_ns
            and self.bootstrap.state is BootstrapState.ASKING
        ):
            self.handle(BootstrapEvent.SILENT, now_ns)
        if self.slow_start is None:
            return self._begin_slow_start(now_ns, equal_share)
        if self.bootstrap.uses_snapshot and not self.has_applied_hint:
            self.has_applied_hint = True
            hint = self.policy.warm_initial_share * min(
                equal_share, self.snapshot.call_share if self.snapshot is not None else 0.0
            )
            if self.slow_start.raise_initial_cap(hint):
                return True
        if self.slow_start.is_complete or now_ns - self.stepped_at_ns < self.policy.step_ns:
            return False
        changed = self.slow_start.tick(
            now_ns, self._step_outcome(self.slow_start.cap), max(share, equal_share)
        )
        self.stepped_at_ns = now_ns
        self.succeeded_calls = 0
        self.failed_calls = 0
        return changed

    def _begin_slow_start(self, now_ns: int, equal_share: float) -> bool:
        """Begins the slow start once an equal share is known; returns whether it began."""
        if equal_share <= 0:
            return False
        self.slow_start = CallSlowStart(
            self.policy.initial_share * equal_share,
            min(self.policy.min_calls, equal_share),
            self.policy.step_ns,
            now_ns,
        )
        self.stepped_at_ns = now_ns
        self.succeeded_calls = 0
        self.failed_calls = 0
        return True

    def _step_outcome(self, cap: float) -> StepOutcome:
        """Returns the outcome of the current step, whose calls were made under that cap."""
        calls = self.succeeded_calls + self.failed_calls
        if calls < min(MIN_CALLS_PER_STEP, cap):
            return StepOutcome.INCONCLUSIVE
        if self.failed_calls >= STEP_BACK_FAILED_SHARE * calls:
            return StepOutcome.OVERLOADED
        return StepOutcome.SUCCEEDED

    @property
    def call_cap(self) -> float:
        """Returns the concurrent calls that the slow start allows.

        The cap is 0 before the slow start begins and infinite once it is over.
        """
        return 0.0 if self.slow_start is None else self.slow_start.cap

    @property
    def is_complete(self) -> bool:
        """Returns whether the recovery is over: the slow start is, and there is no cap."""
        return self.slow_start is not None and self.slow_start.is_complete

    def should_reject_retry(self, now_ns: int, is_retry: bool) -> bool:
        """Counts an attempt during the recovery; returns whether it is a retry over the budget."""
        return not self.is_complete and self.retry_budget.is_over_budget(now_ns, is_retry)

    def is_fenced(self, now_ns: int) -> bool:
        """Returns whether the fence is raised.

        An unknown marked retry may then have run in an incarnation whose keys are lost.
        """
        return self.policy.fence != "off" and now_ns < self.bootstrap.fenced_until_ns
