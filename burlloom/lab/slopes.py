"""Slopes: a cost measured at five sizes or more, the shape it grows by, and what it comes to at
another size.

Rows are kept in a file of JSON lines that only grows; whoever reads takes the newest row of a name,
a state and a side. Costs are processor time, bytes, messages and resident memory, which a busy
machine changes little.
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

KEPT = Path(__file__).parent.parent.parent / "benchmarks" / "slopes.jsonl"
SIZES_LEAST = 5
FLAT = 0.1  # an exponent that is less than this is none
STATES = ("rest", "churn", "cold")
SHAPES = ("flat", "log", "linear", "square")


@dataclass(frozen=True, slots=True)
class Fit:
    """`cost = base + rate * g(size)`, g by the shape: 1, log2 size, size, size squared. `residual`:
    the root of the mean square of (measured - fitted) / fitted. `exponent`: of a power law through
    the same points.
    """

    shape: str
    base: float
    rate: float
    residual: float
    exponent: float

    def at(self, size: float) -> float:
        return self.base + self.rate * grown(self.shape, size)


@dataclass(frozen=True, slots=True)
class Row:
    """`name`: what costs, as `member cpu`; `unit`: as `ms/s`; `by`: of what the sizes are, as
    `servers`. `side`: `now`, or `before` for the text before a change. `command`: runs it again.
    `note`: where it was measured, what is extrapolated, what is a guess.
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


def grown(shape: str, size: float) -> float:
    return {"flat": 0.0, "log": math.log2(max(size, 1.0)), "linear": size, "square": size * size}[
        shape
    ]


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The plainest shape whose residual is within a tenth of the best one's, or under 5%. Raises
    `ValueError` for fewer than five sizes, or for what is no finite positive size.
    """
    if len(set(sizes)) < SIZES_LEAST or len(sizes) != len(values):
        raise ValueError(
            f"{len(set(sizes))} sizes with {len(values)} values: a slope wants {SIZES_LEAST} sizes, each with one"
        )
    if (
        not all(math.isfinite(one) for one in (*sizes, *values))
        or min(sizes) <= 0
        or min(values) < 0
    ):
        raise ValueError("sizes are over 0, values at least 0, and all are finite")
    x, y = np.array(sizes, float), np.array(values, float)
    usable = y > 0
    exponent = (
        float(np.polyfit(np.log(x[usable]), np.log(y[usable]), 1)[0]) if usable.sum() > 1 else 0.0
    )
    found = [with_shape(shape, x, y, exponent) for shape in SHAPES]
    best = min(one.residual for one in found)
    good = [one for one in found if one.residual <= max(1.1 * best, 0.05)]
    return good[0]


def with_shape(
    shape: str,
    x: "np.ndarray[tuple[int], np.dtype[np.float64]]",
    y: "np.ndarray[tuple[int], np.dtype[np.float64]]",
    exponent: float,
) -> Fit:
    g = np.array([grown(shape, size) for size in x])
    scale = np.maximum(np.abs(y), 1e-12)  # relative errors count, so that small sizes do too
    if shape == "flat":
        base, rate = float(np.mean(y)), 0.0
    else:
        columns = np.column_stack([np.ones_like(g), g]) / scale[:, None]
        (base, rate), *_ = np.linalg.lstsq(columns, y / scale, rcond=None)
    fitted = base + rate * g
    residual = float(np.sqrt(np.mean(((y - fitted) / np.maximum(np.abs(fitted), 1e-12)) ** 2)))
    return Fit(shape, float(base), float(rate), residual, exponent)


def exponent_word(found: Fit) -> str:
    """The exponent said out loud."""
    return f"{found.shape} (exponent {found.exponent:.2f}, residual {found.residual:.1%})"


def keep(row: Row, path: Path = KEPT) -> Row:
    """Appends the row, with when, on which text and on how many cores it was measured. Raises
    `ValueError` as `fit`.
    """
    if row.state not in STATES or row.side not in ("now", "before"):
        raise ValueError(
            f"state {row.state!r} is none of {', '.join(STATES)}, or side {row.side!r} is neither now nor before"
        )
    fit(row.sizes, row.values)
    told = asdict(row) | {
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "text": text_now(),
        "cores": os.cpu_count() or 0,
    }
    with open(path, "a", encoding="utf-8") as file:
        file.write(json.dumps(told) + "\n")
    return row_of(told)


def text_now() -> str:
    """The commit that is checked out, with + if files differ from it; empty outside of a
    checkout.
    """

    def git(*words: str) -> str:
        return subprocess.run(
            ["git", *words], cwd=KEPT.parent, capture_output=True, text=True, check=False
        ).stdout.strip()

    return git("rev-parse", "--short", "HEAD") + (
        "+" if git("status", "--porcelain", "--untracked-files=no", "../burlloom") else ""
    )


def row_of(told: dict[str, object]) -> Row:
    got = dict(told)
    for name in ("sizes", "values"):
        value = got[name]
        assert isinstance(value, list | tuple)
        got[name] = tuple(float(one) for one in value)
    return Row(**got)  # type: ignore[arg-type]


def kept(path: Path = KEPT) -> list[Row]:
    """All rows, oldest first."""
    if not path.exists():
        return []
    return [
        row_of(json.loads(line))
        for line in path.read_text(encoding="utf-8").splitlines()
        if line.strip()
    ]


def newest(rows: Iterable[Row]) -> dict[tuple[str, str, str], Row]:
    """By name, state and side."""
    return {(row.name, row.state, row.side): row for row in rows}
