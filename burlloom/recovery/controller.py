"""One server's way back, whole: what was kept is judged, the ramp rises, retries are held, the
fence stands. No I/O.
"""

from dataclasses import dataclass

from .bootstrap import OF_VERDICT, Bootstrap, BootstrapEvent, BootstrapState
from .retry_budget import RetryBudget
from .slow_start import SlowStart
from .slow_start import StepOutcome as Push
from .snapshot import RecoverySnapshot, SnapshotValidity, validate_snapshot

MS = 1_000_000
CALLS_MIN = 3  # in a step, to judge by
PUSHED_FROM = 0.25  # of the calls of a step, refused, failed or late


@dataclass(frozen=True, slots=True)
class RecoveryPolicy:
    """ns. `step` of the ramp; `begin`: the part of an equal share that it begins with;
    `begin_warm`: of what was held last, where what was kept is used; `least`: calls, the cap is
    never lower. `ask`: for how long peers and the store may say something of a later life.
    `age_most` of what was kept. `retry_part`, `retry_few` a second, over `retry_span`.
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
    fence: str = "retries"  # "off": marks of the last life are thought never to matter
    requires_record: bool = False  # no run begins before its mark is in the store of record


class RecoveryController:
    def __init__(
        self,
        terms: RecoveryPolicy,
        found: RecoverySnapshot | SnapshotValidity,
        node: str,
        now: int,
        wall: int,
        lonely: bool,
    ) -> None:
        """`now` in ns on the host's clock, `wall` in Unix ms. `lonely`: neither peers nor a store
        to ask.
        """
        self.policy = terms
        self.snapshot = found if isinstance(found, RecoverySnapshot) else None
        self.validity = validate_snapshot(found, node, wall, terms.max_snapshot_age_ns // MS)
        # What a crash left is in the store, if there is one; whether that is the same store, it
        # says itself.
        stored = (
            self.snapshot is not None
            and terms.requires_record
            and self.snapshot.record_incarnation >= 0
        )
        self.bootstrap = Bootstrap(
            lonely,
            self.snapshot is not None and (self.snapshot.was_drained or stored),
            terms.idempotency_window_ns,
        )
        self.retry_budget = RetryBudget(
            terms.retry_ratio, terms.min_retries_per_second, terms.retry_window_ns
        )
        self.started_at_ns = now
        self.slow_start: SlowStart | None = None
        self.succeeded_calls = self.failed_calls = 0
        self.stepped_at_ns = now
        self.is_warmed = False
        self.pending_log_entries: list[
            tuple[str, str]
        ] = []  # input and effect, until the host takes them
        self.handle(OF_VERDICT[self.validity], now)

    def handle(self, what: BootstrapEvent, now: int) -> None:
        effect = self.bootstrap.handle(what, now)
        if effect:
            self.pending_log_entries.append((what.name.lower(), effect))

    # What others know.

    def peer_reported_incarnation(self, life: int, now: int) -> None:
        """A peer says that a life of ours, Unix ms, was there before this one."""
        if self.snapshot is None:
            self.handle(BootstrapEvent.SAID_LIVED, now)
        else:
            self.handle(
                BootstrapEvent.SAID_LATER
                if life > self.snapshot.incarnation
                else BootstrapEvent.SAID_SAME,
                now,
            )

    def record_opened(self, life: int, now: int) -> None:
        """The store of record was opened and counts this as our life of that number, from 1."""
        if self.snapshot is None:
            return  # the store's own marks hold, and nothing says that there are others
        if self.snapshot.record_incarnation < 0:
            return
        expected = self.snapshot.record_incarnation + 1
        self.handle(
            BootstrapEvent.SAID_SAME
            if life == expected
            else BootstrapEvent.SAID_LATER
            if life > expected
            else BootstrapEvent.SAID_EARLIER,
            now,
        )

    # Rounds.

    def record_call(self, well: bool) -> None:
        self.succeeded_calls += well
        self.failed_calls += not well

    def tick(self, now: int, equal: float, share: float) -> bool:
        """`equal`: an equal share, `share` what we may have now, calls. Whether the cap changed."""
        if (
            now - self.started_at_ns >= self.policy.verification_timeout_ns
            and self.bootstrap.state is BootstrapState.ASKING
        ):
            self.handle(BootstrapEvent.SILENT, now)
        if self.slow_start is None:
            if equal <= 0:
                return False
            self.slow_start = SlowStart(
                self.policy.initial_share * equal,
                min(self.policy.min_calls, equal),
                self.policy.step_ns,
                now,
            )
            self.stepped_at_ns, self.succeeded_calls, self.failed_calls = now, 0, 0
            return True
        if self.bootstrap.uses_snapshot and not self.is_warmed:
            self.is_warmed = True
            hint = self.policy.warm_initial_share * min(
                equal, self.snapshot.call_share if self.snapshot is not None else 0.0
            )
            if self.slow_start.raise_initial_cap(hint):
                return True
        if self.slow_start.is_complete or now - self.stepped_at_ns < self.policy.step_ns:
            return False
        calls = self.succeeded_calls + self.failed_calls
        what = (
            Push.QUIET
            if calls < min(CALLS_MIN, self.slow_start.cap)
            else Push.PUSHED
            if self.failed_calls >= PUSHED_FROM * calls
            else Push.WELL
        )
        changed = self.slow_start.tick(now, what, max(share, equal))
        self.stepped_at_ns, self.succeeded_calls, self.failed_calls = now, 0, 0
        return changed

    @property
    def call_cap(self) -> float:
        """Calls in hand, that the start allows; without bound once it is over."""
        return 0.0 if self.slow_start is None else self.slow_start.cap

    @property
    def is_complete(self) -> bool:
        """Whether service is back: no cap, and nothing is asked any more."""
        return self.slow_start is not None and self.slow_start.is_complete

    def should_hold_back_retry(self, now: int, retry: bool) -> bool:
        """A try was read; whether it is a retry past the budget."""
        return not self.is_complete and self.retry_budget.is_over_budget(now, retry)

    def is_fenced(self, now: int) -> bool:
        """Whether a marked retry that nothing is known of may have run in a life whose marks are
        lost.
        """
        return self.policy.fence != "off" and now < self.bootstrap.fenced_until_ns
