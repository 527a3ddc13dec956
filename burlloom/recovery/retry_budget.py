"""A retry budget for the recovery, as a ratio to first attempts. No I/O.

After a mass restart nearly all requests are retries. Without a bound they are read, queued and
rejected again and again, and crowd out first attempts. Source: the retry budgets of "Site
Reliability Engineering" (Google, 2016, chapter 21), here on the receiving side.
"""


class RetryBudget:
    """Counts first attempts and retries over a ring of fixed buckets.

    Args:
        part: Retries allowed for each first attempt.
        few: Retries a second that are allowed in any case.
        span: The window over which attempts are counted, ns.
    """

    BUCKETS = 10

    def __init__(self, part: float, few: float, span: int) -> None:
        """`span` in ns, over which is counted."""
        self.part, self.few, self.width = part, few * span / 1e9, max(1, span // self.BUCKETS)
        self.firsts, self.retries = [0] * self.BUCKETS, [0] * self.BUCKETS
        self.last = 0
        self.rejected = 0

    def turn(self, now: int) -> int:
        """Clears the buckets that have expired by `now` (ns); returns the current one's index."""
        bucket = now // self.width
        if bucket > self.last:
            for old in range(max(self.last, bucket - self.BUCKETS) + 1, bucket + 1):
                self.firsts[old % self.BUCKETS] = self.retries[old % self.BUCKETS] = 0
            self.last = bucket
        return self.last % self.BUCKETS

    def is_over_budget(self, now: int, retry: bool) -> bool:
        """Counts one attempt, read at `now` (ns); returns whether it is a retry over the budget."""
        at = self.turn(now)
        if not retry:
            self.firsts[at] += 1
            return False
        if sum(self.retries) + 1 > self.few + self.part * sum(self.firsts):
            self.rejected += 1
            return True
        self.retries[at] += 1
        return False
