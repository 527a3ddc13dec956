"""Charts and tables of results, for a page or a document; drawn without a display."""

from collections.abc import Sequence
from html import escape
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("agg")
matplotlib.rcParams["svg.hashsalt"] = "burlloom"  # makes the files of equal charts equal

from matplotlib import pyplot  # noqa: E402

from .experiment import PairedDifference  # noqa: E402

SVG_METADATA = {"Date": None}  # a date would make the files of equal charts differ


def save_figure(figure: Any, path: Path) -> None:
    """Writes a figure to a file of the format that the suffix names, and closes it."""
    figure.tight_layout()
    figure.savefig(path, metadata=SVG_METADATA if path.suffix == ".svg" else None)
    pyplot.close(figure)


def draw_level_chart(
    path: Path,
    names: Sequence[str],
    points: Sequence[tuple[float, float]],
    rows: Sequence[tuple[float, dict[str, float]]],
) -> None:
    """Draws signals over time, and the levels to which they lead.

    Args:
        path: File that is written.
        names: Names of the levels.
        points: Time in s and index of the level at each change.
        rows: Time in s and values by signal of each sample.
    """
    figure, (signal_axes, level_axes) = pyplot.subplots(2, 1, figsize=(8, 4.5), sharex=True)
    for name in sorted({name for _, row in rows for name in row}):
        signal_axes.plot(
            [time_s for time_s, row in rows if name in row],
            [row[name] for _, row in rows if name in row],
            label=name,
            lw=1,
        )
    signal_axes.legend(fontsize=7, ncol=5)
    level_axes.step(
        [time_s for time_s, _ in points],
        [level for _, level in points],
        where="post",
        color="black",
        lw=1.2,
    )
    level_axes.set_yticks(range(len(names)), names)
    level_axes.invert_yaxis()
    level_axes.set_xlabel("s")
    save_figure(figure, path)


def draw_run_chart(
    path: Path, title: str, products: Sequence[str], rows: Sequence[dict[str, Any]]
) -> None:
    """Draws runs of one scenario with one seed, a column for each variant.

    From top to bottom: value per second, share completed in time by product, and mean level with
    pressure.

    Args:
        path: File that is written.
        title: Title of the chart.
        products: Names of the products, in the scenario's order.
        rows: Rows of the results table.
    """
    figure, axes = pyplot.subplots(
        3, len(rows), figsize=(4.6 * len(rows), 6), sharex=True, sharey="row", squeeze=False
    )
    for column, row in enumerate(rows):
        seconds, series = row["series"]["seconds"], row["series"]["rows"]
        asked = [sum(second["asked"]) for second in seconds]
        axes[0][column].plot(moving_average(asked), color="grey", label="asked")
        axes[0][column].plot(
            moving_average([sum(second["settled"]) for second in seconds]),
            color="black",
            label="settled in time",
        )
        axes[0][column].set_title(f"{row['variant']}", fontsize=9)
        for index, name in enumerate(products):
            share = [
                settled / max(1e-9, asked_value)
                for settled, asked_value in zip(
                    moving_average([second["settled"][index] for second in seconds]),
                    moving_average([second["asked"][index] for second in seconds]),
                )
            ]
            axes[1][column].plot(share, label=name, lw=1)
        axes[2][column].plot(
            [sample["at"] for sample in series],
            [sample.get("level", 0) for sample in series],
            color="black",
            lw=1,
        )
        axes[2][column].plot(
            [sample["at"] for sample in series],
            [sample.get("press", 0) for sample in series],
            color="grey",
            lw=1,
        )
        axes[2][column].set_xlabel("s")
        axes[2][column].set_xlim(0, len(seconds))
    for index, name in enumerate(
        ("value a second", "share in time", "mean level; pressure (grey)")
    ):
        axes[index][0].set_ylabel(name, fontsize=8)
        if index < 2:
            axes[index][0].legend(fontsize=7)
    figure.suptitle(title, fontsize=10)
    save_figure(figure, path)


def moving_average(values: Sequence[float], window: int = 3) -> list[float]:
    """Returns the mean of each value and the ones before it, `window` values in all."""
    return [
        sum(values[max(0, end - window + 1) : end + 1]) / min(window, end + 1)
        for end in range(len(values))
    ]


def markdown_table(pairs: Sequence[PairedDifference]) -> str:
    """Returns a Markdown table; a star marks differences that are significant at 95%."""
    lines = [
        "| figure | base | other | spread | difference | 95% |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for pair in pairs:
        lines.append(
            f"| {pair.figure} | {pair.base:.3f} | {pair.other:.3f} | {pair.spread:.3f} | {pair.difference:+.3f}"
            f"{'*' if pair.is_significant else ''} | {pair.low:+.3f} to {pair.high:+.3f} |"
        )
    return "\n".join(lines)


def write_page(
    path: Path,
    title: str,
    parts: Sequence[tuple[str, str, Sequence[PairedDifference], Path | None]],
) -> None:
    """Writes an HTML page with a chart and a table for each comparison.

    Args:
        path: File that is written.
        title: Title of the page.
        parts: Scenario, description, differences and chart of each comparison.
    """
    lines = [
        f"<!doctype html><meta charset=utf-8><title>{escape(title)}</title><style>body{{font:14px sans-serif;margin:2em}}"
        "table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right}td:first-child{text-align:left}"
        "tr.apart{font-weight:bold}</style>",
        f"<h1>{escape(title)}</h1>",
    ]
    for scenario, description, pairs, chart in parts:
        lines.append(f"<h2>{escape(scenario)}: {escape(description)}</h2>")
        if chart is not None:
            lines.append(f'<img src="{escape(chart.name)}">')
        lines.append("<table><tr><th>figure<th>base<th>other<th>spread<th>difference<th>95%</tr>")
        lines += [
            f"<tr{' class=apart' if pair.is_significant else ''}><td>{escape(pair.figure)}<td>{pair.base:.3f}"
            f"<td>{pair.other:.3f}<td>{pair.spread:.3f}<td>{pair.difference:+.3f}"
            f"<td>{pair.low:+.3f} to {pair.high:+.3f}</tr>"
            for pair in pairs
        ]
        lines.append("</table>")
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def draw_recovery_chart(
    path: Path, title: str, variants: dict[str, tuple[Sequence[float], Sequence[float]]], end_s: int
) -> None:
    """Draws the recovery of several variants after a mass restart.

    Args:
        path: File that is written.
        title: Label of the time axis.
        variants: By name, for each second: completed value relative to that before the restart, and
            the most downstream calls in progress relative to the quota.
        end_s: End of the time axis in s.
    """
    figure, (rate_axes, call_axes) = pyplot.subplots(2, 1, figsize=(8, 5), sharex=True)
    for name, (rates, peak_calls) in variants.items():
        rate_axes.plot(rates, label=name, lw=1.2)
        call_axes.plot(peak_calls, label=name, lw=1.2)
    rate_axes.axhline(0.95, color="grey", lw=0.6)
    call_axes.axhline(1.0, color="grey", lw=0.6)
    rate_axes.set_ylabel("settled, of before")
    call_axes.set_ylabel("most calls below, of the share")
    call_axes.set_xlabel(title)
    rate_axes.set_xlim(4, end_s)
    rate_axes.legend(fontsize=8)
    save_figure(figure, path)
