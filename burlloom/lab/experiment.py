"""Experiments: runs scenarios with several seeds and variants in parallel, and stores the results.

The results are kept in an SQLite table to which rows are only added.
"""

import json
import sqlite3
import subprocess
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import closing
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated, Any, Self

import numpy as np
from pydantic import Field, model_validator

from .emulator import Emulator, Observer, Outcome, run_scenario
from .scenario import Scenario, ScenarioModel
from .variants import VARIANTS

SCHEMA = """
CREATE TABLE IF NOT EXISTS plays (
  number INTEGER PRIMARY KEY, experiment TEXT NOT NULL, text TEXT NOT NULL, world TEXT NOT NULL, variant TEXT NOT NULL,
  seed INTEGER NOT NULL, figures TEXT NOT NULL, series TEXT NOT NULL, faults TEXT NOT NULL);
CREATE TRIGGER IF NOT EXISTS plays_stay BEFORE UPDATE ON plays BEGIN SELECT RAISE(ABORT, 'results only grow'); END;
CREATE TRIGGER IF NOT EXISTS plays_remain BEFORE DELETE ON plays BEGIN SELECT RAISE(ABORT, 'results only grow'); END;
"""
BOOTSTRAP_RESAMPLES = 4000


class Experiment(ScenarioModel):
    """Scenarios, seeds and variants that are compared; the field names are keys of experiment files.

    Each scenario is run with each seed and each variant.

    Attributes:
        name: Name under which the results are stored.
        worlds: The scenarios; their names differ.
        seeds: Seeds that replace the scenarios' own.
        variants: Names of variants in `VARIANTS`; the first is the base of comparisons.
    """

    name: str
    worlds: Annotated[tuple[Scenario, ...], Field(min_length=1)]
    seeds: Annotated[tuple[int, ...], Field(min_length=1)] = (1, 2, 3)
    variants: Annotated[tuple[str, ...], Field(min_length=1)] = ("none", "levels")

    @model_validator(mode="after")
    def check_names(self) -> Self:
        """Rejects unknown variants and duplicate scenario names, all in one error."""
        errors = [
            f"variants.{index}: {name!r} is not one of {', '.join(VARIANTS)}"
            for index, name in enumerate(self.variants)
            if name not in VARIANTS
        ]
        names = [scenario.name for scenario in self.worlds]
        errors += [
            f"worlds.{index}.name: {name!r} occurs more than once"
            for index, name in enumerate(names)
            if name in names[:index]
        ]
        if errors:
            raise ValueError("; ".join(errors))
        return self


