"""Charts of plays, for a page or a document. Drawn without a screen."""

from collections.abc import Sequence
from html import escape
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("agg")
matplotlib.rcParams["svg.hashsalt"] = "burlloom"  # the same chart is the same file

from matplotlib import pyplot  # noqa: E402

from .experiment import Paired  # noqa: E402

META = {"Date": None}


def save(figure: Any, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, metadata=META if path.suffix == ".svg" else None)
    pyplot.close(figure)


def level_chart(
    path: Path,
    names: Sequence[str],
    points: Sequence[tuple[float, float]],
    rows: Sequence[tuple[float, dict[str, float]]],
) -> None:
    """A series of signals and the levels that it leads to."""
    figure, (above, below) = pyplot.subplots(2, 1, figsize=(8, 4.5), sharex=True)
    for name in sorted({name for _, row in rows for name in row}):
        above.plot(
            [at for at, row in rows if name in row],
            [row[name] for _, row in rows if name in row],
            label=name,
            lw=1,
        )
    above.legend(fontsize=7, ncol=5)
    below.step(
        [at for at, _ in points],
        [level for _, level in points],
        where="post",
        color="black",
        lw=1.2,
    )
    below.set_yticks(range(len(names)), names)
    below.invert_yaxis()
    below.set_xlabel("s")
    save(figure, path)


def play_chart(
    path: Path, title: str, products: Sequence[str], rows: Sequence[dict[str, Any]]
) -> None:
    """One world with one seed: what was asked, answers in time by product, and levels, a column for
    each variant.
    """
    figure, axes = pyplot.subplots(
        3, len(rows), figsize=(4.6 * len(rows), 6), sharex=True, sharey="row", squeeze=False
    )
    for column, row in enumerate(rows):
        seconds, series = row["series"]["seconds"], row["series"]["rows"]
        asked = [sum(second["asked"]) for second in seconds]
        axes[0][column].plot(smooth(asked), color="grey", label="asked")
        axes[0][column].plot(
            smooth([sum(second["settled"]) for second in seconds]),
            color="black",
            label="settled in time",
        )
        axes[0][column].set_title(f"{row['variant']}", fontsize=9)
        for at, name in enumerate(products):
            share = [
                settled / max(1e-9, wanted)
                for settled, wanted in zip(
                    smooth([second["settled"][at] for second in seconds]),
                    smooth([second["asked"][at] for second in seconds]),
                )
            ]
            axes[1][column].plot(share, label=name, lw=1)
        axes[2][column].plot(
            [one["at"] for one in series],
            [one.get("level", 0) for one in series],
            color="black",
            lw=1,
        )
        axes[2][column].plot(
            [one["at"] for one in series],
            [one.get("press", 0) for one in series],
            color="grey",
            lw=1,
        )
        axes[2][column].set_xlabel("s")
        axes[2][column].set_xlim(0, len(seconds))
    for at, name in enumerate(("value a second", "share in time", "mean level; pressure (grey)")):
        axes[at][0].set_ylabel(name, fontsize=8)
        if at < 2:
            axes[at][0].legend(fontsize=7)
    figure.suptitle(title, fontsize=10)
    save(figure, path)


def smooth(values: Sequence[float], over: int = 3) -> list[float]:
    return [
        sum(values[max(0, at - over + 1) : at + 1]) / min(over, at + 1) for at in range(len(values))
    ]


def table(pairs: Sequence[Paired]) -> str:
    """As Markdown; a star where the difference is told from none at 95%."""
    lines = [
        "| figure | base | other | spread | difference | 95% |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for one in pairs:
        lines.append(
            f"| {one.figure} | {one.base:.3f} | {one.other:.3f} | {one.spread:.3f} | {one.difference:+.3f}"
            f"{'*' if one.told_apart else ''} | {one.low:+.3f} to {one.high:+.3f} |"
        )
    return "\n".join(lines)


def page(
    path: Path, title: str, parts: Sequence[tuple[str, str, Sequence[Paired], Path | None]]
) -> None:
    """An HTML page: for each world and variant its table, with its chart beside it."""
    said = [
        f"<!doctype html><meta charset=utf-8><title>{escape(title)}</title><style>body{{font:14px sans-serif;margin:2em}}"
        "table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right}td:first-child{text-align:left}"
        "tr.apart{font-weight:bold}</style>",
        f"<h1>{escape(title)}</h1>",
    ]
    for world, what, pairs, chart in parts:
        said.append(f"<h2>{escape(world)}: {escape(what)}</h2>")
        if chart is not None:
            said.append(f'<img src="{escape(chart.name)}">')
        said.append("<table><tr><th>figure<th>base<th>other<th>spread<th>difference<th>95%</tr>")
        said += [
            f"<tr{' class=apart' if one.told_apart else ''}><td>{escape(one.figure)}<td>{one.base:.3f}"
            f"<td>{one.other:.3f}<td>{one.spread:.3f}<td>{one.difference:+.3f}"
            f"<td>{one.low:+.3f} to {one.high:+.3f}</tr>"
            for one in pairs
        ]
        said.append("</table>")
    path.write_text("\n".join(said) + "\n", encoding="utf-8")


def recovery_chart(
    path: Path, title: str, variants: dict[str, tuple[Sequence[float], Sequence[float]]], last: int
) -> None:
    """For each way of coming back, by second: what is settled as a part of before, and the most
    calls below as a part of the share. Up to `last` s.
    """
    figure, (above, under) = pyplot.subplots(2, 1, figsize=(8, 5), sharex=True)
    for name, (rate, most) in variants.items():
        above.plot(rate, label=name, lw=1.2)
        under.plot(most, label=name, lw=1.2)
    above.axhline(0.95, color="grey", lw=0.6)
    under.axhline(1.0, color="grey", lw=0.6)
    above.set_ylabel("settled, of before")
    under.set_ylabel("most calls below, of the share")
    under.set_xlabel(title)
    above.set_xlim(4, last)
    above.legend(fontsize=8)
    save(figure, path)
