"""One server's recovery: snapshot validation, slow start, retry budget and fence. No I/O."""

from dataclasses import dataclass

from .bootstrap import EVENT_BY_VALIDITY, Bootstrap, BootstrapEvent, BootstrapState
from .retry_budget import RetryBudget
from .slow_start import SlowStart, StepOutcome
from .snapshot import RecoverySnapshot, SnapshotValidity, validate_snapshot

MS = 1_000_000
MIN_CALLS_TO_JUDGE = 3  # in a step
FAILED_SHARE_TO_STEP_BACK = 0.25  # of the calls of a step


@dataclass(frozen=True, slots=True)
class RecoveryPolicy:
    """Parameters of the recovery. Times are in ns.

    Attributes:
        idempotency_window_ns: How long idempotency marks are valid; the fence stands as long.
        step_ns: Step of the slow start.
        initial_share: Initial cap of a cold start, as a share of an equal share.
        warm_initial_share: Initial cap with a valid snapshot, as a share of its last call share.
        min_calls: The cap is never lower, concurrent calls.
        verification_timeout_ns: How long to wait for peers and the store to report a later
            incarnation.
        max_snapshot_age_ns: Older snapshots are not used.
        retry_ratio: Retries allowed for each first attempt.
        min_retries_per_second: Retries allowed whatever the first attempts are.
        retry_window_ns: Window over which attempts are counted.
        fence: `retries`, or `off` where lost idempotency marks do not matter.
        requires_record: Whether a run begins only after its mark is in the store of record.
    """

    idempotency_window_ns: int
    step_ns: int = 500 * MS
    initial_share: float = 0.25
    warm_initial_share: float = 0.5
    min_calls: float = 1.0
    verification_timeout_ns: int = 2000 * MS
    max_snapshot_age_ns: int = 600_000 * MS
    retry_ratio: float = 0.2
    min_retries_per_second: float = 2.0
    retry_window_ns: int = 2000 * MS
    fence: str = "retries"
    requires_record: bool = False


