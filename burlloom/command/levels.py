"""`burlloom levels ...`: shows service levels, explains a node's, replays signals and sets pins."""

import csv
import json
import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..time_units import NS_PER_SECOND
from .shared import load_operator_file, operator_option, read_state_file

if TYPE_CHECKING:
    from ..levels import LevelChange, LevelPlan, SignalBounds
    from ..operator import LevelsPart

PIN_DURATION_S = click.FloatRange(min=0.1, max=7 * 86_400)


@click.group()
def levels() -> None:
    """Levels of reduced service: show them, explain a node's, try a plan, pin and release."""


def load_levels_part(path: Path | None) -> "LevelsPart":
    """Returns the `levels` part of the operator's file, or the default without a file.

    Raises:
        click.UsageError: The file has no such part.
    """
    from ..operator import LevelsPart

    part = load_operator_file(path).levels if path is not None else LevelsPart()
    if part is None:
        raise click.UsageError(
            f"{path} has no `levels` part; without --operator the default plan is shown"
        )
    return part


def read_state(part: "LevelsPart") -> dict[str, Any]:
    """Returns what the server wrote to its state file."""
    return read_state_file(part.state_file, "levels.state_file", "its level")


def format_restrictions(plan: "LevelPlan", index: int) -> str:
    """Returns, as a text, what a level rejects or limits.

    Args:
        plan: All levels.
        index: Of the level in the plan.
    """
    from ..levels.plan import DROP_ALL_VALUES

    level = plan.levels[index]
    restrictions = []
    if level.dropped_values:
        restrictions.append(
            {
                DROP_ALL_VALUES: "all new requests",
                DROP_ALL_VALUES - 1: "all but the highest value",
            }.get(level.dropped_values, f"the lowest {level.dropped_values} of the values")
        )
    restrictions += [f"{name}" for name in level.dropped_classes]
    restrictions += [f"{name} except cached results" for name in level.cached_classes]
    restrictions += [f"the downstream calls of {name}" for name in level.classes_without_calls]
    if level.rejects_retries:
        restrictions.append("marked retries and duplicates of requests that may run again")
    if level.rejects_over_share:
        restrictions.append("requests of tenants over their share")
    if level.queue_share < 1:
        restrictions.append(f"{1 - level.queue_share:.0%} of the admission queue")
    if not level.allows_optional_work:
        restrictions.append("the node's optional work")
    return ", ".join(restrictions) or "nothing"


@levels.command()
@operator_option
@click.option(
    "--json", "as_json", is_flag=True, help="The node's state as it wrote it, one JSON object."
)
def show(operator: Path | None, as_json: bool) -> None:
    """Show what each level restricts and which signals enter and leave it.

    Also show the node's current level if it writes a state file.
    """
    from ..levels.plan import UNREACHABLE_BOUND

    part = load_levels_part(operator)
    plan = part.build_plan()
    state = (
        read_state(part) if part.state_file is not None and Path(part.state_file).exists() else None
    )
    if as_json:
        click.echo(json.dumps(read_state(part)))
        return
    for index, level in enumerate(plan.levels):
        marker = "*" if state is not None and state["level"] == level.name else " "
        click.echo(
            f"{marker} {index} {level.name:12} takes away {format_restrictions(plan, index)}"
        )
        for signal, bound in level.bounds.items():
            entry = "never alone" if bound.enter >= UNREACHABLE_BOUND else f"from {bound.enter:g}"
            click.echo(f"     {signal:8} entered {entry}, left at {bound.leave:g}")
    for signal, (enter, name) in plan.emergencies.items():
        click.echo(f"  ! {signal} from {enter:g}: at once to {name}")
    click.echo(
        f"  at most {part.hysteresis_policy().max_changes_per_minute} changes in any minute,"
        " whatever the signals do"
    )
    if state is not None:
        click.echo(format_status(state))


