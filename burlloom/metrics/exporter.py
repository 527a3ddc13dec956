"""Exports metrics in the Prometheus text format: to a file that is rewritten, or over HTTP."""

import logging
import threading
from collections.abc import Callable, Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any

from prometheus_client import CollectorRegistry, Histogram, write_to_textfile
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from .http_endpoint import MetricsEndpoint

log = logging.getLogger(__name__)

HISTOGRAM_BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
SECONDS_PER_NS = 1e-9
# Writes of the file skipped in a row while the service level suspends optional work; the one after
# them is made.
MAX_SKIPPED_WRITES = 5


class NumberCollector:
    """Prometheus collector of numbers that other objects hold; they are read only at a scrape.

    Args:
        prefix: Prefix of the metrics' names.
        counts: Counters, which only grow: a dataclass, a dictionary or a function that returns one
            of these.
        gauges: Returns the present values of the gauges by name.
    """

    def __init__(self, prefix: str, counts: Any, gauges: Callable[[], dict[str, float]]) -> None:
        self.prefix, self.counts, self.gauges = prefix, counts, gauges

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yields the metrics with their present values; the Prometheus client calls this."""
        counts = self.counts() if callable(self.counts) else self.counts
        counts_by_name = (
            counts
            if isinstance(counts, dict)
            else {field.name: getattr(counts, field.name) for field in fields(counts)}
        )
        for name, count in counts_by_name.items():
            yield CounterMetricFamily(
                f"{self.prefix}_{name}", f"{name.replace('_', ' ')}, since the start", value=count
            )
        for name, value in self.gauges().items():
            yield GaugeMetricFamily(
                f"{self.prefix}_{name}", f"{name.replace('_', ' ')}, now", value=value
            )


class MetricsExporter:
    """Registry of metrics, exported to a file, over HTTP or both.

    Attributes:
        allows_optional_writes: Returns whether the file may be written at each interval; otherwise
            up to MAX_SKIPPED_WRITES writes in a row are skipped.
    """

    def __init__(
        self, file: Path | None, write_interval_s: float, listen: tuple[str, int] | None
    ) -> None:
        """Begins the export.

        Args:
            file: Path of the file; None for no file.
            write_interval_s: Time between two writes of the file, s.
            listen: Host and port of the HTTP listener; None for no listener.

        Raises:
            OSError: The listener can't listen at that address.
        """
        self.registry = CollectorRegistry()
        self.file, self.write_interval_s = file, write_interval_s
        self.stopping = threading.Event()
        self.allows_optional_writes: Callable[[], bool] = lambda: True
        self.thread: threading.Thread | None = None
        self.endpoint: MetricsEndpoint | None = None
        if listen is not None:
            self.endpoint = MetricsEndpoint(self.registry, listen)
            log.info("event=metrics_listening address=%s:%d", listen[0], self.endpoint.port)
        if file is not None:
            self.thread = threading.Thread(
                target=self.write_periodically, name="metrics", daemon=True
            )
            self.thread.start()

    def add_histogram(self, name: str, documentation: str) -> Callable[[int], None]:
        """Adds a histogram of durations; returns a function that observes a duration in ns."""
        histogram = Histogram(
            name, documentation, registry=self.registry, buckets=HISTOGRAM_BUCKETS_S
        )
        return lambda duration_ns: histogram.observe(duration_ns * SECONDS_PER_NS)

    def add_numbers(self, prefix: str, counts: Any, gauges: Callable[[], dict[str, float]]) -> None:
        """Adds counters and gauges under a prefix; see `NumberCollector` for the arguments."""
        self.registry.register(NumberCollector(prefix, counts, gauges))

    def write_periodically(self) -> None:
        """Writes the file at each interval until closed; runs in the metrics thread."""
        skipped = 0
        while not self.stopping.wait(self.write_interval_s):
            skipped = (
                0 if self.allows_optional_writes() or skipped >= MAX_SKIPPED_WRITES else skipped + 1
            )
            if not skipped:
                self.write_file()

    def write_file(self) -> None:
        """Writes the file once; a write replaces the whole file by a rename."""
        try:
            write_to_textfile(str(self.file), self.registry)
        except OSError as error:
            log.warning("event=metrics_file_not_written detail=%r", str(error))

    def close(self) -> None:
        """Writes the file a last time, and ends the thread and the listener."""
        self.stopping.set()
        if self.thread is not None:
            self.thread.join(1.0)
            self.write_file()
        if self.endpoint is not None:
            self.endpoint.close()
