"""`burlloom levels ...`: what the levels are, in which one a node is and why, what a recorded day
would have led to; pins.
"""

import csv
import json
import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .shared import operator_file, operator_option, state_told

if TYPE_CHECKING:
    from ..levels import LevelChange, LevelPlan, SignalBounds
    from ..operator import LevelsPart

SECOND = 1_000_000_000
FOR = click.FloatRange(min=0.1, max=7 * 86_400)


@click.group()
def levels() -> None:
    """Levels of reduced service: show them, explain a node's, try a plan on recorded signals, pin
    and release.
    """


def part_of(operator: Path | None) -> "LevelsPart":
    from ..operator import LevelsPart

    found = operator_file(operator).levels if operator is not None else LevelsPart()
    if found is None:
        raise click.UsageError(
            f"{operator} has no `levels` part; without --operator the shipped plan is shown"
        )
    return found


def state_of(part: "LevelsPart") -> dict[str, Any]:
    return state_told(part.state_file, "levels.state_file", "its level")


def takes_away(plan: "LevelPlan", at: int) -> str:
    from ..levels.plan import DROP_ALL_VALUES

    level = plan.levels[at]
    said = []
    if level.dropped_values:
        said.append(
            {
                DROP_ALL_VALUES: "all newcomers",
                DROP_ALL_VALUES - 1: "all but the highest value",
            }.get(level.dropped_values, f"the lowest {level.dropped_values} of the values")
        )
    said += [f"{name}" for name in level.dropped_classes]
    said += [f"{name} but for kept results" for name in level.cached_classes]
    said += [f"the calls of {name}" for name in level.classes_without_calls]
    if level.rejects_retries:
        said.append("marked retries and copies of what may run again")
    if level.rejects_over_share:
        said.append("tenants past their share")
    if level.queue_share < 1:
        said.append(f"{1 - level.queue_share:.0%} of the hold")
    if not level.allows_optional_work:
        said.append("the node's optional work")
    return ", ".join(said) or "nothing"


@levels.command()
@operator_option
@click.option(
    "--json", "as_json", is_flag=True, help="The node's state as it wrote it, one JSON object."
)
def show(operator: Path | None, as_json: bool) -> None:
    """What each level takes away and when it is entered and left; and where the node stands, if it
    tells.
    """
    from ..levels.plan import UNREACHABLE_BOUND

    part = part_of(operator)
    plan = part.build_plan()
    state = (
        state_of(part) if part.state_file is not None and Path(part.state_file).exists() else None
    )
    if as_json:
        click.echo(json.dumps(state_of(part)))
        return
    for at, level in enumerate(plan.levels):
        here = "*" if state is not None and state["level"] == level.name else " "
        click.echo(f"{here} {at} {level.name:12} takes away {takes_away(plan, at)}")
        for signal, bound in level.bounds.items():
            entered = "never alone" if bound.enter >= UNREACHABLE_BOUND else f"from {bound.enter:g}"
            click.echo(f"     {signal:8} entered {entered}, left at {bound.leave:g}")
    for signal, (enter, name) in plan.emergencies.items():
        click.echo(f"  ! {signal} from {enter:g}: at once to {name}")
    click.echo(
        f"  at most {part.hysteresis_policy().max_changes_per_minute} changes in any minute, whatever the signals do"
    )
    if state is not None:
        click.echo(told(state))


def told(state: dict[str, Any]) -> str:
    age = (state["told_at"] - state["since"]) / SECOND
    trial = (
        f", {state['part']:.0%} of the callers served at the level above" if state["part"] else ""
    )
    old = (time.time_ns() - state["told_at"]) / SECOND
    return (
        f"at {state['level']} ({state['phase']}) for {age:.0f} s{trial}; {state['changes_last_minute']} changes in the last"
        f" minute; told {old:.0f} s ago"
    )


@levels.command()
@operator_option
def explain(operator: Path | None) -> None:
    """Why the node stands where it stands: its last step, and each signal against the bounds that
    hold it there.
    """
    part = part_of(operator)
    plan, state = part.build_plan(), state_of(part)
    click.echo(told(state))
    last = state["last"]
    if last is not None:
        why = (
            "an operator's pin"
            if last["cause"] == "pin"
            else (
                "all signals at or under their exits"
                if last["cause"] == "calm"
                else f"{last['cause']} {last['value']:.3f}, entered from {last['bound']:g}"
            )
        )
        click.echo(f"last step: {last['effect']} from {last['from']} to {last['to']}, by {why}")
    if state["pin"] is not None:
        click.echo(
            f"pinned: {state['pin']['level']} ({state['pin']['reason'] or 'no reason given'})"
        )
    names = [level.name for level in plan.levels]
    if state["level"] not in names:
        raise click.UsageError(
            f"the node is at {state['level']!r}, which this file does not know: is it the node's own?"
        )
    at = names.index(state["level"])
    held: dict[str, SignalBounds] = {}
    for level in plan.levels[1 : at + 1]:
        held.update(level.bounds)
    for signal, bound in held.items():
        if signal not in state["measured"]:
            verdict, value = "not measured on this node: does not count", "-"
        elif signal not in state["values"]:
            verdict, value = "stale: holds it here", "-"
        else:
            number = state["values"][signal]
            value = f"{number:.3f}"
            verdict = (
                "speaks for the level above"
                if number <= bound.leave
                else f"holds it here: over {bound.leave:g}"
            )
        click.echo(f"  {signal:8} {value:>7}  {verdict}")
    if at and not state["part"]:
        click.echo(f"  its least stay is {state['stay_ms'] / 1000:g} s")