class RecoveryController:
    """Decides for one server, from its start until service is back.

    Args:
        policy: The parameters.
        snapshot: The parsed snapshot, or why there is none.
        node: This node's name.
        now: The time of the start, ns on the host's clock.
        now_unix_ms: The same time, Unix ms.
        has_no_peers: Whether there are neither peers nor a store to query.
    """

    def __init__(
        self,
        policy: RecoveryPolicy,
        snapshot: RecoverySnapshot | SnapshotValidity,
        node: str,
        now: int,
        now_unix_ms: int,
        has_no_peers: bool,
    ) -> None:
        self.policy = policy
        self.snapshot = snapshot if isinstance(snapshot, RecoverySnapshot) else None
        self.validity = validate_snapshot(
            snapshot, node, now_unix_ms, policy.max_snapshot_age_ns // MS
        )
        # After a crash the store of record still has the marks; `record_opened` verifies that it
        # is the same store.
        stored = (
            self.snapshot is not None
            and policy.requires_record
            and self.snapshot.record_incarnation >= 0
        )
        self.bootstrap = Bootstrap(
            has_no_peers,
            self.snapshot is not None and (self.snapshot.was_drained or stored),
            policy.idempotency_window_ns,
        )
        self.retry_budget = RetryBudget(
            policy.retry_ratio, policy.min_retries_per_second, policy.retry_window_ns
        )
        self.started_at_ns = now
        self.slow_start: SlowStart | None = None
        self.succeeded_calls = self.failed_calls = 0
        self.stepped_at_ns = now
        self.is_warmed = False
        self.pending_log_entries: list[
            tuple[str, str]
        ] = []  # input and effect, until the host takes them
        self.handle(EVENT_BY_VALIDITY[self.validity], now)

    def handle(self, event: BootstrapEvent, now: int) -> None:
        """Passes an input to the bootstrap, and notes its effect for the log."""
        effect = self.bootstrap.handle(event, now)
        if effect:
            self.pending_log_entries.append((event.name.lower(), effect))

    def peer_reported_incarnation(self, incarnation: int, now: int) -> None:
        """Handles a peer's report of an earlier incarnation of this node.

        Args:
            incarnation: The start of that incarnation, Unix ms.
            now: The time, ns on the host's clock.
        """
        if self.snapshot is None:
            self.handle(BootstrapEvent.SAID_LIVED, now)
        else:
            self.handle(
                BootstrapEvent.SAID_LATER
                if incarnation > self.snapshot.incarnation
                else BootstrapEvent.SAID_SAME,
                now,
            )

    def record_opened(self, incarnation: int, now: int) -> None:
        """Handles the store's count of this node's incarnations, from 1.

        Args:
            incarnation: The number of this incarnation in the store of record.
            now: The time, ns on the host's clock.
        """
        if self.snapshot is None:
            return  # the store's marks are valid, and no other store is known
        if self.snapshot.record_incarnation < 0:
            return
        expected = self.snapshot.record_incarnation + 1
        self.handle(
            BootstrapEvent.SAID_SAME
            if incarnation == expected
            else BootstrapEvent.SAID_LATER
            if incarnation > expected
            else BootstrapEvent.SAID_EARLIER,
            now,
        )

    def record_call(self, succeeded: bool) -> None:
        """Counts one finished downstream call of the current step."""
        self.succeeded_calls += succeeded
        self.failed_calls += not succeeded

    def tick(self, now: int, equal_share: float, share: float) -> bool:
        """Advances the recovery; called in each round.

        Args:
            now: The time, ns on the host's clock.
            equal_share: An equal share of the fleet's calls, concurrent calls.
            share: What this node is granted now, concurrent calls.

        Returns:
            Whether the cap changed.
        """
        if (
            now - self.started_at_ns >= self.policy.verification_timeout_ns
            and self.bootstrap.state is BootstrapState.ASKING
        ):
            self.handle(BootstrapEvent.SILENT, now)
        if self.slow_start is None:
            return self._begin_slow_start(now, equal_share)
        if self.bootstrap.uses_snapshot and not self.is_warmed:
            self.is_warmed = True
            hint = self.policy.warm_initial_share * min(
                equal_share, self.snapshot.call_share if self.snapshot is not None else 0.0
            )
            if self.slow_start.raise_initial_cap(hint):
                return True
        if self.slow_start.is_complete or now - self.stepped_at_ns < self.policy.step_ns:
            return False
        changed = self.slow_start.tick(
            now, self._step_outcome(self.slow_start.cap), max(share, equal_share)
        )
        self.stepped_at_ns = now
        self.succeeded_calls = 0
        self.failed_calls = 0
        return changed

    def _begin_slow_start(self, now: int, equal_share: float) -> bool:
        """Begins the slow start once an equal share is known; returns whether it began."""
        if equal_share <= 0:
            return False
        self.slow_start = SlowStart(
            self.policy.initial_share * equal_share,
            min(self.policy.min_calls, equal_share),
            self.policy.step_ns,
            now,
        )
        self.stepped_at_ns = now
        self.succeeded_calls = 0
        self.failed_calls = 0
        return True

    def _step_outcome(self, cap: float) -> StepOutcome:
        """Judges the calls of the current step, made under that cap."""
        calls = self.succeeded_calls + self.failed_calls
        if calls < min(MIN_CALLS_TO_JUDGE, cap):
            return StepOutcome.QUIET
        if self.failed_calls >= FAILED_SHARE_TO_STEP_BACK * calls:
            return StepOutcome.PUSHED
        return StepOutcome.WELL

    @property
    def call_cap(self) -> float:
        """Concurrent calls that the slow start allows; infinite once it is over."""
        return 0.0 if self.slow_start is None else self.slow_start.cap

    @property
    def is_complete(self) -> bool:
        """Whether service is back: the slow start is over and there is no cap."""
        return self.slow_start is not None and self.slow_start.is_complete

    def should_hold_back_retry(self, now: int, retry: bool) -> bool:
        """Counts an attempt that was read; returns whether it is a retry over the budget."""
        return not self.is_complete and self.retry_budget.is_over_budget(now, retry)

    def is_fenced(self, now: int) -> bool:
        """Whether an unknown marked retry may have run in an incarnation whose marks are lost."""
        return self.policy.fence != "off" and now < self.bootstrap.fenced_until_ns
