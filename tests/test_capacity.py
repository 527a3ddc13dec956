"""The page of capacity: its tables are of the kept slopes, its sums hold, and what is missing is
ranked.
"""

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
from burlloom.lab.slopes import Row, fit, keep, newest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SIZES = (100.0, 300.0, 600.0, 1000.0, 2000.0)


def slope(
    name: str, values: tuple[float, ...], by: str = "servers", side: str = "now", note: str = ""
) -> Row:
    return Row(name, by, "ms/s", "rest", SIZES, values, "python x", note, side)


def by_key(*rows: Row) -> dict[tuple[str, str, str], Row]:
    return newest(rows)


def role_of(*needs: Need) -> Role:
    return Role("r", "Role", needs)


LINEAR = slope("a cpu", tuple(0.01 * size for size in SIZES))
NEED = Need("time", "ms/s", (Slope("a cpu", "rest"),), CORE, "m")


def test_the_page_has_the_tables_of_the_kept_slopes() -> None:
    """Renewed by `burlloom lab capacity --write`."""
    page = PAGE.read_text(encoding="utf-8")
    should = written(page, tables(latest()))
    differing = [
        (a, b) for a, b in zip(page.splitlines(), should.splitlines(), strict=False) if a != b
    ]
    assert not differing, differing[:3]
    assert page == should


def test_every_role_of_the_plan_has_its_section() -> None:
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


def test_a_figure_beyond_the_sizes_is_the_fits_and_its_sum_is_shown() -> None:
    one = worked_out(role_of(NEED), NEED, by_key(LINEAR))
    assert one.need == pytest.approx(26.0)
    assert one.over == pytest.approx(26 / 37)
    assert one.arithmetic.startswith("`a cpu`, rest: fit, beyond 2,000: ")
    assert one.arithmetic.endswith(" + 0.01 x 2,600 = 26.0 ms/s")
    assert one.passed is not None
    assert one.passed * 2600 == pytest.approx(3700)
    assert where(one) == "3,701 servers"  # 37 are no more than the budget


def test_a_measured_size_counts_as_measured() -> None:
    """Not the fit: 50 was measured at 2,000 where a line through all has less."""
    row = slope("a cpu", (1.0, 3.0, 6.0, 10.0, 50.0))
    assert cost(row, 2000) == 50.0
    assert cost(row, 1500) == 30.0
    one = worked_out(role_of(NEED), NEED, by_key(row))
    assert one.passed is not None
    assert 1000 < one.passed * 2600 < 2000  # 37 lies between 10 and 50
    need = replace(NEED, terms=(Slope("a cpu", "rest", size=2000),))
    assert "50.0 measured; fit" in worked_out(role_of(need), need, by_key(row)).arithmetic


def test_a_fit_that_falls_is_held_beyond_what_was_measured() -> None:
    """As processor time a request by rate: it comes to no less for ever, and never to less than
    nothing.
    """
    row = slope("a cpu", (50.0, 40.0, 33.0, 30.0, 24.0))
    assert fit(row.sizes, row.values).rate < 0
    assert cost(row, 1e6) == pytest.approx(fit(row.sizes, row.values).at(2000))
    one = worked_out(role_of(NEED), NEED, by_key(row))
    assert "a fit that falls, held at 2,000" in one.arithmetic


def test_sums_of_slopes_of_several_sizes_pass_at_a_part() -> None:
    need = replace(
        NEED,
        terms=(
            Slope("a cpu", "rest"),
            Slope("b cpu", "rest", 2.0, "twice"),
            Given(1.0, "own", "code"),
        ),
    )
    tenants = slope("b cpu", tuple(size / 100_000 for size in SIZES), by="tenants")
    one = worked_out(role_of(need), need, by_key(LINEAR, tenants))
    assert one.need == pytest.approx(26 + 2 * 4.3 + 1)
    assert one.passed == pytest.approx(36 / (26 + 8.6), rel=0.01)
    assert where(one) == "104% of the coming servers and tenants"
    assert one.arithmetic.endswith("= 35.6 ms/s")


@pytest.mark.parametrize(
    ("rows", "words"),
    [((), "not measured"), ((slope("a cpu", (1.0,) * 5, by="moons"),), "by moons")],
)
def test_what_was_not_measured_says_so(rows: tuple[Row, ...], words: str) -> None:
    one = worked_out(role_of(NEED), NEED, by_key(*rows))
    assert (one.need, one.over, one.passed) == (None, None, None)
    assert words in one.arithmetic
    assert "| not measured |" in "\n".join(of_role([one], "r"))
    assert "Not ranked, as not measured: Role: time." in "\n".join(ranked([one]))


def test_guesses_and_busy_machines_are_named_and_not_ranked() -> None:
    guess = replace(NEED, what="guessed", terms=(Given(99.0, "who knows", "guess"),))
    busy = replace(NEED, what="busy", terms=(Slope("b cpu", "rest"),))
    rows = by_key(LINEAR, slope("b cpu", (99.0,) * 5, note=f"BUSY machine, which {BUSY}"))
    found = [worked_out(role_of(need), need, rows) for need in (guess, busy)]
    assert [one.over for one in found] == [pytest.approx(99 / 37)] * 2
    assert [(over(one), where(one)) for one in found] == [("2.68", "at any size"), ("-", "-")]
    assert ranking(found) == []
    assert "(guess)" in "\n".join(of_role(found, "r"))
    assert "From a busy machine, which counts for nothing: Role: busy." in "\n".join(ranked(found))


