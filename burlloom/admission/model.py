"""The types of admission control: server settings, requests, gauges, and the effects of decisions.

The host of an `AdmissionController` (the server's dispatcher or the bench adapter) builds a
`ServerSettings`, implements `Effects`, and calls the controller's methods to report events. All
times are integer nanoseconds on the host's clock. Requests, request classes and callers are
identified by small integers that the host assigns.
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
"""The `Request.original_ref` of a request that is not a repeat."""


class Idempotency(IntEnum):
    """The effect of a second run of a request."""

    IDEMPOTENT = 0
    """No harm: a run has no effect, or a second run has the same one."""

    KEYED = 1
    """A second effect, unless the idempotency key tells the repeat from a new request."""

    NON_IDEMPOTENT = 2
    """A second effect; callers do not repeat such a request."""


class Outcome(IntEnum):
    """How a run or a call ended."""

    OK = 0
    """Answered with a result."""

    FAILED = 1
    """Answered with an error."""

    OVERLOADED = 2
    """The dependency rejected the call and did not run it."""

    TIMED_OUT = 3
    """The call was abandoned at the `stop_at_ns` of `Effects.start_call`."""

    UNREACHABLE = 4
    """No connection could be opened, so the call was not run."""

    CONNECTION_LOST = 5
    """The connection broke while the call was open."""

    ABANDONED = 6
    """Stopped before its end."""

    NO_LONGER_NEEDED = 7
    """The run was not begun, since nobody needs its result."""

    CLAIMED_ELSEWHERE = 8
    """The run was not begun, since another server runs it or ran it."""

    NOT_RECORDED = 9
    """The run was not begun, since its key could not be recorded."""


class LoadReportKind(Enum):
    """The kind of the load report on answers."""

    NONE = 0
    """No load is reported."""

    PRIORITY_FLOOR = 1
    """The priority below which requests are shed first, 0 to 1."""

    CONCURRENCY_ALLOWANCE = 2
    """The number of requests that one caller may have open at this server."""

    ROUTING_WEIGHT = 3
    """The fraction of its fair share that the server asks for, 0 to 1."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The properties that all requests of a class share.

    Attributes:
        latency_objective_ns: Time from arrival within which an answer has its full value.
        latency_objective_stretch: Extra objective time for each ns of the cost that the caller
            stated.
        deadline_ns: Time from arrival until a request is given up, unless its caller set a
            deadline.
        idempotency: What a second run would cause.
        idempotency_window_ns: Time from the arrival of a keyed request during which repeats may
            come.
        late_value_share: The value of an answer after the objective, as a share of `value`, 0 to 1.
        value_share_without_call: The value of an answer without the downstream call, as a share of
            `value`, 0 to 1.
        value: The value of an answer, relative to other classes.
        max_staleness_ns: The maximum age of a cached result at a service level that serves cached
            results; 0 for none.
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
    """The settings of a server and of its deployment.

    Attributes:
        cores: The number of the executor's cores.
        memory_kb: The executor's memory.
        running_memory_factor: The memory of a started request, as a multiple of its size.
        idempotency_key_kb: The memory of a kept idempotency key.
        max_runs_per_core: The contention, in runs per core, at which the server collapses.
        starts_cold: Whether a new executor has to warm up.
        cold_speed_share: The speed of a cold executor, as a share of that of a warm one.
        warm_up_ns: The duration of the warm-up.
        call_quota: This server's share of the calls that the downstream dependency can handle, as a
            mean number of open calls; 0 where the dependency is not shared.
        call_quota_window_ns: The span over which the mean is taken.
        abandoned_call_linger_ns: For how long the dependency processes a call that was abandoned.
        drain_grace_ns: For how long after a stop notice requests are still admitted.
        max_retry_after_ns: The longest retry-after that callers honour; 0 if they honour none.
        result_cache_ttl_ns: For how long an idempotent result may be shared with repeats; 0 for
            none.
        idle_timeout_ns: For how long a connection may idle.
        load_report_kind: What is reported to callers.
        request_classes: All request classes; a request names its class by index.
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
    """The restrictions of a service level; the default has none.

    Each tuple holds one flag for each request class.

    Attributes:
        name: The name of the level; "" without restrictions.
        rejected_classes: New requests are rejected.
        cached_only_classes: New requests get a cached result, or are rejected.
        retry_rejecting_classes: Requests marked as retries or hedged requests are rejected.
        call_skipping_classes: Calls are skipped where an answer without the call has any value.
        rejects_over_share: Requests beyond their tenant's share are rejected.
        queue_share: The share of the admission queue's length that remains, 0 to 1.
        priority_floor: The minimum of the priority floor that is reported to callers, 0 to 1.
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
    """The service level in force, and the level above it that is on trial.

    Attributes:
        degradation: The restrictions of the level in force.
        trial_degradation: The restrictions of the level on trial.
        trial_share: The share of callers served at the level on trial: those whose sampling draw is
            below it; 0 without a trial.
    """

    degradation: Degradation = Degradation()
    trial_degradation: Degradation = Degradation()
    trial_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Request:
    """One attempt, as the server read it.

    Attributes:
        ref: The number that identifies it from now on.
        caller: The number of its caller.
        request_class: The index of its class.
        cost_ns: The processor time that its caller expects; 0 if not stated.
        unread_ns: For how long it lay unread.
        deadline_at_ns: When it is given up; 0 if its caller set no deadline.
        memory_kb: Its size in memory.
        priority: Its priority, 0 to 1.
        original_ref: The attempt that it repeats: `NO_ORIGINAL` for none, a number that was never
            assigned for an attempt of a previous incarnation.
        is_recordable: Whether the idempotency key that it needs could be recorded now.
        is_retry: Whether it is marked as a retry or a hedged request.
        is_over_share: Whether it is beyond its tenant's share.
        sampling_draw: Its caller's own random draw, from 0 to below 1.
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
    """A server's measurements of itself; -1 for one that is not measured.

    Attributes:
        cpu_utilization: The utilization of the cores, 0 to 1, a mean that lags.
        runnable: The number of runs that are ready to use a core now.
        memory_utilization: The utilization of memory, 0 to 1.
        connections: The number of connections.
    """

    cpu_utilization: float = -1.0
    runnable: float = -1.0
    memory_utilization: float = -1.0
    connections: float = -1.0


class Effects(Protocol):
    """The effects of decisions; the host carries them out in the order of the decisions."""

    def start_run(self, ref: int) -> None:
        """Runs the request."""

    def reject(self, ref: int, retry_after_ns: int, is_final: bool) -> None:
        """Answers that the request is rejected.

        Args:
            ref: The request.
            retry_after_ns: For how long its caller should not send it to this server again.
            is_final: Whether its caller should not try another server either.
        """

    def fail(self, ref: int) -> None:
        """Answers with an error; the request may have run or may still be running."""

    def start_call(self, ref: int, stop_at_ns: int) -> None:
        """Makes the call that the run asked for, and abandons it at `stop_at_ns`."""

    def skip_call(self, ref: int) -> None:
        """Lets the run continue without its call."""

    def keep_key(self, ref: int, lifetime_ns: int) -> None:
        """Keeps the request's key, and its result, for `lifetime_ns` from now on."""

    def forget_key(self, ref: int) -> None:
        """Forgets the key of a request that did not run."""

    def reuse_result(self, ref: int) -> None:
        """Answers with the result of the original attempt, as soon as it is available."""

    def set_health(self, is_healthy: bool) -> None:
        """Sets the answer to health checks."""

    def report_load(self, value: float) -> None:
        """Sets the load report on answers."""

    def report_trial_load(self, value: float) -> None:
        """Sets the load report for callers that are served at the level on trial."""

    def set_idle_timeout(self, idle_timeout_ns: int) -> None:
        """Sets for how long a connection may idle."""

    def schedule_timer(self, delay_ns: int, handle: int) -> None:
        """Calls `AdmissionController.timer_fired` with this handle after this delay."""

    def log(self, text: str) -> None:
        """Writes a line to the log."""

    def release(self, ref: int) -> None:
        """Releases the request: the controller will not refer to it again."""
