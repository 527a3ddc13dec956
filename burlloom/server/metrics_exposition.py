"""The one exposition of metrics that all parts of a server register with."""

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
    """Opens the exposition for the first part that registers; without any, there is none.

    Its first registration may raise `StoreRefusedError`: the address to listen at can't be used.

    Args:
        settings: The operator's: where metrics are written or served.
    """

    def __init__(self, settings: Metrics) -> None:
        self.settings = settings
        self._exposed: MetricsExporter | None = None

    def register(self, prefix: str, counts: Any, gauges: Callable[[], dict[str, float]]) -> None:
        """Exposes numbers that a part keeps.

        Args:
            prefix: Of the metrics' names.
            counts: Numbers that only grow: a dataclass, a dictionary, or what returns one.
            gauges: Returns the numbers that stand now.
        """
        self._open().add_numbers(prefix, counts, gauges)

    def register_record(self, coordinator: RecordCoordinator) -> None:
        """Exposes the counts of the record and how long its writes take."""
        exposed = self._open()
        coordinator.observer.observe_claim = exposed.add_histogram(
            "burlloom_record_claim_seconds", "from a claim's posting to its word"
        )
        coordinator.observer.observe_finish = exposed.add_histogram(
            "burlloom_record_finish_seconds", "from an end's posting to its word"
        )
        exposed.add_numbers(
            "burlloom_record", coordinator.counters.as_metrics, lambda: record_gauges(coordinator)
        )

    def write_only_while(self, is_wanted: Callable[[], bool]) -> None:
        """Has the metrics' file written seldom while this returns False."""
        self._open().allows_optional_writes = is_wanted

    def close(self) -> None:
        """Writes the file a last time and stops listening."""
        if self._exposed is not None:
            self._exposed.close()

    def _open(self) -> MetricsExporter:
        if self._exposed is None:
            self._exposed = open_exposition(self.settings)
        return self._exposed


def open_exposition(settings: Metrics) -> MetricsExporter:
    """Starts writing and serving metrics as the operator's file says.

    Raises:
        StoreRefusedError: The address to listen at can't be used.
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
    """Returns what stands now in the record, by the end of the metric's name."""
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