def test_the_text_before_counts_only_where_there_is_none_of_now() -> None:
    before = slope("a cpu", tuple(1.0 * size for size in SIZES), side="before")
    one = worked_out(role_of(NEED), NEED, by_key(before))
    assert one.need == pytest.approx(2600)
    assert "(text before)" in one.arithmetic
    assert worked_out(role_of(NEED), NEED, by_key(before, LINEAR)).need == pytest.approx(26.0)


def test_what_is_missing_first_stands_first() -> None:
    """By the part of the size at which it is passed, then by how far it is over; what nothing
    carries before all; what is built but not run, within its budget, or without one is not there.
    """
    steep = slope("b cpu", tuple(0.1 * size for size in SIZES))
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
    found = [worked_out(role_of(*needs), need, by_key(LINEAR, steep)) for need in needs]
    assert [one.row.what for one in ranking(found)] == ["none", "close", "steep"]
    assert over(found[2]) == "nothing"
    assert where(found[2]) == "0: nothing carries it"


def test_the_passing_is_found_from_any_side() -> None:
    assert passed_at(lambda part: 10 * part, 5.0) == pytest.approx(0.5)
    assert passed_at(lambda part: 10.0, 5.0) == pytest.approx(module.PART_LEAST)
    assert passed_at(lambda part: 1.0, 5.0) is None
    assert passed_at(lambda part: 4.0 * part, 5.0) == pytest.approx(1.25)
    assert (
        passed_at(lambda part: 1 / part, 5.0) is None
    )  # dear where it is small, and no more at the whole
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
def test_a_page_with_broken_markers_is_refused(page: str, reason: str) -> None:
    with pytest.raises(NoPage, match=reason):
        written(page, {"a": ["1"], "b": ["2"]})


def test_the_command_prints_writes_and_checks(tmp_path: Path) -> None:
    slopes, page = tmp_path / "rows", tmp_path / "page.md"
    keep(slope("member cpu", tuple(0.01 * size for size in SIZES)), slopes)
    page.write_text(
        "# Words stay\n"
        + "".join(f"\n<!-- table: {name} -->\nold\n<!-- end -->\n" for name in tables({}))
    )
    where_ = ["--slopes", str(slopes), "--page", str(page)]
    shown = CliRunner().invoke(capacity, where_)
    assert shown.exit_code == 0
    assert "0.01 x 2,600 = 26.0 ms/s" in shown.output
    failed = CliRunner().invoke(capacity, [*where_, "--check"])
    assert failed.exit_code == 1
    assert "-old" in failed.output
    assert CliRunner().invoke(capacity, [*where_, "--write"]).exit_code == 0
    assert page.read_text().startswith("# Words stay\n")
    assert "old" not in page.read_text().split()
    good = CliRunner().invoke(capacity, [*where_, "--check"])
    assert (good.exit_code, good.output) == (0, "")
    keep(slope("member cpu", tuple(0.02 * size for size in SIZES)), slopes)
    changed = CliRunner().invoke(capacity, [*where_, "--check"])
    assert changed.exit_code == 1
    assert "= 52.0 ms/s" in changed.output
    page.write_text("no tables")
    assert CliRunner().invoke(capacity, [*where_, "--check"]).exit_code == 1


def test_the_row_kept_last_counts_wherever_it_stands(tmp_path: Path) -> None:
    """Branches that both add rows are joined by lines, in an order of the merge."""
    place = tmp_path / "rows"
    told = [
        json.dumps(asdict(replace(LINEAR, at=f"2026-01-0{day}T00:00:00Z", text=f"{day}")))
        for day in (1, 3, 2)
    ]
    place.write_text("\n".join(told) + "\n")
    assert latest(place)["a cpu", "rest", "now"].text == "3"


def test_all_rows_can_be_worked_out_without_any_slope() -> None:
    assert len(figures({})) == sum(len(role.needs) for role in module.ROLES)
    assert all(one.need is None or isinstance(one.need, float | int) for one in figures({}))


def test_a_product_of_two_slopes() -> None:
    """As bytes of the book at each step: both grow."""
    need = replace(NEED, terms=(Slope("a cpu", "rest", times="b cpu"),))
    rows = by_key(LINEAR, slope("b cpu", tuple(0.002 * size for size in SIZES)))
    one = worked_out(role_of(need), need, rows)
    assert one.need == pytest.approx(26 * 5.2)
    assert one.passed == pytest.approx((37 / (26 * 5.2)) ** 0.5, rel=0.01)
    assert one.arithmetic.endswith(" = 135")
    assert (
        "`b cpu`, rest: not measured" in worked_out(role_of(need), need, by_key(LINEAR)).arithmetic
    )


def test_a_poor_fit_is_named_where_it_is_all_there_is() -> None:
    wild = slope("a cpu", (1.0, 9.0, 1.0, 9.0, 1.0))
    assert worked_out(role_of(NEED), NEED, by_key(wild)).words == (
        "beyond what was measured, by a poor fit",
    )
    inside = replace(NEED, terms=(Slope("a cpu", "rest", size=600),))
    assert worked_out(role_of(inside), inside, by_key(wild)).words == ()


def test_a_factor_that_grows_with_the_size() -> None:
    """As a word a second of each server, each of a cost that does not grow."""
    need = replace(NEED, terms=(Slope("a cpu", "rest", 2600.0, "a word each", grows=True),))
    one = worked_out(role_of(need), need, by_key(slope("a cpu", (0.1,) * 5)))
    assert one.need == pytest.approx(260.0)
    assert one.passed == pytest.approx(37 / 260, rel=0.01)
    assert where(one) == "371 servers"  # 370 x 0.1 are no more than the budget
