"""A retry budget for the recovery, as a ratio to first attempts. Does no I/O.

After a restart of many servers nearly all requests are retries. Without a bound they are read,
queued and rejected again and again, and displace first attempts. Based on the retry budgets of
"Site Reliability Engineering" (Google, 2016, chapter 21), applied here on the receiving side.
"""


class RetryBudget:
    """Counts first attempts and retries over a ring of fixed time buckets.

    Attributes:
        rejected: Number of retries over the budget since the start.

    Args:
        retry_ratio: Retries allowed for each first attempt.
        min_retries_per_second: Retries a second allowed whatever the first attempts are.
        window_ns: Window over which attempts are counted, ns.
    """

    BUCKET_COUNT = 10

    def __init__(self, retry_ratio: float, min_retries_per_second: float, window_ns: int) -> None:
        self.retry_ratio = retry_ratio
        self.min_retries = min_retries_per_second * window_ns / 1e9
        self.bucket_ns = max(1, window_ns // self.BUCKET_COUNT)
        self.first_attempts, self.retries = [0] * self.BUCKET_COUNT, [0] * self.BUCKET_COUNT
        self.last_bucket = 0
        self.rejected = 0

    def advance(self, now_ns: int) -> int:
        """Clears the buckets that expired by `now_ns`; returns the index of the current bucket."""
        bucket = now_ns // self.bucket_ns
        if bucket > self.last_bucket:
            for expired in range(max(self.last_bucket, bucket - self.BUCKET_COUNT) + 1, bucket + 1):
                self.first_attempts[expired % self.BUCKET_COUNT] = self.retries[
                    expired % self.BUCKET_COUNT
                ] = 0
            self.last_bucket = bucket
        return self.last_bucket % self.BUCKET_COUNT

    def is_over_budget(self, now_ns: int, is_retry: bool) -> bool:
        """Counts an attempt read at `now_ns`; returns whether it is a retry over the budget.

        A retry over the budget does not count against it.
        """
        index = self.advance(now_ns)
        if not is_retry:
            self.first_attempts[index] += 1
            return False
        if sum(self.retries) + 1 > self.min_retries + self.retry_ratio * sum(self.first_attempts):
            self.rejected += 1
            return True
        self.retries[index] += 1
        return False
