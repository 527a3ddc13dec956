"""A retry budget for the recovery, as a ratio to first attempts. No I/O.

After a mass restart nearly all requests are retries. Without a bound they are read, queued and
rejected again and again, and crowd out first attempts. Source: the retry budgets of "Site
Reliability Engineering" (Google, 2016, chapter 21), here on the receiving side.
"""


class RetryBudget:
    """Counts first attempts and retries over a ring of fixed buckets.

    Args:
        retry_ratio: Retries allowed for each first attempt.
        min_retries_per_second: Retries a second that are allowed in any case.
        window_ns: The window over which attempts are counted, ns.
    """

    BUCKETS = 10

    def __init__(self, retry_ratio: float, min_retries_per_second: float, window_ns: int) -> None:
        self.retry_ratio = retry_ratio
        self.min_retries = min_retries_per_second * window_ns / 1e9
        self.bucket_ns = max(1, window_ns // self.BUCKETS)
        self.first_attempts, self.retries = [0] * self.BUCKETS, [0] * self.BUCKETS
        self.last_bucket = 0
        self.rejected = 0

    def turn(self, now: int) -> int:
        """Clears the buckets that have expired by `now` (ns); returns the current one's index."""
        bucket = now // self.bucket_ns
        if bucket > self.last_bucket:
            for old in range(max(self.last_bucket, bucket - self.BUCKETS) + 1, bucket + 1):
                self.first_attempts[old % self.BUCKETS] = self.retries[old % self.BUCKETS] = 0
            self.last_bucket = bucket
        return self.last_bucket % self.BUCKETS

    def is_over_budget(self, now: int, is_retry: bool) -> bool:
        """Counts one attempt, read at `now` (ns); returns whether it is a retry over the budget."""
        index = self.turn(now)
        if not is_retry:
            self.first_attempts[index] += 1
            return False
        if sum(self.retries) + 1 > self.min_retries + self.retry_ratio * sum(self.first_attempts):
            self.rejected += 1
            return True
        self.retries[index] += 1
        return False
