"""What the decisions are told of a server and its requests, and what they may do to them.

Whoever hosts an `AdmissionController` (the server's dispatcher, or the bench adapter) builds a
`ServerSettings`, implements `Effects`, and calls the controller's methods for events. All times are
whole nanoseconds on the host's clock. Requests, request classes and callers are small numbers that
the host gives out.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol

__all__ = [
    "NO_ORIGINAL",
    "Degradation",
    "Effects",
    "Gauges",
    "Idempotency",
    "LoadReportKind",
    "Outcome",
    "Request",
    "RequestClass",
    "ServerSettings",
    "ServiceLevel",
]

NO_ORIGINAL = -1
"""`Request.original_ref` of a request that repeats no other."""


class Idempotency(IntEnum):
    """What a second run of a request would do."""

    IDEMPOTENT = 0
    """No harm: it has no effect, or the same one."""

    KEYED = 1
    """A second effect, unless its key tells it from a new request."""

    NON_IDEMPOTENT = 2
    """A second effect; callers do not repeat it."""


class Outcome(IntEnum):
    """How a run or a call ended."""

    OK = 0
    """It was answered."""

    FAILED = 1
    """It was answered with an error."""

    OVERLOADED = 2
    """The dependency rejected the call and did not run it."""

    TIMED_OUT = 3
    """The call was given up at the time that `Effects.start_call` named."""

    UNREACHABLE = 4
    """No connection was had, so the call was not run."""

    CONNECTION_LOST = 5
    """The connection broke while the call was open."""

    ABANDONED = 6
    """It was stopped before its end."""

    NO_LONGER_NEEDED = 7
    """The run was not begun, as nobody needs it."""

    CLAIMED_ELSEWHERE = 8
    """The run was not begun, as another server runs or ran it."""

    NOT_RECORDED = 9
    """The run was not begun, as its key could not be recorded."""


class LoadReportKind(Enum):
    """What the load report on answers means to callers."""

    NONE = 0
    """Nothing is reported."""

    PRIORITY_FLOOR = 1
    """The priority below which requests are shed first, 0 to 1."""

    CONCURRENCY_ALLOWANCE = 2
    """How many requests one caller may have open here."""

    ROUTING_WEIGHT = 3
    """The part of its fair share that the server wants, 0 to 1."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What all requests of a kind have in common.

    Attributes:
        latency_objective_ns: time from arrival to an answer of full value.
        latency_objective_stretch: added to it for each ns of the cost that the caller told.
        deadline_ns: time from arrival to when a request is given up, unless its caller told one.
        idempotency: what a second run would do.
        idempotency_window_ns: how long repeats of a keyed request may come, from its arrival.
        late_value_share: the worth of an answer past the objective, 0 to 1.
        value_share_without_call: the worth of an answer without the downstream call, 0 to 1.
        value: the worth of an answer, against that of other classes.
        max_staleness_ns: how old a cached result may be at a service level that serves those; 0
            for none.
    """

    latency_objective_ns: int
    latency_objective_stretch: float
    deadline_ns: int
    idempotency: Idempotency
    idempotency_window_ns: int
    late_value_share: float
    value_share_without_call: float
    value: float
    max_staleness_ns: int = 0


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """What a server is told of itself and its site.

    Attributes:
        cores: the executor's cores.
        memory_kb: the executor's memory.
        running_memory_factor: memory of a started request, as a multiple of its size.
        idempotency_key_kb: memory of a kept idempotency key.
        max_runs_per_core: contention, in runs for each core, that the server does not survive.
        starts_cold: whether a new executor has to warm up.
        cold_speed_share: the speed of a cold executor, as a share of that of a warm one.
        warm_up_ns: how long it warms up.
        call_quota: this server's share of the calls that the downstream dependency survives, as a
            mean number open; 0 where the dependency is not shared.
        call_quota_window_ns: the span that the mean is taken over.
        abandoned_call_linger_ns: how long the dependency works on a call that was given up.
        drain_grace_ns: how long after a notice to stop requests are still taken.
        max_retry_after_ns: the longest retry-after that callers honour; 0 where they honour none.
        result_cache_ttl_ns: how long an idempotent result may be shared with repeats; 0 for none.
        idle_timeout_ns: how long a connection may idle.
        load_report_kind: what is reported to callers.
        request_classes: all classes; a request names its class by its index here.
    """

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
    """What a service level takes away; the empty one takes nothing.

    Each tuple has a flag for each request class.

    Attributes:
        name: of the level; "" where nothing is taken away.
        rejected_classes: newcomers are rejected.
        cached_only_classes: newcomers get a cached result, or are rejected.
        retry_rejecting_classes: retries and hedged requests that are marked so are rejected.
        call_skipping_classes: calls are skipped where an answer without is of worth.
        rejects_over_share: requests past their tenant's share are rejected.
        queue_share: the part of the admission queue's length that is left, 0 to 1.
        priority_floor: the least priority floor that is reported to callers, 0 to 1.
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
    """The service level in force, and the one above it on trial.

    Attributes:
        degradation: of the level in force.
        trial_degradation: of the level on trial.
        trial_share: the share of callers that are served at the level on trial: those whose
            sampling draw is under it; 0 for no trial.
    """

    degradation: Degradation = Degradation()
    trial_degradation: Degradation = Degradation()
    trial_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Request:
    """One attempt as it was read.

    Attributes:
        ref: the number that names it from now on.
        caller: the number of its caller.
        request_class: the index of its class.
        cost_ns: what its caller thinks that a run takes; 0 where it told none.
        unread_ns: how long it lay unread.
        deadline_at_ns: when it is given up; 0 where its caller told none.
        memory_kb: its size.
        priority: 0 to 1.
        original_ref: the attempt that it repeats: `NO_ORIGINAL` for none, a number that was never
            given out for one of a former incarnation.
        is_recordable: whether the idempotency key that it wants could be recorded now.
        is_retry: it is marked as a retry or a hedged request.
        is_over_share: it is past its tenant's share.
        sampling_draw: its caller's own, from 0 to under 1.
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
    """What a server measures of itself; -1 where it does not.

    Attributes:
        cpu_utilization: the use of the cores, 0 to 1, a mean that lags.
        runnable: how many runs want a core at this moment.
        memory_utilization: the use of memory, 0 to 1.
        connections: the number of connections.
    """

    cpu_utilization: float = -1.0
    runnable: float = -1.0
    memory_utilization: float = -1.0
    connections: float = -1.0


class Effects(Protocol):
    """What the decisions do; the host carries it out in the order in which it was decided."""

    def start_run(self, ref: int) -> None:
        """Runs the request."""

    def reject(self, ref: int, retry_after_ns: int, is_final: bool) -> None:
        """Answers that the request is not served.

        Args:
            ref: the request.
            retry_after_ns: how long its caller should stay away from this server.
            is_final: whether it should not be tried at another server either.
        """

    def fail(self, ref: int) -> None:
        """Answers with an error; the request may have run, or run still."""

    def start_call(self, ref: int, stop_at_ns: int) -> None:
        """Makes the call that the run asked for, and gives it up at `stop_at_ns`."""

    def skip_call(self, ref: int) -> None:
        """Lets the run go on without its call."""

    def remember(self, ref: int, lifetime_ns: int) -> None:
        """Keeps the request's key, and its result, for so long from now on."""

    def forget(self, ref: int) -> None:
        """Forgets the request's key: it did not run."""

    def reuse_result(self, ref: int) -> None:
        """Answers with the result of the original attempt, as soon as it is there."""

    def set_health(self, is_healthy: bool) -> None:
        """Sets the answer to health checks."""

    def report_load(self, value: float) -> None:
        """Sets the load report on answers."""

    def report_trial_load(self, value: float) -> None:
        """Sets the load report for callers that are served at the level on trial."""

    def set_idle_timeout(self, idle_timeout_ns: int) -> None:
        """Sets how long a connection may idle."""

    def schedule_timer(self, delay_ns: int, handle: int) -> None:
        """Calls `timer_fired` with this handle, after this delay."""

    def log(self, text: str) -> None:
        """Writes a line to the log."""

    def release(self, ref: int) -> None:
        """The decisions will not name this request again."""
