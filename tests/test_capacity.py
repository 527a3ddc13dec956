"""The tables of docs/CAPACITY.md: computed from the stored slopes, with exceeded budgets ranked."""

import json
from dataclasses import asdict, replace
from pathlib import Path

import pytest
from click.testing import CliRunner

from burlloom.command.lab import capacity
from burlloom.lab import capacity as module
from burlloom.lab.capacity import (
    BUSY,
    CORE,
    Budget,
    Given,
    Need,
    NoPage,
    Role,
    Slope,
    cost,
    figures,
    latest,
    of_role,
    over,
    passed_at,
    ranked,
    ranking,
    tables,
    where,
    worked_out,
    written,
)
from burlloom.lab.slopes import Row, append_row, fit, newest_rows

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SIZES = (100.0, 300.0, 600.0, 1000.0, 2000.0)


def make_slope(
    name: str, values: tuple[float, ...], by: str = "servers", side: str = "now", note: str = ""
) -> Row:
    return Row(name, by, "ms/s", "rest", SIZES, values, "python x", note, side)


def rows_by_key(*rows: Row) -> dict[tuple[str, str, str], Row]:
    """Returns the newest row of each name, state and side."""
    return newest_rows(rows)


def make_role(*needs: Need) -> Role:
    """Returns a role with these needs."""
    return Role("r", "Role", needs)


LINEAR = make_slope("a cpu", tuple(0.01 * size for size in SIZES))
NEED = Need("time", "ms/s", (Slope("a cpu", "rest"),), CORE, "m")


def test_the_page_has_the_tables_of_the_stored_slopes() -> None:
    """The page is renewed by `burlloom lab capacity --write`."""
    page = PAGE.read_text(encoding="utf-8")
    expected = written(page, tables(latest()))
    differing = [
        (a, b) for a, b in zip(page.splitlines(), expected.splitlines(), strict=False) if a != b
    ]
    assert not differing, differing[:3]
    assert page == expected


def test_the_roles_have_the_titles_of_the_plan() -> None:
    assert [role.title.split(":")[0] for role in module.ROLES] == [
        "Plain member",
        "Allocator",
        "Release leader and book",
        "Store of record",
        "Holder of routes and tenants",
        "Carrier of configuration",
        "Discovery",
        "The way of a request",
        "Connections of callers",
        "Log and metrics",
        "The 19 control machines",
        "Links between regions",
    ]
    assert len({role.name for role in module.ROLES}) == len(module.ROLES)


def test_a_size_beyond_the_measured_ones_uses_the_fit_and_shows_its_arithmetic() -> None:
    figure = worked_out(make_role(NEED), NEED, rows_by_key(LINEAR))
    assert figure.need == pytest.approx(26.0)
    assert figure.over == pytest.approx(26 / 37)
    assert figure.arithmetic.startswith("`a cpu`, rest: fit, beyond 2,000: ")
    assert figure.arithmetic.endswith(" + 0.01 x 2,600 = 26.0 ms/s")
    assert figure.passed is not None
    assert figure.passed * 2600 == pytest.approx(3700)
    assert where(figure) == "3,701 servers"  # at 3,700 servers the need equals the budget, 37 ms/s


def test_a_measured_size_uses_the_measured_cost() -> None:
    """At size 2,000 the cost measured is 50, more than a line fitted through all sizes gives."""
    row = make_slope("a cpu", (1.0, 3.0, 6.0, 10.0, 50.0))
    assert cost(row, 2000) == 50.0
    assert cost(row, 1500) == 30.0
    figure = worked_out(make_role(NEED), NEED, rows_by_key(row))
    assert figure.passed is not None
    assert 1000 < figure.passed * 2600 < 2000  # the budget, 37, lies between 10 and 50
    need = replace(NEED, terms=(Slope("a cpu", "rest", size=2000),))
    assert "50.0 measured; fit" in worked_out(make_role(need), need, rows_by_key(row)).arithmetic


def test_a_decreasing_fit_is_constant_beyond_the_measured_sizes() -> None:
    """Processor time per request, for example, decreases with the rate.

    Extrapolated without a limit it would keep decreasing and become negative.
    """
    row = make_slope("a cpu", (50.0, 40.0, 33.0, 30.0, 24.0))
    assert fit(row.sizes, row.values).rate < 0
    assert cost(row, 1e6) == pytest.approx(fit(row.sizes, row.values).at(2000))
    figure = worked_out(make_role(NEED), NEED, rows_by_key(row))
    assert "a fit that falls, held at 2,000" in figure.arithmetic


