"""Slopes: costs measured at five or more sizes, fitted and extrapolated to other sizes.

Rows are stored in an append-only file of JSON lines; a reader uses the newest row of each name,
state and side. Costs are processor time, bytes, messages and resident memory, because a busy
machine changes these little.
"""

import json
import math
import os
import subprocess
import time
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import numpy as np

SLOPES_FILE = Path(__file__).parent.parent.parent / "benchmarks" / "slopes.jsonl"
MIN_SIZES = 5
MAX_FLAT_EXPONENT = 0.1  # power-law exponent below which a cost counts as independent of the size
STATES = ("rest", "churn", "cold")
SHAPES = ("flat", "log", "linear", "square")


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted cost: `cost = base + rate * g(size)`.

    Attributes:
        shape: Selects g: 0 for "flat", log2 size for "log", size for "linear", size squared for
            "square".
        base: Cost without the term that depends on the size, in the unit of the row.
        rate: Factor of g(size).
        residual: Root mean square of (measured - fitted) / fitted.
        exponent: Exponent of a power law through the same points.
    """

    shape: str
    base: float
    rate: float
    residual: float
    exponent: float

    def at(self, size: float) -> float:
        """Returns the fitted cost at this size."""
        return self.base + self.rate * shape_term(self.shape, size)


@dataclass(frozen=True, slots=True)
class Row:
    """A cost measured at several sizes, as stored in the file of slopes.

    Attributes:
        name: The measured cost, for example `member cpu`.
        by: The quantity that the sizes count, for example `servers`.
        unit: Unit of the values, for example `ms/s`.
        state: One of `STATES`.
        sizes: Sizes at which the cost was measured.
        values: Cost at each size.
        command: Command line that repeats the measurement.
        note: Where the cost was measured, what is extrapolated and what is a guess.
        side: `now`, or `before` for the source before a change.
        at: UTC time at which the row was stored.
        text: Commit of the measured source.
        cores: Number of processor cores of the machine.
    """

    name: str
    by: str
    unit: str
    state: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    command: str
    note: str
    side: str = "now"
    at: str = ""
    text: str = ""
    cores: int = 0


def shape_term(shape: str, size: float) -> float:
    """Returns g(size) of this shape, the term that `Fit.rate` multiplies."""
    return {"flat": 0.0, "log": math.log2(max(size, 1.0)), "linear": size, "square": size * size}[
        shape
    ]


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fits the simplest shape whose residual is within 10% of the smallest one, or at most 5%.

    Raises:
        ValueError: Fewer than five different sizes, not one value for each size, a size that is not
            positive, a negative value, or a number that is not finite.
    """
    if len(set(sizes)) < MIN_SIZES or len(sizes) != len(values):
        raise ValueError(
            f"{len(set(sizes))} sizes with {len(values)} values: a slope needs at least"
            f" {MIN_SIZES} different sizes and one value for each size"
        )
    if (
        not all(math.isfinite(number) for number in (*sizes, *values))
        or min(sizes) <= 0
        or min(values) < 0
    ):
        raise ValueError("sizes must be positive, values at least 0, and all of them finite")
    x, y = np.array(sizes, float), np.array(values, float)
    usable = y > 0
    exponent = (
        float(np.polyfit(np.log(x[usable]), np.log(y[usable]), 1)[0]) if usable.sum() > 1 else 0.0
    )
    fits = [fit_shape(shape, x, y, exponent) for shape in SHAPES]
    best = min(fitted.residual for fitted in fits)
    good = [fitted for fitted in fits if fitted.residual <= max(1.1 * best, 0.05)]
    return good[0]


def fit_shape(
    shape: str,
    x: "np.ndarray[tuple[int], np.dtype[np.float64]]",
    y: "np.ndarray[tuple[int], np.dtype[np.float64]]",
    exponent: float,
) -> Fit:
    """Fits one shape by least squares of the relative errors."""
    g = np.array([shape_term(shape, size) for size in x])
    scale = np.maximum(
        np.abs(y), 1e-12
    )  # relative errors, so that small sizes weigh as much as large ones
    if shape == "flat":
        base, rate = float(np.mean(y)), 0.0
    else:
        columns = np.column_stack([np.ones_like(g), g]) / scale[:, None]
        (base, rate), *_ = np.linalg.lstsq(columns, y / scale, rcond=None)
    fitted = base + rate * g
    residual = float(np.sqrt(np.mean(((y - fitted) / np.maximum(np.abs(fitted), 1e-12)) ** 2)))
    return Fit(shape, float(base), float(rate), residual, exponent)


def describe_fit(fitted: Fit) -> str:
    """Returns the shape, exponent and residual of a fit as text."""
    return f"{fitted.shape} (exponent {fitted.exponent:.2f}, residual {fitted.residual:.1%})"


def append_row(row: Row, path: Path = SLOPES_FILE) -> Row:
    """Appends a row with the current time, the commit and the number of cores.

    Returns:
        The row as it was stored.

    Raises:
        ValueError: The state or the side is unknown, or `fit` rejects the sizes and values.
    """
    if row.state not in STATES or row.side not in ("now", "before"):
        raise ValueError(
            f"state {row.state!r} is none of {', '.join(STATES)},"
            f" or side {row.side!r} is neither now nor before"
        )
    fit(row.sizes, row.values)
    stored = asdict(row) | {
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "text": current_commit(),
        "cores": os.cpu_count() or 0,
    }
    with open(path, "a", encoding="utf-8") as file:
        file.write(json.dumps(stored) + "\n")
    return row_from_json(stored)


def current_commit() -> str:
    """Returns the commit that is checked out, followed by "+" if tracked files of it were changed.

    The text is empty outside a checkout.
    """

    def git(*words: str) -> str:
        return subprocess.run(
            ["git", *words], cwd=SLOPES_FILE.parent, capture_output=True, text=True, check=False
        ).stdout.strip()

    return git("rev-parse", "--short", "HEAD") + (
        "+" if git("status", "--porcelain", "--untracked-files=no", "../burlloom") else ""
    )


def row_from_json(stored: dict[str, object]) -> Row:
    """Returns the row of a decoded JSON object."""
    fields = dict(stored)
    for name in ("sizes", "values"):
        value = fields[name]
        assert isinstance(value, list | tuple)
        fields[name] = tuple(float(number) for number in value)
    return Row(**fields)  # type: ignore[arg-type]


def read_rows(path: Path = SLOPES_FILE) -> list[Row]:
    """Returns all stored rows in file order, oldest first; none if the file is missing."""
    if not path.exists():
        return []
    return [
        row_from_json(json.loads(line))
        for line in path.read_text(encoding="utf-8").splitlines()
        if line.strip()
    ]


def newest_rows(rows: Iterable[Row]) -> dict[tuple[str, str, str], Row]:
    """Returns the last row of each name, state and side."""
    return {(row.name, row.state, row.side): row for row in rows}
