"""Intervals and limits of replication."""

from dataclasses import dataclass

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """Intervals and limits; intervals in ns, jittered by a tenth where they repeat.

    Attributes:
        heartbeat_ns: between two reports of a follower.
        upstream_timeout_ns: an upstream that answered before is given up after this silence.
        first_answer_timeout_ns: one that never answered is given up after this.
        request_retry_ns: a request is repeated after this.
        preferred_retry_ns: preferred upstreams are tried again after this.
        stale_after_ns: an upstream whose table is older is left for a fresher one.
        sync_stall_timeout_ns: a sync without progress is begun again with another upstream.
        lease_ns: a follower that does not report for this long is forgotten.
        max_followers: followers of one source.
        page_bytes_per_s: bytes of pages that one source sends to all followers.
        page_burst_bytes: bytes of pages that may be sent at once.
    """

    heartbeat_ns: int = 1000 * MS
    upstream_timeout_ns: int = 3000 * MS
    first_answer_timeout_ns: int = 1200 * MS
    request_retry_ns: int = 400 * MS
    preferred_retry_ns: int = 10_000 * MS
    stale_after_ns: int = 5000 * MS
    sync_stall_timeout_ns: int = 15_000 * MS
    lease_ns: int = 3000 * MS
    max_followers: int = 400
    page_bytes_per_s: int = 4_000_000
    page_burst_bytes: int = 400_000

    def faults(self) -> list[str]:
        """Return what is wrong with the values, each with its field; empty if nothing is."""
        found = [
            f"{name}: {getattr(self, name)}, 1 at least"
            for name in self.__slots__
            if getattr(self, name) < 1
        ]
        if self.request_retry_ns >= self.upstream_timeout_ns:
            found.append("request_retry_ns: not under upstream_timeout_ns")
        if self.heartbeat_ns >= min(self.upstream_timeout_ns, self.lease_ns):
            found.append("heartbeat_ns: not under upstream_timeout_ns and lease_ns")
        return found
