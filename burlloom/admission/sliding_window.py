"""Sums over a sliding window of time, in constant memory."""

__all__ = ["SlidingWindowSum"]

DEFAULT_BUCKET_COUNT = 10


class SlidingWindowSum:
    """The sum of the amounts added within a sliding window of time.

    Time is divided into buckets that are reused in turn, so the window is accurate to one bucket.

    Attributes:
        bucket_ns: The width of a bucket.
    """

    __slots__ = ("_last_bucket", "_sum", "_sums", "bucket_ns")

    def __init__(self, window_ns: int, buckets: int = DEFAULT_BUCKET_COUNT) -> None:
        """Creates an empty window.

        Args:
            window_ns: The length of the window.
            buckets: The number of buckets in the window.
        """
        self.bucket_ns = window_ns // buckets
        self._sums = [0.0] * buckets
        self._sum = 0.0
        self._last_bucket = 0

    def total(self, now: int) -> float:
        """Returns the sum over the window that ends at `now` (ns)."""
        bucket = now // self.bucket_ns
        last_bucket = self._last_bucket
        if bucket > last_bucket:
            sums = self._sums
            count = len(sums)
            for expired in range(max(last_bucket, bucket - count) + 1, bucket + 1):
                sums[expired % count] = 0.0
            self._sum = sum(sums)
            self._last_bucket = bucket
        return self._sum

    def add(self, now: int, amount: float) -> None:
        """Adds `amount` at `now` (ns). A time before the newest bucket counts in that bucket."""
        self._sum = self.total(now) + amount
        self._sums[self._last_bucket % len(self._sums)] += amount
