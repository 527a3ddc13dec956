"""`burlloom lab ...`: runs experiments in simulated time, compares variants and writes reports."""

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from ..lab.experiment import Experiment

REPOSITORY_ROOT = Path(__file__).parent.parent.parent


@click.group()
def lab() -> None:
    """Experiments with whole fleets in simulated time.

    The server's own code runs between emulated machines, callers and a downstream service.
    """


def load_experiment(path: Path) -> "Experiment":
    """Returns the experiment in a file; a file with a single world is an experiment of that world.

    Prints all faults of the file and exits with status 2 if there is any.
    """
    from ..lab.experiment import Experiment
    from ..operator import OperatorFileError
    from ..operator.load import evaluate_template, validate

    try:
        content = evaluate_template(path)
        if isinstance(content, dict) and "worlds" not in content:
            content = {"name": str(content.get("name", path.stem)), "worlds": [content]}
        return validate(Experiment, content, path)
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
    help="SQLite file that the results are added to.",
)
@click.option(
    "--workers",
    type=click.IntRange(1, 256),
    default=max(1, (os.cpu_count() or 2) - 1),
    show_default=True,
)
def run(file: Path, results: Path, workers: int) -> None:
    """Run the experiment in FILE on several cores and store the results.

    Exits with status 1 if a run broke a rule.
    """
    from rich.console import Console
    from rich.progress import Progress

    from ..lab.experiment import ResultsTable, program_version, run_experiment

    experiment, table, text = (
        load_experiment(file),
        ResultsTable(results),
        program_version(REPOSITORY_ROOT),
    )
    broken_count = 0
    total = len(experiment.worlds) * len(experiment.variants) * len(experiment.seeds)
    with Progress(console=Console(stderr=True), transient=True) as progress:
        bar = progress.add_task(experiment.name, total=total)
        for result in run_experiment(experiment, workers):
            table.add(experiment.name, text, result)
            progress.advance(bar)
            figures = result["figures"]
            click.echo(
                f"{result['world']:24} {result['variant']:14} seed {result['seed']:<4}"
                f" value {figures['value']:.3f}"
                f"  changes a minute {figures['changes a minute, most']:.0f}"
                f"  {result['took']:.1f} s"
                + (
                    f"  RULES BROKEN: {len(result['faults'])}: {result['faults'][0]}"
                    if result["faults"]
                    else ""
                )
            )
            broken_count += bool(result["faults"])
    click.echo(f"{total} plays of text {text} kept in {results}; {broken_count} broke a rule")
    sys.exit(1 if broken_count else 0)


@lab.command()
@click.argument("name")
@click.option(
    "--results",
    type=click.Path(dir_okay=False, exists=True, path_type=Path),
    default=Path("lab.db"),
)
@click.option("--text", help="Version of the program's text; by default the newest that was run.")
@click.option(
    "--base", help="The variant to compare with; by default 'none' if it was run, else the first."
)
def compare(name: str, results: Path, text: str | None, base: str | None) -> None:
    """Compare each variant of the experiment NAME with the base variant.

    Shows means, spread, and paired differences with 95% confidence intervals.
    """
    from ..lab.charts import markdown_table

    for world, title, pairs, _ in find_comparisons(name, results, text, base):
        click.echo(f"\n{world}: {title}\n\n{markdown_table(pairs)}")


@lab.command()
@click.argument("name")
@click.option(
    "--results",
    type=click.Path(dir_okay=False, exists=True, path_type=Path),
    default=Path("lab.db"),
)
@click.option("--text", help="Version of the program's text; by default the newest that was run.")
@click.option(
    "--base", help="The variant to compare with; by default 'none' if it was run, else the first."
)
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
    """Write a page with tables and charts of the experiment NAME.

    The charts show load, responses by request class, and levels.
    """
    from ..lab.charts import draw_run_chart, write_page

    to.mkdir(parents=True, exist_ok=True)
    parts = []
    for world, title, pairs, rows in find_comparisons(name, results, text, base):
        request_classes = [
            pair.figure.removeprefix("in time ")
            for pair in pairs
            if pair.figure.startswith("in time ")
        ]
        chart = (
            to / f"{make_file_name(world)}-{make_file_name(title.split(' against ')[0])}.{ending}"
        )
        draw_run_chart(chart, f"{world}, seed {rows[0]['seed']}", request_classes, rows)
        parts.append((world, title, pairs, chart))
    write_page(to / "index.html", name, parts)
    click.echo(f"{to / 'index.html'}: {len(parts)} comparisons")


