"""Settings of configuration replication: intervals, timeouts and limits."""

from dataclasses import dataclass

from ..time_units import NS_PER_MS


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """Intervals, timeouts and limits of followers and sources.

    All intervals are in nanoseconds. Repeating intervals are jittered by 10% in both directions.

    Attributes:
        heartbeat_ns: Interval between two reports of a follower.
        upstream_timeout_ns: Silence after which a follower gives up an upstream that has answered
            before.
        first_answer_timeout_ns: Silence after which a follower gives up an upstream that has never
            answered.
        request_retry_ns: Time after which an unanswered request is repeated.
        preferred_retry_ns: Interval at which a follower retries the upstreams that it prefers to
            its present one.
        stale_after_ns: Age of an upstream's table beyond which a follower looks for an upstream
            with a fresher table.
        sync_stall_timeout_ns: Time without progress after which a sync is abandoned and restarted
            with another upstream.
        lease_ns: Time without a report after which a source forgets a follower.
        max_followers: Upper bound on the followers of one source.
        page_bytes_per_s: Rate limit on the page bytes that one source sends to all its followers.
        page_burst_bytes: Page bytes that a source may send in one burst.
    """

    heartbeat_ns: int = 1000 * NS_PER_MS
    upstream_timeout_ns: int = 3000 * NS_PER_MS
    first_answer_timeout_ns: int = 1200 * NS_PER_MS
    request_retry_ns: int = 400 * NS_PER_MS
    preferred_retry_ns: int = 10_000 * NS_PER_MS
    stale_after_ns: int = 5000 * NS_PER_MS
    sync_stall_timeout_ns: int = 15_000 * NS_PER_MS
    lease_ns: int = 3000 * NS_PER_MS
    max_followers: int = 400
    page_bytes_per_s: int = 4_000_000
    page_burst_bytes: int = 400_000

    def faults(self) -> list[str]:
        """Returns all invalid values, each with its field; empty if the settings are valid."""
        faults = [
            f"{name}: {getattr(self, name)}, must be at least 1"
            for name in self.__slots__
            if getattr(self, name) < 1
        ]
        if self.request_retry_ns >= self.upstream_timeout_ns:
            faults.append("request_retry_ns: must be less than upstream_timeout_ns")
        if self.heartbeat_ns >= min(self.upstream_timeout_ns, self.lease_ns):
            faults.append("heartbeat_ns: must be less than upstream_timeout_ns and lease_ns")
        return faults
