"""A budget for marked retries while service comes back: a part of the first tries, over fixed
buckets. No I/O.

After a mass restart nearly all that comes is a retry. Without a bound they are read, held and
turned away again and again, and keep first tries out. What is past the budget is given up by the
decisions, with a time to come back. Source: the retry budgets of Google's book on site reliability
(2016, chapter 21), here on the receiving side.
"""


class RetryBudget:
    """`part`: how many retries for each first try; `few` a second are taken whatever comes."""

    BUCKETS = 10

    def __init__(self, part: float, few: float, span: int) -> None:
        """`span` in ns, over which is counted."""
        self.part, self.few, self.width = part, few * span / 1e9, max(1, span // self.BUCKETS)
        self.firsts, self.retries = [0] * self.BUCKETS, [0] * self.BUCKETS
        self.last = 0
        self.rejected = 0

    def turn(self, now: int) -> int:
        bucket = now // self.width
        if bucket > self.last:
            for old in range(max(self.last, bucket - self.BUCKETS) + 1, bucket + 1):
                self.firsts[old % self.BUCKETS] = self.retries[old % self.BUCKETS] = 0
            self.last = bucket
        return self.last % self.BUCKETS

    def is_over_budget(self, now: int, retry: bool) -> bool:
        """Counts one that was read; whether it is past the budget."""
        at = self.turn(now)
        if not retry:
            self.firsts[at] += 1
            return False
        if sum(self.retries) + 1 > self.few + self.part * sum(self.firsts):
            self.rejected += 1
            return True
        self.retries[at] += 1
        return False