@dataclass
class LevelObserver(Observer):
    """Samples all nodes' levels once a second, and counts each node's level changes.

    Attributes:
        changes: By node name, the number of changes in each second.
        totals: By node name and incarnation, the number of changes so far.
    """

    changes: dict[str, list[int]] = field(default_factory=dict)
    totals: dict[tuple[str, int], int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Has the simulation call `sample_levels`."""
        self.sample = self.sample_levels

    def sample_levels(self, emulator: Emulator) -> dict[str, float]:
        """Returns mean pressure ("press"), and mean ("level") and highest level ("level_most")."""
        levels, pressures = [], []
        for node in emulator.nodes:
            if node.server is None or node.server.requests.dispatcher is None:
                continue
            pressures.append(node.server.requests.dispatcher.controller.pressure)
            controller = getattr(node.server.subsystems.levels, "controller", None)
            if controller is None:
                continue
            levels.append(controller.status.level - controller.trial_share)
            total = (
                controller.transition_counts["up"]
                + controller.transition_counts["down"]
                + controller.transition_counts["drop"]
            )
            previous_total = self.totals.get((node.name, node.incarnation), 0)
            self.totals[node.name, node.incarnation] = total
            self.changes.setdefault(node.name, []).append(total - previous_total)
        columns = {"press": sum(pressures) / max(1, len(pressures))}
        if levels:
            columns |= {"level": sum(levels) / len(levels), "level_most": max(levels)}
        return columns

    def max_changes_per_minute(self) -> int:
        """Returns the most changes of any node in any 60 consecutive samples."""
        return max(
            (
                sum(changes[start : start + 60])
                for changes in self.changes.values()
                for start in range(len(changes))
            ),
            default=0,
        )

    def mean_changes_per_minute(self) -> float:
        """Returns the mean number of changes per node and minute."""
        seconds = sum(map(len, self.changes.values()))
        return 60 * sum(map(sum, self.changes.values())) / seconds if seconds else 0.0


def run_variant(scenario: Scenario, variant: str, seed: int) -> tuple[Outcome, dict[str, float]]:
    """Runs a scenario with a variant and a seed; returns the outcome and the table's figures."""
    observer = LevelObserver()
    outcome = run_scenario(
        scenario.model_copy(update={"seed": seed}),
        make_levels=VARIANTS[variant](),
        observer=observer,
    )
    figures = {
        "value": outcome.value_share,
        **{f"in time {name}": outcome.value_share_of(name) for name in outcome.asked_value},
        **{f"p99 ms {name}": p99 for name, (_, p99) in outcome.latency_ms.items()},
        "changes a minute, most": float(observer.max_changes_per_minute()),
        "changes a minute, mean": observer.mean_changes_per_minute(),
        "tries a txn": outcome.counts["tries"] / max(1, outcome.counts["first tries"]),
        "faults": float(len(outcome.violations)),
        "first tries": float(outcome.counts["first tries"]),
    }
    return outcome, figures


def run_for_table(scenario: Scenario, variant: str, seed: int) -> dict[str, Any]:
    """Runs a scenario with a variant and a seed; returns the row of the table, with "took" in s."""
    outcome, figures = run_variant(scenario, variant, seed)
    return {
        "world": scenario.name,
        "variant": variant,
        "seed": seed,
        "figures": figures,
        "faults": outcome.violations,
        "series": {
            "rows": outcome.series,
            "seconds": [asdict(second) for second in outcome.seconds],
        },
        "took": outcome.elapsed_s,
    }


def run_experiment(experiment: Experiment, workers: int) -> Iterator[dict[str, Any]]:
    """Yields each run's row as it ends.

    The order varies; the figures do not depend on the number of worker processes.
    """
    with ProcessPoolExecutor(workers) as pool:
        futures = [
            pool.submit(run_for_table, scenario, variant, seed)
            for scenario in experiment.worlds
            for variant in experiment.variants
            for seed in experiment.seeds
        ]
        for future in as_completed(futures):
            yield future.result()


class ResultsTable:
    """The results, in one SQLite file; rows are added and never changed."""

    def __init__(self, path: Path) -> None:
        """Creates the file and its table where they do not exist."""
        self.path = path
        with closing(sqlite3.connect(path)) as connection:
            connection.executescript(SCHEMA)

    def add(self, experiment: str, text: str, result: dict[str, Any]) -> None:
        """Adds a run's row.

        Args:
            experiment: Name of the experiment.
            text: Version of the program, from `program_version`.
            result: The row, from `run_for_table`.
        """
        with closing(sqlite3.connect(self.path)) as connection, connection:
            connection.execute(
                "INSERT INTO plays (experiment, text, world, variant, seed, figures, series, faults)"
                " VALUES (?,?,?,?,?,?,?,?)",
                (
                    experiment,
                    text,
                    result["world"],
                    result["variant"],
                    result["seed"],
                    json.dumps(result["figures"]),
                    json.dumps(result["series"]),
                    json.dumps(result["faults"]),
                ),
            )

    def rows(self, experiment: str, text: str | None = None) -> list[dict[str, Any]]:
        """Returns the newest run of each scenario, variant and seed of an experiment.

        Args:
            experiment: Name of the experiment.
            text: Version of the program; None: the one of the newest run.
        """
        with closing(sqlite3.connect(self.path)) as connection:
            if text is None:
                newest_text = connection.execute(
                    "SELECT text FROM plays WHERE experiment = ? ORDER BY number DESC LIMIT 1",
                    (experiment,),
                ).fetchone()
                text = newest_text[0] if newest_text else ""
            stored = connection.execute(
                "SELECT world, variant, seed, figures, series, faults FROM plays WHERE experiment = ?"
                " AND text = ? ORDER BY number",
                (experiment, text),
            ).fetchall()
        newest = {
            (world, variant, seed): (figures, series, faults)
            for world, variant, seed, figures, series, faults in stored
        }
        return [
            {
                "world": world,
                "variant": variant,
                "seed": seed,
                "figures": json.loads(figures),
                "series": json.loads(series),
                "faults": json.loads(faults),
            }
            for (world, variant, seed), (figures, series, faults) in newest.items()
        ]

    def experiments(self) -> list[tuple[str, str, int]]:
        """Returns the name, the program version and the number of runs of each experiment."""
        with closing(sqlite3.connect(self.path)) as connection:
            return connection.execute(
                "SELECT experiment, text, count(*) FROM plays GROUP BY 1, 2 ORDER BY max(number)"
            ).fetchall()


@dataclass(frozen=True, slots=True)
class PairedDifference:
    """A figure of one variant compared with another's on the same scenario and seeds.

    Attributes:
        figure: Name of the figure.
        base: Mean of the base variant.
        other: Mean of the other variant.
        spread: Standard deviation of the other variant over the seeds.
        difference: Mean difference, other minus base.
        low: Lower bound of the difference's 95% confidence interval.
        high: Upper bound of the difference's 95% confidence interval.
        pairs: Number of seeds.
    """

    figure: str
    base: float
    other: float
    spread: float
    difference: float
    low: float
    high: float
    pairs: int

    @property
    def is_significant(self) -> bool:
        """Whether the confidence interval excludes 0."""
        return self.low > 0 or self.high < 0


def paired_differences(
    rows: list[dict[str, Any]], scenario: str, base: str, other: str
) -> list[PairedDifference]:
    """Returns the differences between two variants, one for each figure.

    The confidence interval is a percentile bootstrap over the seeds with a fixed seed of its own,
    which assumes no shape of the distribution.

    Args:
        rows: Rows of the table.
        scenario: Name of the scenario.
        base: Name of the base variant.
        other: Name of the other variant.
    """
    figures_by_run = {
        (row["variant"], row["seed"]): row["figures"] for row in rows if row["world"] == scenario
    }
    seeds = sorted(
        {seed for variant, seed in figures_by_run if variant == base}
        & {seed for variant, seed in figures_by_run if variant == other}
    )
    differences = []
    for name in figures_by_run[base, seeds[0]] if seeds else ():
        base_values = np.array([figures_by_run[base, seed][name] for seed in seeds])
        other_values = np.array([figures_by_run[other, seed].get(name, np.nan) for seed in seeds])
        difference = other_values - base_values
        random = np.random.default_rng(1)
        means = difference[
            random.integers(len(seeds), size=(BOOTSTRAP_RESAMPLES, len(seeds)))
        ].mean(axis=1)
        low, high = np.percentile(means, [2.5, 97.5])
        differences.append(
            PairedDifference(
                name,
                float(base_values.mean()),
                float(other_values.mean()),
                float(other_values.std(ddof=min(1, len(seeds) - 1))),
                float(difference.mean()),
                float(low),
                float(high),
                len(seeds),
            )
        )
    return differences


def program_version(root: Path) -> str:
    """Returns the short hash of the commit at `root`, with "+" if `burlloom` differs from it."""

    def git(*arguments: str) -> str:
        return subprocess.run(
            ["git", *arguments], cwd=root, capture_output=True, text=True, check=False
        ).stdout.strip()

    return (git("rev-parse", "--short", "HEAD") or "unknown") + (
        "+" if git("status", "--porcelain", "--", "burlloom") else ""
    )
