"""Loss and return of one of three sites: the share of the offered benefit that is completed in each
second, with the failover plan and without.

    python -m benchmarks.site_loss [0.75 …]

Real app servers, four per site, with stand-in executors and users who follow announcements with a
delay of half a second (`testing/site_outage.py`). The site is lost at second 10 and started again
at second 25; the run ends at second 55. At 75% load it is also run with simpler forms of the plan
(`site_forms.py`), without the listeners that distinguish failover traffic from home traffic, and
with a lower benefit of failover traffic."""

from __future__ import annotations

import sys
import time

from benchmarks.table import Table
from lilacwalk.testing.site_outage import BENEFIT, SITES, Outage

LOST_AT, BACK_AT, END = 10, 25, 55  # seconds since the start
FORMS = (
    "plan",
    "no plan",
    "failover traffic not distinguished",
    "guest-worth 0.2",
    "proportional",
    "at-once",
)


def run(load: float, form: str, seed: int) -> dict:
    outage = Outage(
        has_plan=form != "no plan",
        load=load,
        seed=seed,
        separates_failover_traffic=form != "failover traffic not distinguished",
        failover_benefit=0.2 if "worth" in form else 1.0,
    )
    if form in ("proportional", "at-once"):
        outage.process_fleet.program = ("benchmarks.site_forms", form, "--")
    try:
        outage.start()
        wait_until(outage, LOST_AT)
        outage.power_off("recife")
        wait_until(outage, BACK_AT)
        outage.bring_back("recife")
        wait_until(outage, END)
        all_sites, lost_site, other_sites = (
            outage.benefit_ratios(sites) for sites in (SITES, SITES[:1], SITES[1:])
        )
        rows = outage.counts_between(LOST_AT + 3, BACK_AT)
        offered = sum(sum(row.offered.values()) for row in rows)
        failed = sum(sum(row.failed.values()) for row in rows)
        denied = {
            class_name: outage.denied_ratio(LOST_AT + 3, BACK_AT, class_name)
            for class_name in BENEFIT
        }
        return {
            "all sites": all_sites,
            "lost site": lost_site,
            "other sites": other_sites,
            "duplicate effects": outage.count_duplicate_effects(),
            "denied": denied,
            "failed": failed / max(1, offered),
        }
    finally:
        outage.end()


def wait_until(outage: Outage, second: float) -> None:
    while outage.now < second:
        time.sleep(0.02)


def mean(values: list[float]) -> float:
    return sum(values) / len(values)


def table_row(load: float, form: str, result: dict) -> tuple:
    all_sites, other_sites = result["all sites"], result["other sites"]
    before = mean(all_sites[3:LOST_AT])
    recovered_after = next(
        (at - LOST_AT for at in range(LOST_AT, END - 1) if all_sites[at] >= 0.95 * before), -1
    )
    worst = min(mean(all_sites[at : at + 10]) for at in range(LOST_AT, BACK_AT))
    before_return = mean(all_sites[BACK_AT - 5 : BACK_AT])
    drop = max(0.0, before_return - min(all_sites[BACK_AT : BACK_AT + 20]))
    denied = result["denied"]
    others_drop = max(
        0.0, before - min(mean(other_sites[at : at + 2]) for at in range(LOST_AT + 2, BACK_AT))
    )
    return (
        f"{load:.0%}",
        form,
        before,
        recovered_after if recovered_after >= 0 else "never",
        worst,
        mean(all_sites[LOST_AT + 5 : BACK_AT]),
        mean(result["lost site"][LOST_AT + 5 : BACK_AT]),
        mean(other_sites[LOST_AT + 5 : BACK_AT]),
        others_drop,
        drop,
        " ".join(f"{class_name} {denied[class_name]:.2f}" for class_name in sorted(denied)),
        result["failed"],
        result["duplicate effects"],
    )


def main() -> None:
    loads = [float(word) for word in sys.argv[1:] if not word.startswith("-")] or [0.5, 0.75, 0.95]
    rows, series = [], []
    for load in loads:
        for form in FORMS if load == 0.75 else FORMS[:2]:
            result = run(load, form, 1)
            rows.append(table_row(load, form, result))
            print(rows[-1], flush=True)
            series.append(
                (f"{load:.0%} {form}", " ".join(f"{share:.2f}" for share in result["all sites"]))
            )
    table = Table("site-loss")
    table.rows(
        "one of three sites lost for 15 s: completed benefit over offered benefit",
        (
            "load",
            "form",
            "before",
            "seconds to 0.95 of before",
            "worst 10 s",
            "during the loss",
            "lost site's users",
            "other sites' users",
            "other sites' largest drop over 2 s",
            "drop after the return",
            "denied by class",
            "failed",
            "duplicate effects",
        ),
        rows,
    )
    table.rows(
        "all sites, second by second (lost at second 10, started again at second 25)",
        ("run", "shares"),
        series,
    )
    table.write()


if __name__ == "__main__":
    main()
