"""Reports of measurements: tables in Markdown, printed and written to a file."""

from __future__ import annotations

from pathlib import Path

RESULTS = Path(__file__).parent / "results"


def quantile(values: list[float], fraction: float) -> float:
    """The value below which `fraction` of the values lie, NaN if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("nan")


class Table:
    """A report. Each line is printed at once; `write` writes all lines to `results/<name>.md`."""

    def __init__(self, name: str) -> None:
        self.name, self.lines = name, []

    def say(self, text: str = "") -> None:
        """Adds a line."""
        print(text, flush=True)
        self.lines.append(text)

    def rows(self, title: str, header: tuple[str, ...], rows: list[tuple]) -> None:
        """Adds a table with a title; `header` has the titles of its columns."""
        cells = [
            header,
            *[
                tuple(
                    f"{value:,.3g}"
                    if isinstance(value, float)
                    else f"{value:,}"
                    if isinstance(value, int)
                    else str(value)
                    for value in row
                )
                for row in rows
            ],
        ]
        widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
        self.say(f"## {title}\n")
        for index, row in enumerate(cells):
            self.say("| " + " | ".join(map(str.ljust, row, widths)) + " |")
            if not index:
                self.say("|" + "|".join("-" * (width + 2) for width in widths) + "|")
        self.say()

    def write(self) -> None:
        RESULTS.mkdir(exist_ok=True)
        (RESULTS / f"{self.name}.md").write_text("\n".join(self.lines) + "\n")
