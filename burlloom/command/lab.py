"""`burlloom lab ...`: play worlds in simulated time, compare variants, report."""

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from ..lab.experiment import Experiment

ROOT = Path(__file__).parent.parent.parent


@click.group()
def lab() -> None:
    """Whole fleets in simulated time: the real server and decisions between emulated machines,
    callers and a catalogue.
    """


def experiment_of(path: Path) -> "Experiment":
    """An experiment, or a world alone; all faults at once, then status 2."""
    from ..lab.experiment import Experiment
    from ..operator import OperatorFileError
    from ..operator.load import evaluate_template, validate

    try:
        got = evaluate_template(path)
        if isinstance(got, dict) and "worlds" not in got:
            got = {"name": str(got.get("name", path.stem)), "worlds": [got]}
        return validate(Experiment, got, path)
    except OperatorFileError as faults:
        for line in faults.lines:
            click.echo(line, err=True)
        sys.exit(2)


@lab.command()
@click.argument("file", type=click.Path(dir_okay=False, exists=True, path_type=Path))
@click.option(
    "--results",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("lab.db"),
    show_default=True,
    help="The table of results, an SQLite file that only grows.",
)
@click.option(
    "--workers",
    type=click.IntRange(1, 256),
    default=max(1, (os.cpu_count() or 2) - 1),
    show_default=True,
)
def run(file: Path, results: Path, workers: int) -> None:
    """Play all that FILE asks for, side by side over the cores, and keep the results. Status 1 if a
    rule was broken.
    """
    from rich.console import Console
    from rich.progress import Progress

    from ..lab.experiment import ResultsTable, program_version, run_experiment

    told, table, text = experiment_of(file), ResultsTable(results), program_version(ROOT)
    broken = 0
    total = len(told.worlds) * len(told.variants) * len(told.seeds)
    with Progress(console=Console(stderr=True), transient=True) as progress:
        bar = progress.add_task(told.name, total=total)
        for result in run_experiment(told, workers):
            table.add(told.name, text, result)
            progress.advance(bar)
            figures = result["figures"]
            click.echo(
                f"{result['world']:24} {result['variant']:14} seed {result['seed']:<4} value {figures['value']:.3f}"
                f"  changes a minute {figures['changes a minute, most']:.0f}  {result['took']:.1f} s"
                + (
                    f"  RULES BROKEN: {len(result['faults'])}: {result['faults'][0]}"
                    if result["faults"]
                    else ""
                )
            )
            broken += bool(result["faults"])
    click.echo(f"{total} plays of text {text} kept in {results}; {broken} broke a rule")
    sys.exit(1 if broken else 0)


@lab.command()
@click.argument("name")
@click.option(
    "--results",
    type=click.Path(dir_okay=False, exists=True, path_type=Path),
    default=Path("lab.db"),
)
@click.option("--text", help="Of this text of the program; else of the newest that was played.")
@click.option("--base", help="The variant compared with; else the first.")
def compare(name: str, results: Path, text: str | None, base: str | None) -> None:
    """Each variant of the experiment NAME against its base: means, spread, paired differences with
    their 95%.
    """
    from ..lab.charts import markdown_table

    for world, what, pairs, _ in compared(name, results, text, base):
        click.echo(f"\n{world}: {what}\n\n{markdown_table(pairs)}")


@lab.command()
@click.argument("name")
@click.option(
    "--results",
    type=click.Path(dir_okay=False, exists=True, path_type=Path),
    default=Path("lab.db"),
)
@click.option("--text", help="Of this text of the program; else of the newest that was played.")
@click.option("--base", help="The variant compared with; else the first.")
@click.option(
    "--to",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("report"),
    show_default=True,
)
@click.option(
    "--format", "ending", type=click.Choice(["svg", "png"]), default="svg", show_default=True
)
def report(
    name: str, results: Path, text: str | None, base: str | None, to: Path, ending: str
) -> None:
    """A page with tables, and charts of load, answers by product and levels, of the experiment
    NAME.
    """
    from ..lab.charts import draw_run_chart, write_page

    to.mkdir(parents=True, exist_ok=True)
    parts = []
    for world, what, pairs, rows in compared(name, results, text, base):
        products = [
            one.figure.removeprefix("in time ")
            for one in pairs
            if one.figure.startswith("in time ")
        ]
        chart = to / f"{slug(world)}-{slug(what.split(' against ')[0])}.{ending}"
        draw_run_chart(chart, f"{world}, seed {rows[0]['seed']}", products, rows)
        parts.append((world, what, pairs, chart))
    write_page(to / "index.html", name, parts)
    click.echo(f"{to / 'index.html'}: {len(parts)} comparisons")


def compared(
    name: str, results: Path, text: str | None, base: str | None
) -> list[tuple[str, str, list, list]]:  # type: ignore[type-arg]
    """World, what is compared, the pairs, and the two plays of the first seed."""
    from ..lab.experiment import ResultsTable, paired_differences

    table = ResultsTable(results)
    rows = table.rows(name, text)
    if not rows:
        known = (
            ", ".join(f"{one} ({count} plays of {of})" for one, of, count in table.experiments())
            or "none"
        )
        raise click.UsageError(f"no plays of {name!r} in {results}; there are: {known}")
    variants = list(dict.fromkeys(row["variant"] for row in rows))
    base = base or ("none" if "none" in variants else variants[0])
    if base not in variants:
        raise click.UsageError(f"{base!r} was not played; there are {', '.join(variants)}")
    found = []
    for world in dict.fromkeys(row["world"] for row in rows):
        for other in variants:
            if other != base and (pairs := paired_differences(rows, world, base, other)):
                seed = min(row["seed"] for row in rows)
                shown = [
                    row
                    for row in rows
                    if row["world"] == world
                    and row["seed"] == seed
                    and row["variant"] in (base, other)
                ]
                found.append(
                    (
                        world,
                        f"{other} against {base}, {pairs[0].pairs} seeds",
                        pairs,
                        sorted(shown, key=lambda row: row["variant"] != base),
                    )
                )
    return found


def slug(text: str) -> str:
    return "".join(one if one.isalnum() else "-" for one in text.lower())


@lab.command()
@click.option(
    "--slopes",
    type=click.Path(dir_okay=False, exists=True, path_type=Path),
    help="Kept slopes; else the repository's.",
)
@click.option(
    "--page", type=click.Path(dir_okay=False, path_type=Path), default=ROOT / "docs" / "CAPACITY.md"
)
@click.option(
    "--write", "do", flag_value="write", help="Put the tables between the page's markers."
)
@click.option(
    "--check",
    "do",
    flag_value="check",
    help="Status 1, and the lines that differ, unless the page has these tables.",
)
def capacity(slopes: Path | None, page: Path, do: str | None) -> None:
    """What each role needs at the coming size, from kept slopes; what is missing first."""
    from difflib import unified_diff

    from ..lab.capacity import NoPage, latest, tables, written
    from ..lab.slopes import KEPT

    made = tables(latest(slopes or KEPT))
    if do is None:
        for name, lines in made.items():
            click.echo(f"\n## {name}\n\n" + "\n".join(lines))
        return
    told = page.read_text(encoding="utf-8")
    try:
        should = written(told, made)
    except NoPage as error:
        click.echo(f"{page.name}: {error}", err=True)
        sys.exit(1)
    if do == "write":
        page.write_text(should, encoding="utf-8")
    elif told != should:
        for line in unified_diff(
            told.splitlines(), should.splitlines(), page.name, "kept slopes", n=0, lineterm=""
        ):
            click.echo(line)
        sys.exit(1)
