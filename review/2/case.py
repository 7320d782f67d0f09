"""Mutating exchanges while the link to the kernel breaks now and then."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins.settings import recife  # noqa: E402
from standins.site import (  # noqa: E402
    CASE_BROKEN,
    CASE_HELD,
    CASE_NOT_RUN,
    Router,
    Site,
    main,
    unix_ms,
)

ROUTERS = 5
DAY_SECONDS = 100.0
EXCHANGES_PER_SECOND = 150.0
MEAN_WORK_MS = 30.0  # a tenth of the site's
SHARES = {"eligibility": 0.5, "stock-check": 0.3, "swap-confirm": 0.2}
MUTATING = ("stock-check", "swap-confirm")  # the day gives them another effect than the site
WAIT_MS = 460.0
MEAN_SECONDS_BETWEEN_BREAKS = 1.0
SHARE_IN_PIECES = 0.4  # of the kernel's messages
LONGEST_GAP_MS = 10.0  # between the two pieces of a message


class Day:
    """All three classes of the site, two of them mutating; breaks of the link and nothing else."""

    def __init__(self) -> None:
        """Creates the stand-ins; nothing is started yet."""
        self.site = Site(CASE, recife(MUTATING), {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
        random = self.site.random
        self.site.next_steps = lambda: [max(3.0, random.gauss(MEAN_WORK_MS, MEAN_WORK_MS / 3))]
        if self.site.trouble:
            self.site.kernel.set_pieces(SHARE_IN_PIECES, LONGEST_GAP_MS)
        self.routers = [Router(self.site, number + 1) for number in range(ROUTERS)]

    async def breaks(self) -> None:
        """Breaks the link to the kernel now and then."""
        while True:
            await asyncio.sleep(self.site.random.expovariate(1 / MEAN_SECONDS_BETWEEN_BREAKS))
            self.site.kernel.break_link()

    async def run(self) -> int:
        """Plays the day and returns the verdict."""
        site = self.site
        names, shares = list(SHARES), list(SHARES.values())
        try:
            await site.start()
            breaks = asyncio.create_task(self.breaks()) if site.trouble else None
            until = unix_ms() + DAY_SECONDS * 1000
            while unix_ms() < until:
                class_name = site.random.choices(names, shares)[0]
                request = site.new_try(class_name, WAIT_MS, "", site.random.randbytes(40))
                await site.random.choice(self.routers).send(request)
                await asyncio.sleep(site.random.expovariate(EXCHANGES_PER_SECOND))
            if breaks is not None:
                breaks.cancel()
            await asyncio.sleep(1.5)
        finally:
            code = await site.stop()
        return self.verdict(code)

    def verdict(self, code: int | None) -> int:
        """No mutating exchange may run twice."""
        tries = list(self.site.tries.values())
        mutating = [each for each in tries if each.class_name in MUTATING]
        broken = [each for each in mutating if len(each.runs) > 1]
        for each in broken:
            self.site.record(
                f"BROKEN: {each.id}, a version-publish, has run {len(each.runs)} times"
            )
        served = sum(answer[1] == "done" for each in tries for answer in each.answers)
        self.site.close_record(
            f"exchanges {len(tries)}, of them mutating {len(mutating)}, served {served}, "
            f"links lost {self.site.kernel.links_lost}, mutating exchanges that ran twice "
            f"{len(broken)}, exit code {code}"
        )
        if not served:
            return CASE_NOT_RUN
        return CASE_BROKEN if broken else CASE_HELD


if __name__ == "__main__":
    main(lambda: Day().run())
