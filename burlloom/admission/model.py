"""What the decisions are told of a server and its txns, and what they may do to them.

Whoever hosts a `Choice` (the server's desk, or the bench's adapter) builds a `ServerFacts`,
implements `Effects`, and calls the methods that the head of `choice.py` lists. All times are whole
nanoseconds on the host's clock; txns, products and callers are small indices that the host gives
out.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol


class Idempotency(IntEnum):
    """What a second run of a txn would do."""

    IDEMPOTENT = 0
    KEYED = 1
    NON_IDEMPOTENT = 2


class Outcome(IntEnum):
    """How a run or a call ended."""

    OK = 0
    FAILED = 1
    OVERLOADED = 2
    TIMED_OUT = 3
    UNREACHABLE = 4
    CONNECTION_LOST = 5
    ABANDONED = 6
    NO_LONGER_NEEDED = 7
    CLAIMED_ELSEWHERE = 8  # of a run that was not begun: another server runs or ran it
    NOT_RECORDED = 9  # of a run that was not begun: its entry could not be kept


class LoadReportKind(Enum):
    """What the value that rides on answers means to callers."""

    NONE = 0
    PRIORITY_FLOOR = 1
    CONCURRENCY_ALLOWANCE = 2
    ROUTING_WEIGHT = 3


@dataclass(frozen=True, slots=True)
class RequestClass:
    latency_objective_ns: int
    latency_objective_stretch: float
    deadline_ns: int
    idempotency: Idempotency
    idempotency_window_ns: int
    late_value_share: float
    value_share_without_call: float
    value: float
    max_staleness_ns: int = (
        0  # how long a kept result may stand in at a level of service that says so
    )


@dataclass(frozen=True, slots=True)
class ServerSettings:
    cores: int
    memory_kb: float
    running_memory_factor: float
    idempotency_key_kb: float
    max_runs_per_core: float
    starts_cold: bool
    cold_speed_share: float
    warm_up_ns: int
    call_quota: float
    call_quota_window_ns: int
    abandoned_call_linger_ns: int
    drain_grace_ns: int
    max_retry_after_ns: int
    result_cache_ttl_ns: int
    idle_timeout_ns: int
    load_report_kind: LoadReportKind
    request_classes: tuple[RequestClass, ...]


@dataclass(frozen=True, slots=True)
class Degradation:
    """What a level of reduced service takes away, by product; the empty one takes nothing.

    `declined`: newcomers; `kept`: they are answered with a kept result or declined; `repeats`:
    marked retries and copies are declined; `skips`: calls are left out where an answer without is
    allowed. `over`: those past their tenant's share are declined. `hold`: the part of the hold's
    length that is left. `floor`: the part of all ranks that it takes away, for callers to hear.
    """

    name: str = ""
    rejected_classes: tuple[bool, ...] = ()
    cached_only_classes: tuple[bool, ...] = ()
    retry_rejecting_classes: tuple[bool, ...] = ()
    call_skipping_classes: tuple[bool, ...] = ()
    rejects_over_share: bool = False
    queue_share: float = 1.0
    priority_floor: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """The level in force, and the one above it: who has a lot under `part` is served there on
    trial.
    """

    degradation: Degradation = Degradation()
    trial_degradation: Degradation = Degradation()
    trial_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Request:
    """One try as it was read. `cost` and `expiry_at` are 0 where the caller told none, `repeat_of`
    -1.

    `entry` is false where an entry that it wants could not be kept now by whatever keeps them.
    `retry`: it is marked as a further try or a copy. `over`: it is past its tenant's share. `lot`:
    its caller's own, from 0 to under 1.
    """

    ref: int
    caller: int
    request_class: int
    cost_ns: int
    unread_ns: int
    deadline_at_ns: int
    memory_kb: float
    priority: float
    original_ref: int
    is_recordable: bool = True
    is_retry: bool = False
    is_over_share: bool = False
    sampling_draw: float = 0.0


@dataclass(frozen=True, slots=True)
class Gauges:
    """What a server measures of itself; -1 where it does not."""

    cpu_utilization: float = -1.0
    runnable: float = -1.0
    memory_utilization: float = -1.0
    connections: float = -1.0


class Effects(Protocol):
    def start_run(self, ref: int) -> None: ...
    def reject(self, ref: int, stay_away: int, final: bool) -> None: ...
    def fail(self, ref: int) -> None: ...
    def start_call(self, ref: int, stop_at: int) -> None: ...
    def skip_call(self, ref: int) -> None: ...
    def remember(self, ref: int, lifetime: int) -> None: ...
    def forget(self, ref: int) -> None: ...
    def reuse_result(self, ref: int) -> None: ...
    def set_health(self, good: bool) -> None: ...
    def report_load(self, value: float) -> None: ...
    def report_trial_load(self, value: float) -> None:
        """What callers in a trial of the level above hear in its place."""

    def set_idle_timeout(self, lifetime: int) -> None: ...
    def schedule_timer(self, delay: int, handle: int) -> None: ...
    def log(self, text: str) -> None: ...
    def release(self, ref: int) -> None:
        """The decisions will not name this index again."""
