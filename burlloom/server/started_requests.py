"""Remembers which requests of non-idempotent classes were started, so that none runs twice.

Such a request has no idempotency key. Its caller sends each attempt under an id of its own, but an
attempt may come again: from a network, from a proxy, or from a caller that left and came back.
"""


class StartedRequests:
    """The ids of the requests that were started last.

    Attributes:
        started_at_ns: When each was started, Unix ns; the oldest first.
    """

    def __init__(self, retention_ns: int, max_count: int) -> None:
        """Starts without any request.

        Args:
            retention_ns: For how long a request is remembered.
            max_count: How many requests are remembered; beyond it the oldest is forgotten.
        """
        self.retention_ns, self.max_count = retention_ns, max_count
        self.started_at_ns: dict[str, int] = {}

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.started_at_ns

    def add(self, request_id: str, now_ns: int) -> None:
        """Remembers a request that is started now."""
        self.started_at_ns[request_id] = now_ns
        while len(self.started_at_ns) > self.max_count or self.is_oldest_expired(now_ns):
            del self.started_at_ns[next(iter(self.started_at_ns))]

    def is_oldest_expired(self, now_ns: int) -> bool:
        """Returns whether the oldest request need not be remembered any longer."""
        return now_ns - next(iter(self.started_at_ns.values())) > self.retention_ns
