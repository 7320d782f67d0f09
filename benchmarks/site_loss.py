"""A site of three is lost and comes back: what users got, second by second, with the plan and without.

    python -m benchmarks.site_loss [0.75 …]

Real app servers, four a site, with stand-in kernels and users who follow announcements half a second late
(`testing/site_outage.py`). Lost in the 10th second, back in the 25th, watched to the 55th. At 75% also with
plainer forms of the plan (`site_forms.py`), and without the listeners that tell guests from home traffic."""

from __future__ import annotations

import sys
import time

from benchmarks.table import Table
from lilacwalk.testing.site_outage import BENEFIT, SITES, Outage

LOST, BACK, END = 10, 25, 55
FORMS = ("plan", "none", "guests not told apart", "guest worth 0.2", "proportional", "at-once")


def play(load: float, form: str, seed: int) -> dict:
    made = Outage(
        plan=form != "none",
        load=load,
        seed=seed,
        guests=form != "guests not told apart",
        guest_worth=0.2 if "worth" in form else 1.0,
    )
    if form in ("proportional", "at-once"):
        made.rig.program = ("benchmarks.site_forms", form, "--")
    try:
        made.start()
        until(made, LOST)
        made.lose("recife")
        until(made, BACK)
        made.bring_back("recife")
        until(made, END)
        whole, home, others = (made.shares(sites) for sites in (SITES, SITES[:1], SITES[1:]))
        rows = made.rows(LOST + 3, BACK)
        offered = sum(sum(row.offered.values()) for row in rows)
        unanswered = sum(sum(row.other.values()) for row in rows)
        refused = {group: made.denied(LOST + 3, BACK, group) for group in BENEFIT}
        return {
            "whole": whole,
            "lost site": home,
            "stand-ins": others,
            "twice": made.count_duplicate_effects(),
            "refused": refused,
            "unanswered": unanswered / max(1, offered),
        }
    finally:
        made.end()


def until(made: Outage, second: float) -> None:
    while made.now < second:
        time.sleep(0.02)


def mean(values: list[float]) -> float:
    return sum(values) / len(values)


def row(load: float, form: str, found: dict) -> tuple:
    whole, others = found["whole"], found["stand-ins"]
    before = mean(whole[3:LOST])
    again = next((at - LOST for at in range(LOST, END - 1) if whole[at] >= 0.95 * before), -1)
    worst = min(mean(whole[at : at + 10]) for at in range(LOST, BACK))
    after = mean(whole[BACK - 5 : BACK])
    dip = max(0.0, after - min(whole[BACK : BACK + 20]))
    groups = found["refused"]
    short = max(0.0, before - min(mean(others[at : at + 2]) for at in range(LOST + 2, BACK)))
    return (
        f"{load:.0%}",
        form,
        before,
        again if again >= 0 else "never",
        worst,
        mean(whole[LOST + 5 : BACK]),
        mean(found["lost site"][LOST + 5 : BACK]),
        mean(others[LOST + 5 : BACK]),
        short,
        dip,
        " ".join(f"{group} {groups[group]:.2f}" for group in sorted(groups)),
        found["unanswered"],
        found["twice"],
    )


def main() -> None:
    loads = [float(word) for word in sys.argv[1:] if not word.startswith("-")] or [0.5, 0.75, 0.95]
    rows, series = [], []
    for load in loads:
        for form in FORMS if load == 0.75 else FORMS[:2]:
            found = play(load, form, 1)
            rows.append(row(load, form, found))
            print(rows[-1], flush=True)
            series.append(
                (f"{load:.0%} {form}", " ".join(f"{share:.2f}" for share in found["whole"]))
            )
    table = Table("site-loss")
    table.rows(
        "a site of three lost for 15 s: benefit got over benefit wanted",
        (
            "load",
            "form",
            "before",
            "seconds to 0.95 of it",
            "worst 10 s",
            "while lost",
            "its users",
            "others",
            "others' worst 2 s under before",
            "second dip",
            "refused, by class",
            "no answer",
            "twice",
        ),
        rows,
    )
    table.rows(
        "the whole, second by second (lost in the 10th, back in the 25th)",
        ("play", "shares"),
        series,
    )
    table.write()


if __name__ == "__main__":
    main()
