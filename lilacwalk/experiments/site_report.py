"""Writes reports of failover plans for the loss of sites: a Parquet table and an HTML page.

A plan is a dictionary that `failover.plan_report.describe_plan` returns."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path

STYLE = (
    "<style>body{font:15px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}"
    "td,th{padding:.25em .8em;text-align:left;border-bottom:1px solid #ccc}.no{color:#a00}</style>"
)
COLUMNS = ("loss", "kind", "name", "value")


def plan_rows(plans: list[dict]) -> list[tuple]:
    """Returns the table rows, with the values of COLUMNS.

    Each row has one value, so that plans with different sites fit into one table. The value of
    `more_cores` is -1 if no number of cores makes the plan sufficient.
    """
    table_rows = []
    for plan in plans:
        loss = "+".join(plan["lost"])
        table_rows.append((loss, "holds", "", float(plan["holds"])))
        table_rows.append(
            (
                loss,
                "more_cores",
                "",
                -1.0 if plan["more_cores"] is None else float(plan["more_cores"]),
            )
        )
        for kind in ("shares", "utilisation", "refused", "refused_of"):
            table_rows += [(loss, kind, name, value) for name, value in plan[kind].items()]
    return table_rows


def render_chart(plans: list[dict]) -> bytes:
    """Returns a bar chart of each site's utilisation after each loss, as PNG data."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = sorted({name for plan in plans for name in plan["utilisation"]})
    figure, axes = pyplot.subplots(
        figsize=(max(6.0, 1.1 * len(plans) * max(2, len(names)) / 2), 4.2)
    )
    width = 0.8 / max(1, len(names))
    for index, name in enumerate(names):
        positions = [loss + index * width for loss in range(len(plans))]
        axes.bar(
            positions, [plan["utilisation"].get(name, 0.0) for plan in plans], width, label=name
        )
    axes.axhline(1.0, color="black", linewidth=1)
    axes.set_xticks(
        [loss + 0.4 - width / 2 for loss in range(len(plans))],
        [
            "loss of "
            + " and ".join(plan["lost"])
            + ("" if plan["holds"] else "\n(not survivable)")
            for plan in plans
        ],
    )
    axes.set_ylabel("utilisation after the loss (work / cores)")
    axes.set_ylim(0, 1.1)
    axes.legend(
        loc="upper center",
        bbox_to_anchor=(0.5, 1.14),
        ncols=min(6, max(1, len(names))),
        frameon=False,
    )
    figure.tight_layout()
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=120)
    pyplot.close(figure)
    return data.getvalue()


def render_page(plans: list[dict], chart_png: bytes) -> str:
    """Returns the HTML page with the chart and a table of the plans."""
    parts = [
        "<!doctype html><meta charset=utf-8><title>Loss of a site</title>",
        STYLE,
        "<h1>Loss of a site</h1>",
        f'<img alt="utilisation after each loss" src="data:image/png;base64,'
        f'{base64.b64encode(chart_png).decode()}">',
        "<table><tr><th>lost sites<th>survivable<th>binding constraint<th>more cores needed"
        "<th>shares of the lost load<th>rejected",
    ]
    for plan in plans:
        shares = ", ".join(f"{name} {share:.0%}" for name, share in plan["shares"].items())
        refused = (
            ", ".join(f"{name} {share:.1%}" for name, share in plan["refused"].items() if share)
            or "nothing"
        )
        survivable = "yes" if plan["holds"] else '<span class="no">no</span>'
        cells = [
            " and ".join(plan["lost"]),
            plan["binding"],
            str(plan["more_cores"]),
            shares,
            refused,
        ]
        lost, binding, more_cores, share_texts, rejected = map(html.escape, cells)
        parts.append(
            f"<tr><td>{lost}<td>{survivable}<td>{binding}<td>{more_cores}<td>{share_texts}"
            f"<td>{rejected}"
        )
    return "\n".join([*parts, "</table>"])


def write_table_and_page(folder: str, plans: list[dict]) -> str:
    """Writes the table and the page to a folder, which is created if it does not exist.

    Returns:
        The path of the page.

    Raises:
        ImportError: a package of the extra `experiments` is not installed.
        OSError: a file cannot be written.
    """
    import pyarrow
    from pyarrow import parquet

    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    columns = list(zip(*plan_rows(plans), strict=True))
    parquet.write_table(
        pyarrow.table(dict(zip(COLUMNS, map(list, columns), strict=True))), path / "sites.parquet"
    )
    (path / "sites.html").write_text(render_page(plans, render_chart(plans)), encoding="utf-8")
    return str(path / "sites.html")
