"""The one exposition of metrics that all parts of a server register with."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..record.store import Refused

if TYPE_CHECKING:
    from ..metrics import Exposed
    from ..operator import Metrics
    from ..record.keeper import Keeper

MS_PER_SECOND = 1000


class MetricsExposition:
    """Opens the exposition for the first part that registers; without any, there is none.

    Its first registration may raise `Refused`: the address to listen at can't be used.
    """

    def __init__(self, settings: Metrics) -> None:
        """Creates an exposition that is not open.

        Args:
            settings: The operator's: where metrics are written or served.
        """
        self.settings = settings
        self._exposed: Exposed | None = None

    def register(self, prefix: str, counts: Any, gauges: Callable[[], dict[str, float]]) -> None:
        """Exposes numbers that a part keeps.

        Args:
            prefix: Of the metrics' names.
            counts: Numbers that only grow: a dataclass, a dictionary, or what returns one.
            gauges: Returns the numbers that stand now.
        """
        self._open().numbers(prefix, counts, gauges)

    def register_record(self, keeper: Keeper) -> None:
        """Exposes the counts of the record and how long its writes take."""
        exposed = self._open()
        keeper.watch.claim = exposed.histogram(
            "burlloom_record_claim_seconds", "from a claim's posting to its word"
        )
        keeper.watch.finish = exposed.histogram(
            "burlloom_record_finish_seconds", "from an end's posting to its word"
        )
        exposed.numbers("burlloom_record", keeper.counts, lambda: record_gauges(keeper))

    def write_only_while(self, is_wanted: Callable[[], bool]) -> None:
        """Has the metrics' file written seldom while this returns False."""
        self._open().wanted = is_wanted

    def close(self) -> None:
        """Writes the file a last time and stops listening."""
        if self._exposed is not None:
            self._exposed.close()

    def _open(self) -> Exposed:
        if self._exposed is None:
            self._exposed = open_exposition(self.settings)
        return self._exposed


def open_exposition(settings: Metrics) -> Exposed:
    """Starts writing and serving metrics as the operator's file says.

    Raises:
        Refused: The address to listen at can't be used.
    """
    from ..metrics import Exposed

    address = None
    if settings.listen is not None:
        host, port = settings.listen.rsplit(":", 1)
        address = host, int(port)
    path = Path(settings.file) if settings.file is not None else None
    try:
        return Exposed(path, settings.every_ms / MS_PER_SECOND, address)
    except OSError as error:
        raise Refused(f"metrics.listen: {settings.listen}: {error.strerror}") from error


def record_gauges(keeper: Keeper) -> dict[str, float]:
    """Returns what stands now in the record, by the end of the metric's name."""
    store = keeper.store
    return {
        "open_writes": len(keeper.budget.open),
        "fates": len(keeper.fates),
        "cut_off": float(keeper.budget.state != 0),
        "cuts": keeper.budget.cuts,
        "commits": store.commits,
        "writes": store.written,
        "largest_batch": store.largest,
        "pruned": store.pruned,
        "life": keeper.life,
    }