@levels.command(name="try")
@click.argument("series", type=click.Path(dir_okay=False, exists=True, path_type=Path))
@operator_option
@click.option(
    "--chart",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Draw it, as SVG or PNG by its ending.",
)
def try_(series: Path, operator: Path | None, chart: Path | None) -> None:
    """Which levels a recorded series of signals would have led to. SERIES is CSV: at_s and any of
    the signals, in order.

    The answers that callers would have had, and so the signals that would have followed, are not in
    it.
    """
    from ..levels import SIGNAL_NAMES, DegradationController, SignalReadings

    part = part_of(operator)
    plan = part.build_plan()
    rows = read_series(series, SIGNAL_NAMES)
    walker = DegradationController(
        plan,
        tuple(bare(plan)),
        0,
        part.hysteresis_policy(),
        measured={name for _, row in rows for name in row},
    )
    moves: list[tuple[float, LevelChange]] = []
    points = [(rows[0][0], float(walker.status.level))]
    for at, row in rows:
        moved = walker.tick(int(at * SECOND), SignalReadings.from_signals(row))
        if moved is not None:
            moves.append((at, moved))
        points.append((at, walker.status.level - walker.trial_share))
    for at, moved in moves:
        if moved.before != moved.after:
            click.echo(
                f"{at:10.1f} s  {moved.before} -> {moved.after}  by {moved.cause} {moved.value:.3f}"
            )
    changes = [at for at, moved in moves if moved.before != moved.after]
    most = max((sum(at - 60 < one <= at for one in changes) for at in changes), default=0)
    click.echo(
        f"{len(changes)} changes, at most {most} in a minute; "
        + ", ".join(
            f"{name} {spent / SECOND:.0f} s"
            for name, spent in walker.time_at_level_ns.items()
            if spent
        )
    )
    if chart is not None:
        from ..lab.charts import draw_level_chart

        draw_level_chart(chart, [level.name for level in plan.levels], points, rows)
        click.echo(f"{chart}: drawn")


def bare(plan: "LevelPlan") -> list[Any]:
    from ..admission.model import Degradation

    return [Degradation(level.name) for level in plan.levels]


def read_series(path: Path, names: tuple[str, ...]) -> list[tuple[float, dict[str, float]]]:
    """All faults at once, each with its line; then status 2."""
    faults: list[str] = []
    rows: list[tuple[float, dict[str, float]]] = []
    with open(path, newline="", encoding="utf-8") as source:
        reader = csv.DictReader(source)
        head = reader.fieldnames or []
        if "at_s" not in head:
            faults.append("line 1: there is no column at_s")
        faults += [
            f"line 1: {name!r} is no signal; known are {', '.join(names)}"
            for name in head
            if name != "at_s" and name not in names
        ]
        for line in reader if not faults else ():
            row: dict[str, float] = {}
            for name, text in line.items():
                try:
                    if text:
                        row[str(name)] = float(text)
                except ValueError:
                    faults.append(f"line {reader.line_num}, {name}: {text!r} is no number")
            at = row.pop("at_s", -1.0)
            if rows and at <= rows[-1][0]:
                faults.append(f"line {reader.line_num}, at_s: {at:g} is not after {rows[-1][0]:g}")
            rows.append((at, row))
    if not rows and not faults:
        faults.append("line 2: there is no row")
    for fault in faults[:50]:
        click.echo(f"burlloom: {path}: {fault}", err=True)
    if faults:
        sys.exit(2)
    return rows


@levels.command()
@click.argument("level")
@click.option(
    "--for-s",
    "span",
    type=FOR,
    required=True,
    help="How long, in seconds; then it works its own way again.",
)
@click.option("--reason", default="", help="Kept with it, and logged.")
@click.option("--force", is_flag=True, help="Also a level that forbids all service.")
@operator_option
def pin(level: str, span: float, reason: str, force: bool, operator: Path | None) -> None:
    """Hold the node on LEVEL, until then. The server takes it up within a second; an emergency may
    still go lower.
    """
    from ..levels.plan import DROP_ALL_VALUES

    part = part_of(operator)
    plan = part.build_plan()
    if part.pin_file is None:
        raise click.UsageError("levels.pin_file is not set: the server looks for pins nowhere")
    known = {one.name: one for one in plan.levels}
    if level not in known:
        raise click.BadParameter(f"{level!r} is none of {', '.join(known)}")
    if known[level].dropped_values == DROP_ALL_VALUES and not force:
        raise click.UsageError(f"{level} forbids all service: say --force if that is what you want")
    until = time.time_ns() + int(span * SECOND)
    replace(Path(part.pin_file), json.dumps({"level": level, "until": until, "reason": reason}))
    click.echo(f"pinned to {level} for {span:g} s")


@levels.command()
@operator_option
def release(operator: Path | None) -> None:
    """Take a pin away before its time; the node works its way from where it stands."""
    part = part_of(operator)
    if part.pin_file is None:
        raise click.UsageError("levels.pin_file is not set: there are no pins")
    Path(part.pin_file).unlink(missing_ok=True)
    click.echo("released")


def replace(path: Path, text: str) -> None:
    """A reader sees the old whole or the new whole."""
    fresh = path.with_name(path.name + ".part")
    fresh.write_text(text + "\n", encoding="utf-8")
    os.replace(fresh, path)