def find_comparisons(
    name: str, results: Path, text: str | None, base: str | None
) -> list[tuple[str, str, list, list]]:  # type: ignore[type-arg]
    """Returns the comparisons of each variant with the base variant, in each world.

    Args:
        name: Name of the experiment.
        results: The SQLite file of results.
        text: Version of the program's text; None for the newest that was run.
        base: The variant to compare with; None for "none" if it was run, else the first.

    Returns:
        The world, a title, the paired figures, and the runs of both variants with the lowest seed,
        the base variant first.

    Raises:
        click.UsageError: There are no runs of the experiment or of the base variant.
    """
    from ..lab.experiment import ResultsTable, paired_differences

    table = ResultsTable(results)
    rows = table.rows(name, text)
    if not rows:
        known = (
            ", ".join(
                f"{experiment} ({count} plays of {version})"
                for experiment, version, count in table.experiments()
            )
            or "none"
        )
        raise click.UsageError(f"no plays of {name!r} in {results}; there are: {known}")
    variants = list(dict.fromkeys(row["variant"] for row in rows))
    base = base or ("none" if "none" in variants else variants[0])
    if base not in variants:
        raise click.UsageError(f"{base!r} was not played; there are {', '.join(variants)}")
    comparisons = []
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
                comparisons.append(
                    (
                        world,
                        f"{other} against {base}, {pairs[0].pairs} seeds",
                        pairs,
                        sorted(shown, key=lambda row: row["variant"] != base),
                    )
                )
    return comparisons


def make_file_name(text: str) -> str:
    """Returns the text in lower case, with "-" in place of all but letters and digits."""
    return "".join(character if character.isalnum() else "-" for character in text.lower())


@lab.command()
@click.option(
    "--slopes",
    type=click.Path(dir_okay=False, exists=True, path_type=Path),
    help="File of measured slopes; by default the repository's.",
)
@click.option(
    "--page",
    type=click.Path(dir_okay=False, path_type=Path),
    default=REPOSITORY_ROOT / "docs" / "CAPACITY.md",
)
@click.option(
    "--write", "do", flag_value="write", help="Write the tables between the page's markers."
)
@click.option(
    "--check",
    "do",
    flag_value="check",
    help="Print the lines that differ and exit with status 1 unless the page has these tables.",
)
def capacity(slopes: Path | None, page: Path, do: str | None) -> None:
    """Show what each role needs at the planned size, computed from measured slopes.

    The needs that exceed their budget come first.
    """
    from difflib import unified_diff

    from ..lab.capacity import PageError, make_tables, read_latest_rows, replace_tables
    from ..lab.slopes import SLOPES_FILE

    new_tables = make_tables(read_latest_rows(slopes or SLOPES_FILE))
    if do is None:
        for name, lines in new_tables.items():
            click.echo(f"\n## {name}\n\n" + "\n".join(lines))
        return
    current_text = page.read_text(encoding="utf-8")
    try:
        new_text = replace_tables(current_text, new_tables)
    except PageError as error:
        click.echo(f"{page.name}: {error}", err=True)
        sys.exit(1)
    if do == "write":
        page.write_text(new_text, encoding="utf-8")
    elif current_text != new_text:
        for line in unified_diff(
            current_text.splitlines(),
            new_text.splitlines(),
            page.name,
            "kept slopes",
            n=0,
            lineterm="",
        ):
            click.echo(line)
        sys.exit(1)
