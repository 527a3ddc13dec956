"""The metrics exposition that all subsystems of a server share."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..record.store import StoreRefusedError

if TYPE_CHECKING:
    from ..metrics import MetricsExporter
    from ..operator import Metrics
    from ..record.coordinator import RecordCoordinator

MS_PER_SECOND = 1000


class MetricsExposition:
    """Exposes the metrics of the subsystems that register; opened by the first registration.

    The first registration raises `StoreRefusedError` if the address to listen on can't be used.

    Args:
        settings: The operator's settings: where metrics are written and served.
    """

    def __init__(self, settings: Metrics) -> None:
        self.settings = settings
        self._exporter: MetricsExporter | None = None

    def register(self, prefix: str, counts: Any, gauges: Callable[[], dict[str, float]]) -> None:
        """Exposes the counters and gauges of one subsystem.

        Args:
            prefix: Prefix of the metrics' names.
            counts: Values that never decrease: a dataclass, a dictionary, or a function that
                returns one.
            gauges: Returns the current gauge values, by the suffix of the metric's name.
        """
        self._open().add_numbers(prefix, counts, gauges)

    def register_record(self, coordinator: RecordCoordinator) -> None:
        """Exposes the counters of the request record and the durations of its writes."""
        exporter = self._open()
        coordinator.observer.observe_claim = exporter.add_histogram(
            "burlloom_record_claim_seconds", "from a claim's posting to its word"
        )
        coordinator.observer.observe_finish = exporter.add_histogram(
            "burlloom_record_finish_seconds", "from an end's posting to its word"
        )
        exporter.add_numbers(
            "burlloom_record", coordinator.counters.as_metrics, lambda: record_gauges(coordinator)
        )

    def reduce_writes_unless(self, is_wanted: Callable[[], bool]) -> None:
        """Writes the metrics file at fewer intervals while `is_wanted` returns False."""
        self._open().allows_optional_writes = is_wanted

    def close(self) -> None:
        """Writes the final metrics file and stops listening."""
        if self._exporter is not None:
            self._exporter.close()

    def _open(self) -> MetricsExporter:
        if self._exporter is None:
            self._exporter = open_exposition(self.settings)
        return self._exporter


def open_exposition(settings: Metrics) -> MetricsExporter:
    """Starts to write and serve metrics where the operator's settings say.

    Raises:
        StoreRefusedError: The address to listen on can't be used.
    """
    from ..metrics import MetricsExporter

    address = None
    if settings.listen is not None:
        host, port = settings.listen.rsplit(":", 1)
        address = host, int(port)
    path = Path(settings.file) if settings.file is not None else None
    try:
        return MetricsExporter(path, settings.every_ms / MS_PER_SECOND, address)
    except OSError as error:
        raise StoreRefusedError(f"metrics.listen: {settings.listen}: {error.strerror}") from error


def record_gauges(coordinator: RecordCoordinator) -> dict[str, float]:
    """Returns the current gauge values of the record, by the suffix of the metric's name."""
    store = coordinator.store
    return {
        "open_writes": len(coordinator.breaker.in_flight),
        "fates": len(coordinator.registry),
        "cut_off": float(coordinator.breaker.state != 0),
        "cuts": coordinator.breaker.times_opened,
        "commits": store.commit_count,
        "writes": store.write_count,
        "largest_batch": store.largest_batch,
        "pruned": store.pruned_rows,
        "life": coordinator.incarnation,
    }