def format_status(state: dict[str, Any]) -> str:
    """Returns a line with the node's current level, from its state file."""
    time_at_level_s = (state["told_at"] - state["since"]) / NS_PER_SECOND
    trial = (
        f", {state['part']:.0%} of the callers served at the level above" if state["part"] else ""
    )
    age_s = (time.time_ns() - state["told_at"]) / NS_PER_SECOND
    return (
        f"at {state['level']} ({state['phase']}) for {time_at_level_s:.0f} s{trial};"
        f" {state['changes_last_minute']} changes in the last minute; written {age_s:.0f} s ago"
    )


@levels.command()
@operator_option
def explain(operator: Path | None) -> None:
    """Show why the node is at its level.

    Shows its last level change, and each signal against the bounds that keep the node there.
    """
    part = load_levels_part(operator)
    plan, state = part.build_plan(), read_state(part)
    click.echo(format_status(state))
    last = state["last"]
    if last is not None:
        cause = (
            "an operator's pin"
            if last["cause"] == "pin"
            else (
                "all signals at or under their exit bounds"
                if last["cause"] == "calm"
                else f"{last['cause']} {last['value']:.3f}, entered from {last['bound']:g}"
            )
        )
        click.echo(f"last step: {last['effect']} from {last['from']} to {last['to']}, by {cause}")
    if state["pin"] is not None:
        click.echo(
            f"pinned: {state['pin']['level']} ({state['pin']['reason'] or 'no reason given'})"
        )
    names = [level.name for level in plan.levels]
    if state["level"] not in names:
        raise click.UsageError(
            f"the node is at {state['level']!r}, which is not in this file; does the node use"
            " another one?"
        )
    index = names.index(state["level"])
    bounds: dict[str, SignalBounds] = {}
    for level in plan.levels[1 : index + 1]:
        bounds.update(level.bounds)
    for signal, bound in bounds.items():
        if signal not in state["measured"]:
            verdict, value = "not measured on this node, ignored", "-"
        elif signal not in state["values"]:
            verdict, value = "stale: keeps the node at this level", "-"
        else:
            number = state["values"][signal]
            value = f"{number:.3f}"
            verdict = (
                "allows the level above"
                if number <= bound.leave
                else f"keeps the node at this level: over {bound.leave:g}"
            )
        click.echo(f"  {signal:8} {value:>7}  {verdict}")
    if index and not state["part"]:
        click.echo(f"  minimum time at this level: {state['stay_ms'] / 1000:g} s")


@levels.command(name="try")
@click.argument("series", type=click.Path(dir_okay=False, exists=True, path_type=Path))
@operator_option
@click.option(
    "--chart",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Also draw the levels to this file, SVG or PNG by its ending.",
)
def try_(series: Path, operator: Path | None, chart: Path | None) -> None:
    """Show the levels that a recorded series of signals would have led to.

    SERIES is a CSV file, in order of time, with a column at_s (seconds) and a column for each
    signal. The result ignores feedback: other levels would have changed the responses to callers,
    and so the signals that followed.
    """
    from ..levels import SIGNAL_NAMES, DegradationController, SignalReadings

    part = load_levels_part(operator)
    plan = part.build_plan()
    rows = read_series(series, SIGNAL_NAMES)
    controller = DegradationController(
        plan,
        tuple(create_degradations(plan)),
        0,
        part.hysteresis_policy(),
        measured={name for _, row in rows for name in row},
    )
    changes: list[tuple[float, LevelChange]] = []
    points = [(rows[0][0], float(controller.status.level))]
    for at_s, row in rows:
        change = controller.tick(int(at_s * NS_PER_SECOND), SignalReadings.from_signals(row))
        if change is not None:
            changes.append((at_s, change))
        points.append((at_s, controller.status.level - controller.trial_share))
    for at_s, change in changes:
        if change.before != change.after:
            click.echo(
                f"{at_s:10.1f} s  {change.before} -> {change.after}"
                f"  by {change.cause} {change.value:.3f}"
            )
    change_times_s = [at_s for at_s, change in changes if change.before != change.after]
    max_per_minute = max(
        (sum(end_s - 60 < at_s <= end_s for at_s in change_times_s) for end_s in change_times_s),
        default=0,
    )
    click.echo(
        f"{len(change_times_s)} changes, at most {max_per_minute} in a minute; "
        + ", ".join(
            f"{name} {time_ns / NS_PER_SECOND:.0f} s"
            for name, time_ns in controller.time_at_level_ns.items()
            if time_ns
        )
    )
    if chart is not None:
        from ..lab.charts import draw_level_chart

        draw_level_chart(chart, [level.name for level in plan.levels], points, rows)
        click.echo(f"{chart}: drawn")


