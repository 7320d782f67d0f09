"""HTML page of an experiment: its table, charts over the first varied setting, and one over time.

The page loads nothing from the network. Lines differ in markers and line styles, so that the charts
are readable in black and white."""

from __future__ import annotations

import html
import io
from pathlib import Path

from lilacwalk.experiments.config import Experiment
from lilacwalk.experiments.planner import Cell, Estimate, PlannedRun
from lilacwalk.experiments.runner import describe_interpreter, load_series

STYLE = (
    "<style>body{font:15px sans-serif;margin:2em;max-width:72em}table{border-collapse:collapse}"
    "td,th{padding:.25em .8em;text-align:right;border-bottom:1px solid #ccc}th:first-child,"
    "td:first-child{text-align:left}.no{font-weight:bold}</style>"
)
LINE_STYLES = ("-", "--", ":", "-.")
MARKERS = "osD^vP*X"
AXIS_LABELS = {
    "share": "share of weight completed in time",
    "worst": "share of weight completed in time, worst 10 s",
    "wasted": "share of core time wasted",
    "tries": "attempts per request",
    "denied": "rejections, share of answers",
    "load": "offered load, multiple of capacity",
    "servers": "app servers",
    "late": "age of the list of servers",
}
CHARTED_MEASURES = ("share", "worst", "wasted", "tries")


def render_svg(draw) -> str:
    """Returns a chart as an SVG element; `draw` is called with the matplotlib axes to draw on."""
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
    experiment: Experiment, results: dict[Cell, dict[str, Estimate]], measure: str
) -> str:
    """Returns the SVG chart of a measure over the first varied setting.

    The chart has one line for each combination of values of the other varied settings.
    """
    first = experiment.vary[0]
    is_numeric = all(value.replace(".", "", 1).isdecimal() for value in first.values)

    def draw(axes) -> None:
        lines: dict[tuple, list[tuple]] = {}
        for cell, estimates in results.items():
            values = dict(cell.values)
            value = values.pop(first.what)
            position = float(value) if is_numeric else first.values.index(value)
            lines.setdefault(tuple(values.items()), []).append((position, estimates[measure]))
        for index, (settings, points) in enumerate(lines.items()):
            points.sort(key=lambda point: point[0])
            positions = [position for position, _ in points]
            means = [estimate.mean for _, estimate in points]
            error_bars = [
                [estimate.mean - estimate.low for _, estimate in points],
                [estimate.high - estimate.mean for _, estimate in points],
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
    experiment: Experiment, planned_runs: list[PlannedRun], folder: Path, program_revision: str
) -> str:
    """Returns the SVG chart of the share of weight completed in time, by second, for seed 1.

    The chart has one line for each of the first cells, as many as there are MARKERS, and shows the
    time of each fault. The results of these runs must be stored in `folder`.
    """
    first_runs = [planned for planned in planned_runs if planned.seed == 1][: len(MARKERS)]

    def draw(axes) -> None:
        for index, planned in enumerate(first_runs):
            data = load_series(folder, planned.digest, program_revision)
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
                label=str(planned.cell),
            )
        for fault in experiment.scenario.fault:
            axes.axvspan(fault.at / 10_000, (fault.at + fault.time) / 10_000, color="0.9", zorder=0)
            axes.text(fault.at / 10_000, 1.02, fault.kind, fontsize=8)
        axes.set_xlabel("second in which the requests were created")
        axes.set_ylabel("share of weight completed in time")
        axes.set_ylim(0, 1.08)
        axes.legend(frameon=False, fontsize=8)

    return render_svg(draw)


def render_page(
    title: str,
    experiment: Experiment,
    planned_runs: list[PlannedRun],
    results: dict[Cell, dict[str, Estimate]],
    unmet: list[str],
    folder: Path,
    program_revision: str,
) -> str:
    """Returns the HTML page.

    Args:
        title: title of the page.
        experiment: the experiment.
        planned_runs: all planned runs; their results must be stored in `folder`.
        results: estimates by cell and measure.
        unmet: messages about expectations that are not met.
        folder: directory of the stored results.
        program_revision: revision of the program that simulated the runs.
    """
    names = sorted({name for estimates in results.values() for name in estimates})
    parts = [
        "<!doctype html><meta charset=utf-8>",
        f"<title>{html.escape(title)}</title>",
        STYLE,
        f"<h1>{html.escape(title)}</h1><p>{html.escape(experiment.question)}",
        f"<p>Simulated with the real controller, {experiment.seeds} seeds per cell. The table "
        "shows means with 95% confidence intervals by bootstrap. "
        f"Program revision {program_revision}, {html.escape(describe_interpreter())}.",
    ]
    if unmet:
        parts.append(
            "<h2>Unmet expectations</h2><ul>"
            + "".join(f"<li class=no>{html.escape(message)}" for message in unmet)
            + "</ul>"
        )
    if experiment.vary:
        parts += [
            chart_by_first_setting(experiment, results, measure) for measure in CHARTED_MEASURES
        ]
    parts += [
        "<h2>Share of weight completed in time, by second, for the first seed</h2>",
        chart_over_time(experiment, planned_runs, folder, program_revision),
        "<h2>All measures</h2><table><tr><th>cell" + "".join(f"<th>{name}" for name in names),
    ]
    for cell, estimates in results.items():
        parts.append(
            f"<tr><td>{html.escape(str(cell))}"
            + "".join(f"<td>{estimates[name]}" for name in names)
        )
    return "\n".join([*parts, "</table>"])
