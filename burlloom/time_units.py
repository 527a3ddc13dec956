"""Units of time. Durations and times are whole nanoseconds."""

NS_PER_MS = 1_000_000
NS_PER_SECOND = 1_000_000_000
