"""Settings of an admission controller that tests change by `dataclasses.replace`."""

from burlloom.admission import Idempotency, LoadReportKind, RequestClass, ServerSettings
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND

REQUEST_CLASS = RequestClass(
    latency_objective_ns=2 * NS_PER_SECOND,
    latency_objective_stretch=0.0,
    deadline_ns=6 * NS_PER_SECOND,
    idempotency=Idempotency.IDEMPOTENT,
    idempotency_window_ns=0,
    late_value_share=0.0,
    value_share_without_call=0.0,
    value=1.0,
)
SETTINGS = ServerSettings(
    cores=2,
    memory_kb=1000.0,
    running_memory_factor=4.0,
    idempotency_key_kb=1.0,
    max_runs_per_core=5.0,
    starts_cold=False,
    cold_speed_share=0.2,
    warm_up_ns=10 * NS_PER_SECOND,
    call_quota=0.0,
    call_quota_window_ns=5 * NS_PER_SECOND,
    abandoned_call_linger_ns=200 * NS_PER_MS,
    drain_grace_ns=NS_PER_SECOND,
    max_retry_after_ns=NS_PER_SECOND,
    result_cache_ttl_ns=0,
    idle_timeout_ns=9 * NS_PER_SECOND,
    load_report_kind=LoadReportKind.NONE,
    request_classes=(REQUEST_CLASS,),
)