def test_a_sum_over_several_kinds_of_size_passes_its_budget_at_a_share_of_all() -> None:
    need = replace(
        NEED,
        terms=(
            Slope("a cpu", "rest"),
            Slope("b cpu", "rest", 2.0, "twice"),
            Given(1.0, "own", "code"),
        ),
    )
    tenants = make_slope("b cpu", tuple(size / 100_000 for size in SIZES), by="tenants")
    figure = worked_out(make_role(need), need, rows_by_key(LINEAR, tenants))
    assert figure.need == pytest.approx(26 + 2 * 4.3 + 1)
    assert figure.passed == pytest.approx(36 / (26 + 8.6), rel=0.01)
    assert where(figure) == "104% of the coming servers and tenants"
    assert figure.arithmetic.endswith("= 35.6 ms/s")


@pytest.mark.parametrize(
    ("rows", "message"),
    [((), "not measured"), ((make_slope("a cpu", (1.0,) * 5, by="moons"),), "by moons")],
)
def test_a_need_without_a_usable_slope_is_shown_as_not_measured(
    rows: tuple[Row, ...], message: str
) -> None:
    figure = worked_out(make_role(NEED), NEED, rows_by_key(*rows))
    assert (figure.need, figure.over, figure.passed) == (None, None, None)
    assert message in figure.arithmetic
    assert "| not measured |" in "\n".join(of_role([figure], "r"))
    assert "Not ranked, as not measured: Role: time." in "\n".join(ranked([figure]))


def test_guesses_and_rows_from_busy_machines_are_marked_and_not_ranked() -> None:
    guess = replace(NEED, what="guessed", terms=(Given(99.0, "who knows", "guess"),))
    busy = replace(NEED, what="busy", terms=(Slope("b cpu", "rest"),))
    rows = rows_by_key(LINEAR, make_slope("b cpu", (99.0,) * 5, note=f"BUSY machine, which {BUSY}"))
    found = [worked_out(make_role(need), need, rows) for need in (guess, busy)]
    assert [figure.over for figure in found] == [pytest.approx(99 / 37)] * 2
    assert [(over(figure), where(figure)) for figure in found] == [
        ("2.68", "at any size"),
        ("-", "-"),
    ]
    assert ranking(found) == []
    assert "(guess)" in "\n".join(of_role(found, "r"))
    assert "From a busy machine, which counts for nothing: Role: busy." in "\n".join(ranked(found))


def test_a_row_of_an_older_text_counts_only_without_one_of_the_current_text() -> None:
    before = make_slope("a cpu", tuple(1.0 * size for size in SIZES), side="before")
    figure = worked_out(make_role(NEED), NEED, rows_by_key(before))
    assert figure.need == pytest.approx(2600)
    assert "(text before)" in figure.arithmetic
    both = rows_by_key(before, LINEAR)
    assert worked_out(make_role(NEED), NEED, both).need == pytest.approx(26.0)


def test_exceeded_budgets_are_ranked() -> None:
    """The need that exceeds its budget at the smallest share of the planned size is first.

    At equal shares, the need that exceeds its budget the most is first.

    Needs that nothing meets come first. Needs that are built but not in use, that are within their
    budget, or that have none are left out.
    """
    steep = make_slope("b cpu", tuple(0.1 * size for size in SIZES))
    needs = (
        NEED,
        replace(NEED, what="steep", terms=(Slope("b cpu", "rest"),)),
        replace(NEED, what="none", terms=(), nothing=True),
        replace(NEED, what="built", terms=(Slope("b cpu", "rest"),), when="built"),
        replace(NEED, what="free", terms=(Slope("b cpu", "rest"),), budget=None),
        replace(
            NEED, what="close", terms=(Slope("b cpu", "rest"),), budget=Budget(30.0, "ms/s", "30")
        ),
    )
    found = [worked_out(make_role(*needs), need, rows_by_key(LINEAR, steep)) for need in needs]
    assert [figure.row.what for figure in ranking(found)] == ["none", "close", "steep"]
    assert over(found[2]) == "nothing"
    assert where(found[2]) == "0: nothing carries it"


def test_the_share_at_which_a_budget_is_exceeded_is_found_for_any_shape_of_cost() -> None:
    assert passed_at(lambda part: 10 * part, 5.0) == pytest.approx(0.5)
    assert passed_at(lambda part: 10.0, 5.0) == pytest.approx(module.PART_LEAST)
    assert passed_at(lambda part: 1.0, 5.0) is None
    assert passed_at(lambda part: 4.0 * part, 5.0) == pytest.approx(1.25)
    # A cost that exceeds the budget only at small sizes is within it at the planned size.
    assert passed_at(lambda part: 1 / part, 5.0) is None
    assert passed_at(lambda part: abs(part - 0.5) * 20, 5.0) == pytest.approx(0.75)


