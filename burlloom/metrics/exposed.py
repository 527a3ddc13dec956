"""What is exposed, and to whom: a file that is written anew, or a listener of its own."""

import logging
import threading
from collections.abc import Callable, Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any

from prometheus_client import CollectorRegistry, Histogram, start_http_server, write_to_textfile
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

log = logging.getLogger(__name__)

SECONDS = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
NANO = 1e-9
SELDOM = 5  # writings of the file that are left out for each one, at a level that says so


class Numbers:
    """A collector over plain numbers that others keep: nothing is counted twice, and nothing costs
    until it is read.

    `counts`: whole numbers that only grow, a dataclass, a dictionary or what gives one; `gauges`
    gives what stands now.
    """

    def __init__(self, prefix: str, counts: Any, gauges: Callable[[], dict[str, float]]) -> None:
        self.prefix, self.counts, self.gauges = prefix, counts, gauges

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        counts = self.counts() if callable(self.counts) else self.counts
        told = (
            counts
            if isinstance(counts, dict)
            else {field.name: getattr(counts, field.name) for field in fields(counts)}
        )
        for name, count in told.items():
            yield CounterMetricFamily(
                f"{self.prefix}_{name}", f"{name.replace('_', ' ')}, since the start", value=count
            )
        for name, value in self.gauges().items():
            yield GaugeMetricFamily(
                f"{self.prefix}_{name}", f"{name.replace('_', ' ')}, now", value=value
            )


class Exposed:
    def __init__(self, file: Path | None, every: float, listen: tuple[str, int] | None) -> None:
        """`every`: s between two writings of the file. Raises `OSError` where it can't listen."""
        self.registry = CollectorRegistry()
        self.file, self.every = file, every
        self.stopping = threading.Event()
        self.wanted: Callable[[], bool] = lambda: True  # whether this is the time for what may wait
        self.thread: threading.Thread | None = None
        self.server: Any = None
        if listen is not None:
            self.server, _ = start_http_server(listen[1], listen[0], self.registry)
            log.info("event=metrics-listening address=%s:%d", listen[0], self.server.server_port)
        if file is not None:
            self.thread = threading.Thread(target=self.write, name="metrics", daemon=True)
            self.thread.start()

    def histogram(self, name: str, said: str) -> Callable[[int], None]:
        """Observes spans of nanoseconds."""
        made = Histogram(name, said, registry=self.registry, buckets=SECONDS)
        return lambda span: made.observe(span * NANO)

    def numbers(self, prefix: str, counts: Any, gauges: Callable[[], dict[str, float]]) -> None:
        self.registry.register(Numbers(prefix, counts, gauges))

    def write(self) -> None:
        passed = 0
        while not self.stopping.wait(self.every):
            passed = 0 if self.wanted() or passed >= SELDOM else passed + 1
            if not passed:
                self.write_once()

    def write_once(self) -> None:
        try:
            write_to_textfile(
                str(self.file), self.registry
            )  # under another name first, then renamed
        except OSError as error:
            log.warning("event=metrics-not-written detail=%r", str(error))

    def close(self) -> None:
        self.stopping.set()
        if self.thread is not None:
            self.thread.join(1.0)
            self.write_once()
        if self.server is not None:
            self.server.shutdown()
            self.server.server_close()
