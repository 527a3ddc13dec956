"""The small form of benchmarks/scale_configuration.py: its rows are whole, and what they must show
by kind holds.
"""

from pathlib import Path

import rig  # noqa: F401  (finds benchmarks/)
from click.testing import CliRunner
from processes import passed_at
from pytest import approx
from scale import scale
from scale_configuration import tenants

from burlloom.lab.slopes import newest_rows, read_rows


def test_rows_of_configurations(tmp_path: Path) -> None:
    place = tmp_path / "rows"
    words = [
        "configuration",
        "--sizes",
        "200,400,800,1600,6400",
        "--rounds",
        "1",
        "--to",
        str(place),
    ]
    done = CliRunner().invoke(scale, words)
    assert done.exit_code == 0, (done.output, done.exception)
    found = newest_rows(read_rows(place))
    assert {(name, state) for name, state, _ in found} == {
        ("configuration file", "rest"),
        ("configuration memory", "rest"),
        ("configuration memory", "churn"),
        ("configuration memory peak", "churn"),
        ("configuration start cpu", "cold"),
        ("configuration start", "cold"),
        ("reload cpu", "churn"),
        ("reload stall", "churn"),
    }
    assert all(
        row.sizes == (200, 400, 800, 1600, 6400)
        and min(row.values) >= 0
        and row.command
        and row.note
        for row in found.values()
    )
    cpu = found["reload cpu", "churn", "now"].values
    assert cpu[-1] > 4 * cpu[0] > 0, cpu  # processor time, of 32 times as many tenants
    assert "changes a second" in done.output


def test_rows_of_routes(tmp_path: Path) -> None:
    place = tmp_path / "rows"
    done = CliRunner().invoke(
        scale, ["routes", "--sizes", "10000,20000,30000,40000,50000", "--to", str(place)]
    )
    assert done.exit_code == 0, (done.output, done.exception)
    (row,) = read_rows(place)
    assert "YARDSTICK" in row.note
    assert row.values[0] < row.values[-1]


def test_a_dry_run_keeps_nothing_and_bad_sizes_are_refused(tmp_path: Path) -> None:
    place = tmp_path / "rows"
    done = CliRunner().invoke(
        scale, ["routes", "--sizes", "1000,2000,3000,4000,5000", "--dry", "--to", str(place)]
    )
    assert done.exit_code == 0 and not place.exists(), done.output
    for bad in ("a,b", "0,1,2,3,4", ""):
        done = CliRunner().invoke(scale, ["configuration", "--sizes", bad, "--to", str(place)])
        assert done.exit_code == 2 and "sizes" in done.output, done.output


def test_the_size_at_which_a_budget_is_passed() -> None:
    sizes = (10.0, 20.0, 40.0, 80.0, 160.0)
    assert passed_at(sizes, [2 + size / 2 for size in sizes], 37) == approx(70, rel=0.01)
    assert passed_at(sizes, [7.0] * 5, 37) is None


def test_a_change_moves_portions_and_nobody_goes() -> None:
    before, after = tenants(50), tenants(50, 1)
    assert before != after
    assert [one["name"] for one in before] == [one["name"] for one in after]
    assert before[0]["name"] == "acme"
