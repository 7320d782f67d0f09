"""HTML page of an experiment: its table, a chart of each measure over the varied settings, and service over
time.

The page needs no network. Lines differ by markers and line styles, so that charts are readable in black and
white."""

from __future__ import annotations

import html
import io
from pathlib import Path

from lilacwalk.experiments.config import Experiment
from lilacwalk.experiments.planner import Cell, Figure, PlannedRun
from lilacwalk.experiments.runner import interpreter, series

STYLE = (
    "<style>body{font:15px sans-serif;margin:2em;max-width:72em}table{border-collapse:collapse}"
    "td,th{padding:.25em .8em;text-align:right;border-bottom:1px solid #ccc}th:first-child,"
    "td:first-child{text-align:left}.no{font-weight:bold}</style>"
)
LINE_STYLES = ("-", "--", ":", "-.")
MARKERS = "osD^vP*X"
AXIS_LABELS = {
    "share": "weight completed in time, share of all",
    "worst": "the same in the worst 10 s",
    "wasted": "share of core time wasted",
    "tries": "attempts per request",
    "denied": "rejections, share of answers",
    "load": "offered load, multiple of capacity",
    "servers": "app servers",
    "late": "age of the list of servers, s",
}
CHARTED_MEASURES = ("share", "worst", "wasted", "tries")


def render_svg(draw) -> str:
    """Draws a chart and returns it as SVG for the page."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "lilacwalk"  # makes the SVG reproducible byte for byte
    figure, axes = pyplot.subplots(figsize=(8.0, 4.0))
    draw(axes)
    figure.tight_layout()
    data = io.StringIO()
    figure.savefig(data, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    text = data.getvalue()
    return text[text.index("<svg") :]


def chart_by_first_setting(
    experiment: Experiment, results: dict[Cell, dict[str, Figure]], measure: str
) -> str:
    """Chart of a measure over the first varied setting, with a line for each combination of the others."""
    first = experiment.vary[0]
    is_numeric = all(value.replace(".", "", 1).isdecimal() for value in first.values)

    def draw(axes) -> None:
        lines: dict[tuple, list[tuple]] = {}
        for cell, figures in results.items():
            values = dict(cell.values)
            value = values.pop(first.what)
            position = float(value) if is_numeric else first.values.index(value)
            lines.setdefault(tuple(values.items()), []).append((position, figures[measure]))
        for index, (settings, points) in enumerate(lines.items()):
            points.sort(key=lambda each: each[0])
            positions = [position for position, _ in points]
            means = [figure.mean for _, figure in points]
            error_bars = [
                [figure.mean - figure.low for _, figure in points],
                [figure.high - figure.mean for _, figure in points],
            ]
            axes.errorbar(
                positions,
                means,
                error_bars,
                marker=MARKERS[index % len(MARKERS)],
                capsize=3,
                linestyle=LINE_STYLES[index % len(LINE_STYLES)],
                color=str(min(0.6, 0.12 * index)),
                label=" ".join(f"{name} {value}" for name, value in settings) or measure,
            )
        if not is_numeric:
            axes.set_xticks(range(len(first.values)), first.values)
        axes.set_xlabel(AXIS_LABELS.get(first.what, first.what))
        axes.set_ylabel(AXIS_LABELS.get(measure, measure))
        axes.set_ylim(bottom=0)
        axes.legend(frameon=False, fontsize=8)
        axes.grid(alpha=0.3)

    return render_svg(draw)


def chart_over_time(
    experiment: Experiment, plays: list[PlannedRun], folder: Path, made_by: str
) -> str:
    """Chart of service in each second for the first seed: a line for each of the first cells, with faults
    marked."""
    first_plays = [each for each in plays if each.seed == 1][: len(MARKERS)]

    def draw(axes) -> None:
        for index, each in enumerate(first_plays):
            data = series(folder, each.digest, made_by)
            share = [
                benefit / wanted if wanted else 1.0
                for benefit, wanted in zip(data["benefit"], data["wanted"], strict=True)
            ]
            axes.plot(
                data["second"],
                share,
                linestyle=LINE_STYLES[index % len(LINE_STYLES)],
                linewidth=1.2,
                color=str(min(0.6, 0.12 * index)),
                marker=MARKERS[index],
                markevery=5,
                markersize=4,
                label=str(each.cell),
            )
        for fault in experiment.scenario.fault:
            axes.axvspan(fault.at / 10_000, (fault.at + fault.time) / 10_000, color="0.9", zorder=0)
            axes.text(fault.at / 10_000, 1.02, fault.kind, fontsize=8)
        axes.set_xlabel("second in which the request was created")
        axes.set_ylabel("weight completed in time, share of all")
        axes.set_ylim(0, 1.08)
        axes.legend(frameon=False, fontsize=8)

    return render_svg(draw)


def page(
    title: str,
    experiment: Experiment,
    plays: list[PlannedRun],
    results: dict[Cell, dict[str, Figure]],
    unmet: list[str],
    folder: Path,
    made_by: str,
) -> str:
    names = sorted({name for figures in results.values() for name in figures})
    parts = [
        "<!doctype html><meta charset=utf-8>",
        f"<title>{html.escape(title)}</title>",
        STYLE,
        f"<h1>{html.escape(title)}</h1><p>{html.escape(experiment.question)}",
        f"<p>Simulated time, with the real controller. {experiment.seeds} seeds per cell; means, and "
        f"95% confidence intervals by bootstrap. Program revision {made_by}, {html.escape(interpreter())}.",
    ]
    if unmet:
        parts.append(
            "<h2>Unmet expectations</h2><ul>"
            + "".join(f"<li class=no>{html.escape(each)}" for each in unmet)
            + "</ul>"
        )
    if experiment.vary:
        parts += [
            chart_by_first_setting(experiment, results, measure) for measure in CHARTED_MEASURES
        ]
    parts += [
        "<h2>Service over time, first seed</h2>",
        chart_over_time(experiment, plays, folder, made_by),
        "<h2>All measures</h2><table><tr><th>cell" + "".join(f"<th>{name}" for name in names),
    ]
    for cell, figures in results.items():
        parts.append(
            f"<tr><td>{html.escape(str(cell))}" + "".join(f"<td>{figures[name]}" for name in names)
        )
    return "\n".join([*parts, "</table>"])
