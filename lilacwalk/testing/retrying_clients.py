"""A crowd of clients who try again: wishes come by a Poisson process, each is tried until it is answered or
its patience is over, and what they do when they are turned away or hear nothing is the crowd's habit. Counts
what they got, second by second of the wish.

In a process of its own, so that what is measured is the app server and not the crowd's interpreter:

    python -m lilacwalk.testing.retrying_clients ORDERS

ORDERS is a JSON object: `addresses` (a file with a line for each app server, read again when it changes; a
caller stays with one until its connection is lost), `rate`, `callers`, `behaviour`, `seed`, `group`. It says
`began` with the monotonic clock on standard output, ends when its standard input does, and then prints what
its clients got as one JSON object (`RetryingClientsProcess` reads it)."""

from __future__ import annotations

import heapq
import json
import random
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from itertools import count
from pathlib import Path

from lilacwalk.testing.proxy_client import ProxyClient

LOOK = 0.002  # seconds between two looks for answers


@dataclass(frozen=True, slots=True)
class RetryBehaviour:
    """Seconds."""

    honours_retry_after: bool = True  # comes back when told
    marks_retries: bool = True  # says that it asks again
    request_timeout: float = 6.0
    attempt_timeout: float = 1.0  # of one try
    retry_delay: float = 0.2  # after silence, or where no time is told or heeded
    max_attempts: int = 60  # tries of one wish


@dataclass(eq=False, slots=True)
class ClientRequest:
    number: int
    born: float
    caller: int
    tries: int = 0
    tag: int = 0
    proxy_client: ProxyClient | None = None
    until: float = 0.0


@dataclass(slots=True)
class ClientCounts:
    requests: Counter[int] = field(default_factory=Counter)  # by second
    completed: Counter[int] = field(default_factory=Counter)
    late: Counter[int] = field(
        default_factory=Counter
    )  # after its wish was given up: work for nobody
    attempts: Counter[int] = field(default_factory=Counter)  # by the second of the try
    # by the tenth of a second for which a denial told to come back
    retry_after_times: Counter[int] = field(default_factory=Counter)


class RetryingClients:
    def __init__(
        self,
        where: Callable[[], tuple[str, int] | None],
        rate: float,
        callers: int,
        behaviour: RetryBehaviour,
        seed: int,
        group: str = "look",
    ) -> None:
        """`where`: the app server's address now; None while there is none. `rate`: wishes a second."""
        self.where, self.rate, self.behaviour, self.group = where, rate, behaviour, group
        self.rng = random.Random(seed)
        self.callers = callers
        self.proxy_clients: dict[int, ProxyClient] = {}
        self.counts = ClientCounts()
        self.began = time.monotonic()
        self.over = threading.Event()
        self.numbers = count(1)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    @property
    def now(self) -> float:
        return time.monotonic() - self.began

    def end(self) -> None:
        self.over.set()
        self.thread.join(5.0)
        for proxy_client in self.proxy_clients.values():
            proxy_client.end()

    def service(self, second: int) -> float:
        """Of the wishes of this second, the part that was granted in its patience."""
        return self.counts.completed[second] / max(1, self.counts.requests[second])

    # Its thread

    def _run(self) -> None:
        due: list[tuple[float, int, ClientRequest]] = []
        out: dict[int, ClientRequest] = {}
        next_wish = 0.0
        while not self.over.is_set():
            now = self.now
            while next_wish <= now:
                wish = ClientRequest(
                    next(self.numbers), next_wish, self.rng.randrange(self.callers)
                )
                self.counts.requests[int(next_wish)] += 1
                heapq.heappush(due, (next_wish, wish.number, wish))
                next_wish += self.rng.expovariate(self.rate)
            while due and due[0][0] <= now:
                wish = heapq.heappop(due)[2]
                if (
                    now - wish.born < self.behaviour.request_timeout
                    and wish.tries < self.behaviour.max_attempts
                ):
                    if self._try(wish, now):
                        out[wish.number] = wish
                    else:
                        heapq.heappush(due, (now + self.behaviour.retry_delay, wish.number, wish))
            for number, wish in list(out.items()):
                if (wait := self._ended(wish, now)) is not None:
                    del out[number]
                    if wait >= 0:
                        heapq.heappush(due, (now + wait, wish.number, wish))
            time.sleep(LOOK)

    def _try(self, wish: ClientRequest, now: float) -> bool:
        """Whether it was sent."""
        wish.tries += 1
        self.counts.attempts[int(now)] += 1
        proxy_client = self.proxy_clients.get(wish.caller)
        try:
            if proxy_client is None or proxy_client.gone:
                address = self.where()
                if address is None:
                    return False
                proxy_client = self.proxy_clients[wish.caller] = ProxyClient(address)
            wait = min(
                self.behaviour.attempt_timeout, self.behaviour.request_timeout - (now - wish.born)
            )
            marked = {"r": 1} if self.behaviour.marks_retries and wish.tries > 1 else {}
            wish.tag = proxy_client.ask(
                self.group,
                b"wish %d" % wish.number,
                max(1, int(wait * 1000)),
                f=wish.caller,
                **marked,
            )
        except (
            OSError,
            IndexError,
        ):  # IndexError: a new life that has not said yet where it listens
            self.proxy_clients.pop(wish.caller, None)
            return False
        wish.proxy_client, wish.until = proxy_client, now + wait
        return True

    def _ended(self, wish: ClientRequest, now: float) -> float | None:
        """Seconds until it is tried again; negative: it is over; None: it waits for its answer."""
        with wish.proxy_client.changed:
            found = wish.proxy_client.answers.pop(wish.tag, None)
        if found is None:
            if wish.proxy_client.gone or now > wish.until:
                return self.behaviour.retry_delay
            return None
        told = wish.proxy_client.come_back.pop(wish.tag, 0.0)
        if told:
            self.counts.retry_after_times[int(10 * (now + told))] += 1
        if found[0][1] == "done":
            table = (
                self.counts.completed
                if now - wish.born <= self.behaviour.request_timeout
                else self.counts.late
            )
            table[int(wish.born)] += 1
            return -1.0
        return told if told and self.behaviour.honours_retry_after else self.behaviour.retry_delay


