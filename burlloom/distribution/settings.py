"""How often, how long, how many: the bounds of following and of being followed."""

from dataclasses import dataclass

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """Times in ns, jittered by a tenth where they repeat. `silence`: an upstream that answered is
    given up after it; `knock`: one that never did; `retry`: a request is sent again; `prefer`:
    better upstreams are tried again; `stale`: an upstream whose word is older than that is left for
    a fresher one; `stuck`: a sync without any progress is begun anew elsewhere. `lease`: a follower
    that does not report is forgotten. `page_rate`: bytes/s of pages that one source gives to all;
    `page_burst`: bytes at once.
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
