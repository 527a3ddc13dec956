"""Experiments: worlds, seeds and variants played side by side over the cores; results kept in a
table that only grows.
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

from .emulator import Emulator, Outcome, Watch, play
from .variants import VARIANTS
from .world import Part, World

SCHEMA = """
CREATE TABLE IF NOT EXISTS plays (
  number INTEGER PRIMARY KEY, experiment TEXT NOT NULL, text TEXT NOT NULL, world TEXT NOT NULL, variant TEXT NOT NULL,
  seed INTEGER NOT NULL, figures TEXT NOT NULL, series TEXT NOT NULL, faults TEXT NOT NULL);
CREATE TRIGGER IF NOT EXISTS plays_stay BEFORE UPDATE ON plays BEGIN SELECT RAISE(ABORT, 'results only grow'); END;
CREATE TRIGGER IF NOT EXISTS plays_remain BEFORE DELETE ON plays BEGIN SELECT RAISE(ABORT, 'results only grow'); END;
"""
RESAMPLES = 4000


class Experiment(Part):
    """What is compared. Each world is played with each seed and each variant; the first variant is
    the one compared with.
    """

    name: str
    worlds: Annotated[tuple[World, ...], Field(min_length=1)]
    seeds: Annotated[tuple[int, ...], Field(min_length=1)] = (1, 2, 3)
    variants: Annotated[tuple[str, ...], Field(min_length=1)] = ("none", "levels")

    @model_validator(mode="after")
    def known(self) -> Self:
        wrong = [
            f"variants.{at}: {name!r} is none of {', '.join(VARIANTS)}"
            for at, name in enumerate(self.variants)
            if name not in VARIANTS
        ]
        names = [world.name for world in self.worlds]
        wrong += [
            f"worlds.{at}.name: {name!r} stands twice"
            for at, name in enumerate(names)
            if name in names[:at]
        ]
        if wrong:
            raise ValueError("; ".join(wrong))
        return self


@dataclass
class LevelWatch(Watch):
    """Looks at all nodes' levels once a second, and counts each node's changes over its lives."""

    changes: dict[str, list[int]] = field(default_factory=dict)  # by node, how many in each second
    totals: dict[tuple[str, int], int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.row = self.look

    def look(self, fleet: Emulator) -> dict[str, float]:
        levels, press = [], []
        for node in fleet.nodes:
            if node.server is None or node.server.requests.dispatcher is None:
                continue
            press.append(node.server.requests.dispatcher.controller.pressure)
            of = getattr(node.server.subsystems.levels, "controller", None)
            if of is None:
                continue
            levels.append(of.status.level - of.trial_share)
            total = (
                of.transition_counts["up"]
                + of.transition_counts["down"]
                + of.transition_counts["drop"]
            )
            before = self.totals.get((node.name, node.life), 0)
            self.totals[node.name, node.life] = total
            self.changes.setdefault(node.name, []).append(total - before)
        told = {"press": sum(press) / max(1, len(press))}
        if levels:
            told |= {"level": sum(levels) / len(levels), "level_most": max(levels)}
        return told

    def most_a_minute(self) -> int:
        """Of any node, in any minute of whole seconds."""
        return max(
            (sum(each[at : at + 60]) for each in self.changes.values() for at in range(len(each))),
            default=0,
        )

    def mean_a_minute(self) -> float:
        seconds = sum(map(len, self.changes.values()))
        return 60 * sum(map(sum, self.changes.values())) / seconds if seconds else 0.0


def one(world: World, variant: str, seed: int) -> tuple[Outcome, dict[str, float]]:
    """Plays it; its figures, for the table."""
    watch = LevelWatch()
    told = play(world.model_copy(update={"seed": seed}), leveling=VARIANTS[variant](), watch=watch)
    figures = {
        "value": told.share,
        **{f"in time {name}": told.share_of(name) for name in told.asked},
        **{f"p99 ms {name}": p99 for name, (_, p99) in told.latency_ms.items()},
        "changes a minute, most": float(watch.most_a_minute()),
        "changes a minute, mean": watch.mean_a_minute(),
        "tries a txn": told.count["tries"] / max(1, told.count["first tries"]),
        "faults": float(len(told.faults)),
        "first tries": float(told.count["first tries"]),
    }
    return told, figures


def task(world: World, variant: str, seed: int) -> dict[str, Any]:
    told, figures = one(world, variant, seed)
    return {
        "world": world.name,
        "variant": variant,
        "seed": seed,
        "figures": figures,
        "faults": told.faults,
        "series": {"rows": told.series, "seconds": [asdict(second) for second in told.seconds]},
        "took": told.took,
    }


def plays(experiment: Experiment, workers: int) -> Iterator[dict[str, Any]]:
    """Each play's result as it is done, in no order; the seeds and so the figures do not depend on
    the workers.
    """
    with ProcessPoolExecutor(workers) as pool:
        waiting = [
            pool.submit(task, world, variant, seed)
            for world in experiment.worlds
            for variant in experiment.variants
            for seed in experiment.seeds
        ]
        for done in as_completed(waiting):
            yield done.result()


class Table:
    """The results, in one SQLite file. Rows are added and never changed."""

    def __init__(self, path: Path) -> None:
        self.path = path
        with closing(sqlite3.connect(path)) as db:
            db.executescript(SCHEMA)

    def add(self, experiment: str, text: str, result: dict[str, Any]) -> None:
        with closing(sqlite3.connect(self.path)) as db, db:
            db.execute(
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
        """The newest play of each world, variant and seed; of one text of the program, or of the
        newest there is.
        """
        with closing(sqlite3.connect(self.path)) as db:
            if text is None:
                found = db.execute(
                    "SELECT text FROM plays WHERE experiment = ? ORDER BY number DESC LIMIT 1",
                    (experiment,),
                ).fetchone()
                text = found[0] if found else ""
            told = db.execute(
                "SELECT world, variant, seed, figures, series, faults FROM plays WHERE experiment = ?"
                " AND text = ? ORDER BY number",
                (experiment, text),
            ).fetchall()
        newest = {
            (world, variant, seed): (figures, series, faults)
            for world, variant, seed, figures, series, faults in told
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
        """Name, text and number of plays of each."""
        with closing(sqlite3.connect(self.path)) as db:
            return db.execute(
                "SELECT experiment, text, count(*) FROM plays GROUP BY 1, 2 ORDER BY max(number)"
            ).fetchall()


@dataclass(frozen=True, slots=True)
class Paired:
    """A figure of one variant against another's on the same worlds and seeds: means, and the
    difference with its 95%.
    """

    figure: str
    base: float
    other: float
    spread: float  # of the other, a standard deviation over seeds
    difference: float
    low: float
    high: float
    pairs: int

    @property
    def told_apart(self) -> bool:
        return self.low > 0 or self.high < 0


def paired(rows: list[dict[str, Any]], world: str, base: str, other: str) -> list[Paired]:
    """Differences of pairs, resampled (percentile bootstrap, seeded): no shape of theirs is
    assumed.
    """
    by = {(row["variant"], row["seed"]): row["figures"] for row in rows if row["world"] == world}
    seeds = sorted(
        {seed for variant, seed in by if variant == base}
        & {seed for variant, seed in by if variant == other}
    )
    found = []
    for name in by[base, seeds[0]] if seeds else ():
        before = np.array([by[base, seed][name] for seed in seeds])
        after = np.array([by[other, seed].get(name, np.nan) for seed in seeds])
        apart = after - before
        chance = np.random.default_rng(1)
        means = apart[chance.integers(len(seeds), size=(RESAMPLES, len(seeds)))].mean(axis=1)
        low, high = np.percentile(means, [2.5, 97.5])
        found.append(
            Paired(
                name,
                float(before.mean()),
                float(after.mean()),
                float(after.std(ddof=min(1, len(seeds) - 1))),
                float(apart.mean()),
                float(low),
                float(high),
                len(seeds),
            )
        )
    return found


def text_of_program(root: Path) -> str:
    """The commit that is played; with a mark where the tree differs from it."""

    def git(*words: str) -> str:
        return subprocess.run(
            ["git", *words], cwd=root, capture_output=True, text=True, check=False
        ).stdout.strip()

    return (git("rev-parse", "--short", "HEAD") or "unknown") + (
        "+" if git("status", "--porcelain", "--", "burlloom") else ""
    )
