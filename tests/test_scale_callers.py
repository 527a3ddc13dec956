"""The small form of benchmarks/scale_callers.py: whole rows, more connections hold more memory."""

from pathlib import Path

import rig  # noqa: F401  (finds benchmarks/)
from click.testing import CliRunner
from scale import scale

from burlloom.lab.slopes import newest_rows, read_rows


def test_rows_of_callers(tmp_path: Path) -> None:
    place = tmp_path / "rows"
    done = CliRunner().invoke(
        scale, ["callers", "--sizes", "20,40,80,160,320", "--seconds", "0.3", "--to", str(place)]
    )
    assert done.exit_code == 0, (done.output, done.exception)
    found = newest_rows(read_rows(place))
    assert {(name, state) for name, state, _ in found} == {
        ("connection memory", "rest"),
        ("connection cpu", "rest"),
        ("connection memory", "churn"),
        ("connection request cpu", "churn"),
    }
    for state in ("rest", "churn"):
        memory = found["connection memory", state, "now"].values
        assert memory[-1] > memory[0] > 0, memory
    assert all("assumption" in row.note for row in found.values())