@pytest.mark.parametrize(
    ("page", "reason"),
    [
        ("<!-- table: a -->\n<!-- end -->\n", "lacks: b"),
        ("<!-- table: a -->\n", "no <!-- end -->"),
        ("<!-- table: a -->\n<!-- table: b -->\n<!-- end -->\n", "no <!-- end -->"),
        ("<!-- table: c -->\n<!-- end -->\n", "not known"),
        ("<!-- table: a -->\n<!-- end -->\n<!-- table: a -->\n<!-- end -->\n", "there twice"),
    ],
)
def test_a_page_with_broken_markers_is_rejected(page: str, reason: str) -> None:
    with pytest.raises(NoPage, match=reason):
        written(page, {"a": ["1"], "b": ["2"]})


def test_the_command_prints_writes_and_checks(tmp_path: Path) -> None:
    slopes, page = tmp_path / "rows", tmp_path / "page.md"
    append_row(make_slope("member cpu", tuple(0.01 * size for size in SIZES)), slopes)
    page.write_text(
        "# Words stay\n"
        + "".join(f"\n<!-- table: {name} -->\nold\n<!-- end -->\n" for name in tables({}))
    )
    options = ["--slopes", str(slopes), "--page", str(page)]
    printed = CliRunner().invoke(capacity, options)
    assert printed.exit_code == 0
    assert "0.01 x 2,600 = 26.0 ms/s" in printed.output
    failed = CliRunner().invoke(capacity, [*options, "--check"])
    assert failed.exit_code == 1
    assert "-old" in failed.output
    assert CliRunner().invoke(capacity, [*options, "--write"]).exit_code == 0
    assert page.read_text().startswith("# Words stay\n")
    assert "old" not in page.read_text().split()
    passed = CliRunner().invoke(capacity, [*options, "--check"])
    assert (passed.exit_code, passed.output) == (0, "")
    append_row(make_slope("member cpu", tuple(0.02 * size for size in SIZES)), slopes)
    changed = CliRunner().invoke(capacity, [*options, "--check"])
    assert changed.exit_code == 1
    assert "= 52.0 ms/s" in changed.output
    page.write_text("no tables")
    assert CliRunner().invoke(capacity, [*options, "--check"]).exit_code == 1


def test_the_newest_row_counts_whatever_its_position(tmp_path: Path) -> None:
    """A merge of two branches that both added rows may leave them in any order."""
    path = tmp_path / "rows"
    lines = [
        json.dumps(asdict(replace(LINEAR, at=f"2026-01-0{day}T00:00:00Z", text=f"{day}")))
        for day in (1, 3, 2)
    ]
    path.write_text("\n".join(lines) + "\n")
    assert latest(path)["a cpu", "rest", "now"].text == "3"


def test_all_needs_can_be_computed_without_any_slope() -> None:
    assert len(figures({})) == sum(len(role.needs) for role in module.ROLES)
    assert all(
        figure.need is None or isinstance(figure.need, float | int) for figure in figures({})
    )


def test_the_need_is_the_product_of_two_slopes() -> None:
    """An example is bytes written per second: the steps per second and the bytes of each grow."""
    need = replace(NEED, terms=(Slope("a cpu", "rest", times="b cpu"),))
    rows = rows_by_key(LINEAR, make_slope("b cpu", tuple(0.002 * size for size in SIZES)))
    figure = worked_out(make_role(need), need, rows)
    assert figure.need == pytest.approx(26 * 5.2)
    assert figure.passed == pytest.approx((37 / (26 * 5.2)) ** 0.5, rel=0.01)
    assert figure.arithmetic.endswith(" = 135")
    figure = worked_out(make_role(need), need, rows_by_key(LINEAR))
    assert "`b cpu`, rest: not measured" in figure.arithmetic


def test_a_poor_fit_is_marked_only_beyond_the_measured_sizes() -> None:
    scattered = make_slope("a cpu", (1.0, 9.0, 1.0, 9.0, 1.0))
    assert worked_out(make_role(NEED), NEED, rows_by_key(scattered)).words == (
        "beyond what was measured, by a poor fit",
    )
    inside = replace(NEED, terms=(Slope("a cpu", "rest", size=600),))
    assert worked_out(make_role(inside), inside, rows_by_key(scattered)).words == ()


def test_the_need_grows_with_a_factor_that_grows_with_the_size() -> None:
    """An example is one message per second of each server, each of a constant cost."""
    need = replace(NEED, terms=(Slope("a cpu", "rest", 2600.0, "a word each", grows=True),))
    figure = worked_out(make_role(need), need, rows_by_key(make_slope("a cpu", (0.1,) * 5)))
    assert figure.need == pytest.approx(260.0)
    assert figure.passed == pytest.approx(37 / 260, rel=0.01)
    assert where(figure) == "371 servers"  # 370 x 0.1 equals the budget, 37 ms/s
