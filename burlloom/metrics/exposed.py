"""Exposes metrics in the Prometheus text format: to a file that is rewritten, or over HTTP."""

import logging
import threading
from collections.abc import Callable, Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any

from prometheus_client import CollectorRegistry, Histogram, start_http_server, write_to_textfile
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

log = logging.getLogger(__name__)

BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
SECONDS_PER_NS = 1e-9
SKIPPED_WRITES = 5  # writings of the file that are left out for each one, at a level that says so


class Numbers:
    """A collector over numbers that others keep: it costs nothing until it is read.

    `counts` only grow: a dataclass, a dictionary or what returns one. `gauges` returns present
    values.
    """

    def __init__(self, prefix: str, counts: Any, gauges: Callable[[], dict[str, float]]) -> None:
        self.prefix, self.counts, self.gauges = prefix, counts, gauges

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yield the present values, as Prometheus' client asks for them."""
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


class Exposed:
    """The registry of metrics, and who reads it: a file, or an HTTP listener."""

    def __init__(self, file: Path | None, every: float, listen: tuple[str, int] | None) -> None:
        """`every`: s between two writings of the file. Raises `OSError` where it can't listen."""
        self.registry = CollectorRegistry()
        self.file, self.every = file, every
        self.stopping = threading.Event()
        self.is_wanted: Callable[[], bool] = lambda: (
            True
        )  # whether this is the time for what may wait
        self.thread: threading.Thread | None = None
        self.server: Any = None
        if listen is not None:
            self.server, _ = start_http_server(listen[1], listen[0], self.registry)
            log.info("event=metrics_listening address=%s:%d", listen[0], self.server.server_port)
        if file is not None:
            self.thread = threading.Thread(
                target=self.write_periodically, name="metrics", daemon=True
            )
            self.thread.start()

    def histogram(self, name: str, said: str) -> Callable[[int], None]:
        """Return a function that observes spans of nanoseconds."""
        made = Histogram(name, said, registry=self.registry, buckets=BUCKETS_S)
        return lambda span: made.observe(span * SECONDS_PER_NS)

    def numbers(self, prefix: str, counts: Any, gauges: Callable[[], dict[str, float]]) -> None:
        """Expose counters and gauges under a prefix."""
        self.registry.register(Numbers(prefix, counts, gauges))

    def write_periodically(self) -> None:
        """Write the file each interval until closed; runs in a thread of its own."""
        passed = 0
        while not self.stopping.wait(self.every):
            passed = 0 if self.is_wanted() or passed >= SKIPPED_WRITES else passed + 1
            if not passed:
                self.write_file()

    def write_file(self) -> None:
        """Write the file once: under another name first, then renamed."""
        try:
            write_to_textfile(
                str(self.file), self.registry
            )  # under another name first, then renamed
        except OSError as error:
            log.warning("event=metrics_file_not_written detail=%r", str(error))

    def close(self) -> None:
        """Write the file a last time and end the thread and the listener."""
        self.stopping.set()
        if self.thread is not None:
            self.thread.join(1.0)
            self.write_file()
        if self.server is not None:
            self.server.shutdown()
            self.server.server_close()
