"""Reports plans for the loss of sites: a Parquet table, and an HTML page with a chart."""

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


def rows(plans: list[dict]) -> list[tuple]:
    """Rows in long form, one value per row, so that plans of different files fit in one table."""
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


def chart(plans: list[dict]) -> bytes:
    """Bar chart (PNG) of the utilisation of each site after each loss, with the limit of 1."""
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
            "lose " + " and ".join(plan["lost"]) + ("" if plan["holds"] else "\n(does not hold)")
            for plan in plans
        ],
    )
    axes.set_ylabel("utilisation after (work over cores)")
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


def page(plans: list[dict], chart_png: bytes) -> str:
    parts = [
        "<!doctype html><meta charset=utf-8><title>Loss of a site</title>",
        STYLE,
        "<h1>Loss of a site</h1>",
        f'<img alt="utilisation after each loss" src="data:image/png;base64,'
        f'{base64.b64encode(chart_png).decode()}">',
        "<table><tr><th>lost<th>holds<th>binding<th>more cores<th>load goes to<th>refused",
    ]
    for plan in plans:
        shares = ", ".join(f"{name} {share:.0%}" for name, share in plan["shares"].items())
        refused = (
            ", ".join(f"{name} {share:.1%}" for name, share in plan["refused"].items() if share)
            or "nothing"
        )
        mark = "yes" if plan["holds"] else '<span class="no">no</span>'
        cells = [
            " and ".join(plan["lost"]),
            plan["binding"],
            str(plan["more_cores"]),
            shares,
            refused,
        ]
        lost, binding, more_cores, destinations, refused_cell = map(html.escape, cells)
        parts.append(
            f"<tr><td>{lost}<td>{mark}<td>{binding}<td>{more_cores}<td>{destinations}<td>{refused_cell}"
        )
    return "\n".join([*parts, "</table>"])


def write(folder: str, plans: list[dict]) -> str:
    """Writes table and page to a folder and returns the path of the page. Raises ImportError if the extra
    `experiments` is not installed."""
    import pyarrow
    from pyarrow import parquet

    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    columns = list(zip(*rows(plans), strict=True))
    parquet.write_table(
        pyarrow.table(dict(zip(COLUMNS, map(list, columns), strict=True))), path / "sites.parquet"
    )
    (path / "sites.html").write_text(page(plans, chart(plans)), encoding="utf-8")
    return str(path / "sites.html")