def create_degradations(plan: "LevelPlan") -> list[Any]:
    """Returns degradations that only have the names of the levels; the replay needs no more."""
    from ..admission.model import Degradation

    return [Degradation(level.name) for level in plan.levels]


def read_series(path: Path, names: tuple[str, ...]) -> list[tuple[float, dict[str, float]]]:
    """Returns the times in seconds and the signals of a CSV file.

    Prints the faults, each with its line, and exits with status 2 if there is any.

    Args:
        path: The file.
        names: Of the known signals.
    """
    faults: list[str] = []
    rows: list[tuple[float, dict[str, float]]] = []
    with open(path, newline="", encoding="utf-8") as source:
        reader = csv.DictReader(source)
        columns = reader.fieldnames or []
        if "at_s" not in columns:
            faults.append("line 1: there is no column at_s")
        faults += [
            f"line 1: {name!r} is no signal; known are {', '.join(names)}"
            for name in columns
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
            at_s = row.pop("at_s", -1.0)
            if rows and at_s <= rows[-1][0]:
                faults.append(
                    f"line {reader.line_num}, at_s: {at_s:g} is not after {rows[-1][0]:g}"
                )
            rows.append((at_s, row))
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
    type=PIN_DURATION_S,
    required=True,
    help="Duration in seconds; afterwards the signals decide again.",
)
@click.option("--reason", default="", help="Stored with the pin and logged.")
@click.option("--force", is_flag=True, help="Allow a level that rejects all requests.")
@operator_option
def pin(level: str, span: float, reason: str, force: bool, operator: Path | None) -> None:
    """Keep the node at LEVEL for a time.

    The server applies the pin within a second. An emergency may still lower the level further.
    """
    from ..levels.plan import DROP_ALL_VALUES

    part = load_levels_part(operator)
    plan = part.build_plan()
    if part.pin_file is None:
        raise click.UsageError("levels.pin_file is not set: the server reads no pins")
    levels_by_name = {definition.name: definition for definition in plan.levels}
    if level not in levels_by_name:
        raise click.BadParameter(f"{level!r} is none of {', '.join(levels_by_name)}")
    if levels_by_name[level].dropped_values == DROP_ALL_VALUES and not force:
        raise click.UsageError(f"{level} rejects all requests: say --force to confirm")
    until_ns = time.time_ns() + int(span * NS_PER_SECOND)
    replace_file(
        Path(part.pin_file), json.dumps({"level": level, "until": until_ns, "reason": reason})
    )
    click.echo(f"pinned to {level} for {span:g} s")


@levels.command()
@operator_option
def release(operator: Path | None) -> None:
    """Remove a pin before it expires; from then on the signals change the level again."""
    part = load_levels_part(operator)
    if part.pin_file is None:
        raise click.UsageError("levels.pin_file is not set: the server reads no pins")
    Path(part.pin_file).unlink(missing_ok=True)
    click.echo("released")


def replace_file(path: Path, text: str) -> None:
    """Replaces a file atomically: a reader sees either the old or the new content."""
    temporary = path.with_name(path.name + ".part")
    temporary.write_text(text + "\n", encoding="utf-8")
    os.replace(temporary, path)
