"""Slopes: a fit finds the shape of the cost; rows are only added, and invalid ones rejected."""

from math import log2
from pathlib import Path
from random import Random

import pytest

from burlloom.lab.slopes import Row, append_row, fit, newest_rows, read_rows

SIZES = (30.0, 100.0, 300.0, 600.0, 1200.0, 2600.0)


@pytest.mark.parametrize(
    ("shape", "cost"),
    [
        ("flat", lambda n: 7.0),
        ("log", lambda n: 1 + 2 * log2(n)),
        ("linear", lambda n: 0.5 + 0.003 * n),
        ("square", lambda n: 2 + 1e-4 * n * n),
    ],
)
def test_the_shape_is_found_despite_noise(shape, cost):
    random = Random(5)
    found = fit(SIZES, [cost(size) * random.uniform(0.98, 1.02) for size in SIZES])
    assert found.shape == shape
    assert found.residual < 0.05
    assert found.at(5000) == pytest.approx(cost(5000), rel=0.1)


def test_a_row_with_fewer_than_five_sizes_is_rejected(tmp_path: Path):
    row = Row("a", "servers", "ms", "rest", (1.0, 2.0, 3.0, 4.0, 4.0), (1.0,) * 5, "run", "")
    with pytest.raises(ValueError, match="4 sizes"):
        append_row(row, tmp_path / "rows")
    assert read_rows(tmp_path / "rows") == []


def test_rows_are_appended_and_the_newest_is_read(tmp_path: Path):
    path = tmp_path / "rows"
    for value in (1.0, 2.0):
        append_row(Row("a", "servers", "ms", "rest", SIZES, (value,) * 6, "run", "measured"), path)
    rows = read_rows(path)
    assert [row.values[0] for row in rows] == [1.0, 2.0]
    assert newest_rows(rows)["a", "rest", "now"].values[0] == 2.0
    assert rows[1].at
    assert rows[1].cores


def test_a_row_with_an_unknown_state_is_rejected(tmp_path: Path):
    with pytest.raises(ValueError, match="state"):
        append_row(
            Row("a", "servers", "ms", "busy", SIZES, (1.0,) * 6, "run", ""), tmp_path / "rows"
        )