class Addresses:
    """A file with a line for each app server: whom a caller asks that has no connection, drawn evenly."""

    def __init__(self, path: str, seed: int) -> None:
        self.path, self.rng = Path(path), random.Random(seed)
        self.read_at, self.found = 0.0, []

    def __call__(self) -> tuple[str, int] | None:
        now = time.monotonic()
        if now - self.read_at > 0.05:
            self.read_at = now
            lines = self.path.read_text().split()
            self.found = [(host, int(port)) for host, port in (line.split(":") for line in lines)]
        return self.rng.choice(self.found) if self.found else None


class RetryingClientsProcess:
    """A crowd in a process of its own."""

    def __init__(
        self,
        addresses: Path,
        rate: float,
        callers: int,
        behaviour: RetryBehaviour,
        seed: int,
        group: str = "look",
    ) -> None:
        orders = {
            "addresses": str(addresses),
            "rate": rate,
            "callers": callers,
            "behaviour": asdict(behaviour),
            "seed": seed,
            "group": group,
        }
        self.popen = subprocess.Popen(
            [sys.executable, "-B", "-m", "lilacwalk.testing.retrying_clients", json.dumps(orders)],
            cwd=Path(__file__).parent.parent.parent,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.began = float(self.popen.stdout.readline().split()[1])

    @property
    def now(self) -> float:
        return time.monotonic() - self.began

    def wait_until(self, second: float) -> None:
        time.sleep(max(0.0, second - self.now))

    def end(self) -> ClientCounts:
        """What they got. Ends the process whatever happens."""
        try:
            text, _ = self.popen.communicate(timeout=15.0)
        finally:
            if self.popen.poll() is None:
                self.popen.kill()
                self.popen.wait()
        return ClientCounts(
            *(
                Counter({int(second): count for second, count in table.items()})
                for table in json.loads(text)
            )
        )


def main() -> None:
    orders = json.loads(sys.argv[1])
    crowd = RetryingClients(
        Addresses(orders["addresses"], orders["seed"]),
        orders["rate"],
        orders["callers"],
        RetryBehaviour(**orders["behaviour"]),
        orders["seed"],
        orders["group"],
    )
    print(f"began {crowd.began}", flush=True)
    sys.stdin.read()
    crowd.end()
    got = crowd.counts
    print(json.dumps([got.requests, got.completed, got.late, got.attempts, got.retry_after_times]))


if __name__ == "__main__":
    main()
