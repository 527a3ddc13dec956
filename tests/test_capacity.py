"""The tables of docs/CAPACITY.md: computed from the stored slopes, with exceeded budgets ranked."""

import json
from dataclasses import asdict, replace
from pathlib import Path

import pytest
from click.testing import CliRunner

from burlloom.command.lab import capacity
from burlloom.lab import capacity as module
from burlloom.lab.capacity import (
    BUSY_NOTE,
    CORE,
    Budget,
    Given,
    Need,
    PageError,
    Role,
    Slope,
    compute_figure,
    compute_figures,
    cost_of_row,
    find_passing_share,
    format_passing_size,
    format_ratio,
    make_tables,
    rank_figures,
    ranking_table,
    read_latest_rows,
    replace_tables,
    role_table,
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
    expected = replace_tables(page, make_tables(read_latest_rows()))
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
    figure = compute_figure(make_role(NEED), NEED, rows_by_key(LINEAR))
    assert figure.value == pytest.approx(26.0)
    assert figure.budget_ratio == pytest.approx(26 / 37)
    assert figure.arithmetic.startswith("`a cpu`, rest: fit, beyond 2,000: ")
    assert figure.arithmetic.endswith(" + 0.01 x 2,600 = 26.0 ms/s")
    assert figure.passing_share is not None
    assert figure.passing_share * 2600 == pytest.approx(3700)
    # At 3,700 servers the need equals the budget, 37 ms/s.
    assert format_passing_size(figure) == "3,701 servers"


def test_a_measured_size_uses_the_measured_cost() -> None:
    """At size 2,000 the cost measured is 50, more than a line fitted through all sizes gives."""
    row = make_slope("a cpu", (1.0, 3.0, 6.0, 10.0, 50.0))
    assert cost_of_row(row, 2000) == 50.0
    assert cost_of_row(row, 1500) == 30.0
    figure = compute_figure(make_role(NEED), NEED, rows_by_key(row))
    assert figure.passing_share is not None
    assert 1000 < figure.passing_share * 2600 < 2000  # the budget, 37, lies between 10 and 50
    need = replace(NEED, terms=(Slope("a cpu", "rest", size=2000),))
    assert (
        "50.0 measured; fit" in compute_figure(make_role(need), need, rows_by_key(row)).arithmetic
    )


def test_a_decreasing_fit_is_constant_beyond_the_measured_sizes() -> None:
    """Processor time per request, for example, decreases with the rate.

    Extrapolated without a limit it would keep decreasing and become negative.
    """
    row = make_slope("a cpu", (50.0, 40.0, 33.0, 30.0, 24.0))
    assert fit(row.sizes, row.values).rate < 0
    assert cost_of_row(row, 1e6) == pytest.approx(fit(row.sizes, row.values).at(2000))
    figure = compute_figure(make_role(NEED), NEED, rows_by_key(row))
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
    figure = compute_figure(make_role(need), need, rows_by_key(LINEAR, tenants))
    assert figure.value == pytest.approx(26 + 2 * 4.3 + 1)
    assert figure.passing_share == pytest.approx(36 / (26 + 8.6), rel=0.01)
    assert format_passing_size(figure) == "104% of the coming servers and tenants"
    assert figure.arithmetic.endswith("= 35.6 ms/s")


@pytest.mark.parametrize(
    ("rows", "message"),
    [((), "not measured"), ((make_slope("a cpu", (1.0,) * 5, by="moons"),), "by moons")],
)
def test_a_need_without_a_usable_slope_is_shown_as_not_measured(
    rows: tuple[Row, ...], message: str
) -> None:
    figure = compute_figure(make_role(NEED), NEED, rows_by_key(*rows))
    assert (figure.value, figure.budget_ratio, figure.passing_share) == (None, None, None)
    assert message in figure.arithmetic
    assert "| not measured |" in "\n".join(role_table([figure], "r"))
    assert "Not ranked, as not measured: Role: time." in "\n".join(ranking_table([figure]))


def test_guesses_and_rows_from_busy_machines_are_marked_and_not_ranked() -> None:
    guess = replace(NEED, title="guessed", terms=(Given(99.0, "who knows", "guess"),))
    busy = replace(NEED, title="busy", terms=(Slope("b cpu", "rest"),))
    rows = rows_by_key(
        LINEAR, make_slope("b cpu", (99.0,) * 5, note=f"BUSY machine, which {BUSY_NOTE}")
    )
    found = [compute_figure(make_role(need), need, rows) for need in (guess, busy)]
    assert [figure.budget_ratio for figure in found] == [pytest.approx(99 / 37)] * 2
    assert [(format_ratio(figure), format_passing_size(figure)) for figure in found] == [
        ("2.68", "at any size"),
        ("-", "-"),
    ]
    assert rank_figures(found) == []
    assert "(guess)" in "\n".join(role_table(found, "r"))
    assert "From a busy machine, which counts for nothing: Role: busy." in "\n".join(
        ranking_table(found)
    )


def test_a_row_of_an_older_text_counts_only_without_one_of_the_current_text() -> None:
    before = make_slope("a cpu", tuple(1.0 * size for size in SIZES), side="before")
    figure = compute_figure(make_role(NEED), NEED, rows_by_key(before))
    assert figure.value == pytest.approx(2600)
    assert "(text before)" in figure.arithmetic
    both = rows_by_key(before, LINEAR)
    assert compute_figure(make_role(NEED), NEED, both).value == pytest.approx(26.0)


def test_exceeded_budgets_are_ranked() -> None:
    """The need that exceeds its budget at the smallest share of the planned size is first.

    At equal shares, the need that exceeds its budget the most is first.

    Needs that nothing meets come first. Needs that are built but not in use, that are within their
    budget, or that have none are left out.
    """
    steep = make_slope("b cpu", tuple(0.1 * size for size in SIZES))
    needs = (
        NEED,
        replace(NEED, title="steep", terms=(Slope("b cpu", "rest"),)),
        replace(NEED, title="none", terms=(), has_no_mechanism=True),
        replace(NEED, title="built", terms=(Slope("b cpu", "rest"),), when="built"),
        replace(NEED, title="free", terms=(Slope("b cpu", "rest"),), budget=None),
        replace(
            NEED, title="close", terms=(Slope("b cpu", "rest"),), budget=Budget(30.0, "ms/s", "30")
        ),
    )
    found = [compute_figure(make_role(*needs), need, rows_by_key(LINEAR, steep)) for need in needs]
    assert [figure.need.title for figure in rank_figures(found)] == ["none", "close", "steep"]
    assert format_ratio(found[2]) == "nothing"
    assert format_passing_size(found[2]) == "0: nothing carries it"


def test_the_share_at_which_a_budget_is_exceeded_is_found_for_any_shape_of_cost() -> None:
    assert find_passing_share(lambda part: 10 * part, 5.0) == pytest.approx(0.5)
    assert find_passing_share(lambda part: 10.0, 5.0) == pytest.approx(module.MIN_SHARE)
    assert find_passing_share(lambda part: 1.0, 5.0) is None
    assert find_passing_share(lambda part: 4.0 * part, 5.0) == pytest.approx(1.25)
    # A cost that exceeds the budget only at small sizes is within it at the planned size.
    assert find_passing_share(lambda part: 1 / part, 5.0) is None
    assert find_passing_share(lambda part: abs(part - 0.5) * 20, 5.0) == pytest.approx(0.75)


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
    with pytest.raises(PageError, match=reason):
        replace_tables(page, {"a": ["1"], "b": ["2"]})


def test_the_command_prints_writes_and_checks(tmp_path: Path) -> None:
    slopes, page = tmp_path / "rows", tmp_path / "page.md"
    append_row(make_slope("member cpu", tuple(0.01 * size for size in SIZES)), slopes)
    page.write_text(
        "# Words stay\n"
        + "".join(f"\n<!-- table: {name} -->\nold\n<!-- end -->\n" for name in make_tables({}))
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
    assert read_latest_rows(path)["a cpu", "rest", "now"].text == "3"


def test_all_needs_can_be_computed_without_any_slope() -> None:
    assert len(compute_figures({})) == sum(len(role.needs) for role in module.ROLES)
    assert all(
        figure.value is None or isinstance(figure.value, float | int)
        for figure in compute_figures({})
    )


def test_the_need_is_the_product_of_two_slopes() -> None:
    """An example is bytes written per second: the steps per second and the bytes of each grow."""
    need = replace(NEED, terms=(Slope("a cpu", "rest", times_row="b cpu"),))
    rows = rows_by_key(LINEAR, make_slope("b cpu", tuple(0.002 * size for size in SIZES)))
    figure = compute_figure(make_role(need), need, rows)
    assert figure.value == pytest.approx(26 * 5.2)
    assert figure.passing_share == pytest.approx((37 / (26 * 5.2)) ** 0.5, rel=0.01)
    assert figure.arithmetic.endswith(" = 135")
    figure = compute_figure(make_role(need), need, rows_by_key(LINEAR))
    assert "`b cpu`, rest: not measured" in figure.arithmetic


def test_a_poor_fit_is_marked_only_beyond_the_measured_sizes() -> None:
    scattered = make_slope("a cpu", (1.0, 9.0, 1.0, 9.0, 1.0))
    assert compute_figure(make_role(NEED), NEED, rows_by_key(scattered)).remarks == (
        "beyond what was measured, by a poor fit",
    )
    inside = replace(NEED, terms=(Slope("a cpu", "rest", size=600),))
    assert compute_figure(make_role(inside), inside, rows_by_key(scattered)).remarks == ()


def test_the_need_grows_with_a_factor_that_grows_with_the_size() -> None:
    """An example is one message per second of each server, each of a constant cost."""
    need = replace(NEED, terms=(Slope("a cpu", "rest", 2600.0, "a word each", grows=True),))
    figure = compute_figure(make_role(need), need, rows_by_key(make_slope("a cpu", (0.1,) * 5)))
    assert figure.value == pytest.approx(260.0)
    assert figure.passing_share == pytest.approx(37 / 260, rel=0.01)
    assert format_passing_size(figure) == "371 servers"  # 370 x 0.1 equals the budget, 37 ms/s
