"""The small forms of benchmarks/scale_request.py: whole rows, every request accounted for, and the
stand-ins' own time taken off. Nothing here asserts how long anything takes by the wall.
"""

from pathlib import Path

import pytest
import rig  # noqa: F401  (finds benchmarks/)
import uvloop
from click.testing import CliRunner
from scale import scale
from scale_request import CALM, least_p99, played, windows
from traffic import Load, Sent, summarize

from burlloom.lab.slopes import newest_rows, read_rows
from burlloom.time_units import NS_PER_SECOND


def run(place: Path, *words: str) -> str:
    done = CliRunner().invoke(scale, [*words, "--to", str(place)])
    assert done.exit_code == 0, (done.output, done.exception)
    return done.output


@pytest.mark.parametrize(("more", "kind"), [((), ""), (("--calls",), " with calls")])
def test_rows_of_requests(tmp_path: Path, more: tuple[str, ...], kind: str) -> None:
    place = tmp_path / "rows"
    said = run(place, "request", "--rates", "20,40,60,80,100", "--seconds", "0.4", *more)
    found = newest_rows(read_rows(place))
    assert {name for name, _, _ in found} == {
        f"request {what}{kind}" for what in ("cpu", "p50 added", "p99 added", "p99 added least")
    }
    assert all(
        row.by == "requests a second" and row.sizes == (20, 40, 60, 80, 100)
        for row in found.values()
    )
    assert min(found[f"request p99 added{kind}", "churn", "now"].values) > 0
    assert "3.4 ms added" in said


def test_the_harness_alone(tmp_path: Path) -> None:
    run(tmp_path / "rows", "request", "--harness", "--rates", "20,40,60,80,100", "--seconds", "0.4")
    (row,) = read_rows(tmp_path / "rows")
    assert row.name == "request p99 harness"


def test_every_request_is_accounted_for_and_had_its_run_and_call() -> None:
    play = uvloop.run(played(Load(100, 0.8, warm=0.2, work=0.05, call=0.05)))
    assert len(play.sent) > 50
    assert {one.how for one in play.sent} == {"settled"}
    assert len({one.id for one in play.sent}) == len(play.sent)
    # 100 ms, in ns; the loop's timers may be early by the length of a turn, and what they took is
    # what counts
    assert all(play.own[one.id] >= 75_000_000 for one in play.sent), min(play.own.values())
    assert all(one.intended <= one.sent <= one.answered for one in play.sent)
    assert play.cpu > 0


def test_a_change_is_made_while_requests_come(tmp_path: Path) -> None:
    run(
        tmp_path / "rows",
        "during",
        "reload",
        "--sizes",
        "10,20,30,40,50",
        "--rate",
        "50",
        "--times",
        "1",
        "--gap",
        "1.5",
    )
    found = newest_rows(read_rows(tmp_path / "rows"))
    assert {name for name, _, _ in found} == {
        f"request {what} {where} a reload"
        for where in ("in", "beside")
        for what in ("p99 added", "longest")
    }


def test_what_the_stand_ins_had_is_taken_off_and_others_are_counted() -> None:
    ms = 1_000_000
    sent = [
        Sent("a", 0, 1 * ms, 12 * ms, "settled"),
        Sent("b", 0, 0, 40 * ms, "Backoff"),
        Sent("c", NS_PER_SECOND, NS_PER_SECOND, NS_PER_SECOND, "lost"),
    ]
    told = summarize(sent, {"a": 10 * ms}, until=NS_PER_SECOND)
    assert (told.count, told.how, told.longest) == (2, {"settled": 1, "Backoff": 1}, 40.0)
    assert told.p50 == told.p99 == pytest.approx(2.0, rel=0.01)
    assert told.whole_p99 == pytest.approx(12.0, rel=0.01)
    assert told.late_p99 == pytest.approx(1.0, rel=0.01)
    assert windows(type("Play", (), {"sent": sent, "own": {}})(), [NS_PER_SECOND]).how == {
        "lost": 1
    }


def test_a_member_rejoins_while_requests_come(tmp_path: Path) -> None:
    run(
        tmp_path / "rows",
        "during",
        "rejoin",
        "--sizes",
        "2,3,4,5,6",
        "--rate",
        "30",
        "--times",
        "1",
        "--gap",
        "1.5",
    )
    found = newest_rows(read_rows(tmp_path / "rows"))
    assert all(row.by == "members" and "hollow" in row.note for row in found.values())


@pytest.mark.parametrize(("more", "who"), [((), "while it deals"), (("--plain",), "as a member")])
def test_a_member_deals_or_another_does(tmp_path: Path, more: tuple[str, ...], who: str) -> None:
    """Each play begins only once all agree who is there and whether it is this server that
    deals.
    """
    run(
        tmp_path / "rows", "deal", "--sizes", "2,3,4,5,6", "--rate", "30", "--seconds", "0.3", *more
    )
    assert {name for name, _, _ in newest_rows(read_rows(tmp_path / "rows"))} == {
        f"request p99 added {who}",
        f"request longest {who}",
        f"request idle cpu {who}",
    }


def test_a_server_leads_a_release_while_requests_come(tmp_path: Path) -> None:
    """The play begins once all stand in its book and a release is under way, and ends before that
    does.
    """
    run(tmp_path / "rows", "lead", "--sizes", "4,5,6,7,8", "--rate", "30", "--seconds", "0.3")
    found = newest_rows(read_rows(tmp_path / "rows"))
    assert {name for name, _, _ in found} == {
        f"request {what} while it leads a release" for what in ("p99 added", "longest", "idle cpu")
    }
    assert all(row.by == "servers" for row in found.values())


def test_the_calmest_span_is_told_and_a_rest_of_one_is_none() -> None:
    ms = 1_000_000
    sent = [
        Sent("", at * CALM + n, at * CALM + n, at * CALM + n + took * ms, "settled")
        for at, took, count in ((0, 9, 100), (1, 4, 100), (2, 6, 100), (3, 1, 3))
        for n in range(count)
    ]
    assert least_p99(type("Play", (), {"sent": sent, "own": {}, "begin": 0})()) == pytest.approx(
        4.0, rel=0.01
    )
