"""Clients that send requests by a Poisson process and retry them.

Each request is attempted until it is answered or its time-out has passed. `RetryBehaviour` defines
how the clients react to a denial and to a missing answer. The outcomes are counted by the second in
which the request arrived at the client.

The clients can run in a process of their own, so that they do not compete with the measured app
server for the interpreter:

    python -m lilacwalk.testing.retrying_clients OPTIONS

OPTIONS is a JSON object with the fields `addresses`, `rate`, `clients`, `behaviour`, `seed` and
`class_name`. `addresses` is the path of a file with the address of an app server in each line; the
process reads the file again while the clients run. A client stays with one app server until its
connection is closed.

The process prints `began` and the monotonic time of its start on standard output. At the end of its
standard input it stops the clients and prints their counts as one JSON array, which
`RetryingClientsProcess` reads.
"""

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

POLL_INTERVAL = 0.002  # seconds between two polls for answers


@dataclass(frozen=True, slots=True)
class RetryBehaviour:
    """How clients retry; times in seconds."""

    honours_retry_after: bool = True
    marks_retries: bool = True  # retries carry the retry flag
    request_timeout: float = 6.0  # for all attempts of a request together
    attempt_timeout: float = 1.0
    # after a missing answer, and after a denial whose retry-after is missing or not honoured
    retry_delay: float = 0.2
    max_attempts: int = 60


@dataclass(eq=False, slots=True)
class ClientRequest:
    """A request and its latest attempt; times are in seconds since the start of the clients."""

    number: int
    arrived_at: float
    client: int  # number of the client
    attempts: int = 0
    tag: int = 0
    proxy_client: ProxyClient | None = None
    attempt_deadline: float = 0.0


@dataclass(slots=True)
class ClientCounts:
    """Counts by the second in which the request arrived, except where noted."""

    requests: Counter[int] = field(default_factory=Counter)
    completed: Counter[int] = field(default_factory=Counter)
    # completed after the request's time-out: wasted work
    completed_late: Counter[int] = field(default_factory=Counter)
    attempts: Counter[int] = field(default_factory=Counter)  # by the second of the attempt
    # denials by the time at which their retry-after ends, in tenths of a second
    retry_after_times: Counter[int] = field(default_factory=Counter)


class RetryingClients:
    def __init__(
        self,
        find_server: Callable[[], tuple[str, int] | None],
        rate: float,
        clients: int,
        behaviour: RetryBehaviour,
        seed: int,
        class_name: str = "look",
    ) -> None:
        """Starts the clients, which share one thread.

        `find_server` returns the address of an app server, or None while there is none. `rate` is
        the number of requests per second of all clients together, `clients` the number of clients.
        """
        self.find_server, self.rate, self.behaviour, self.class_name = (
            find_server,
            rate,
            behaviour,
            class_name,
        )
        self.rng = random.Random(seed)
        self.clients = clients
        self.proxy_clients: dict[int, ProxyClient] = {}  # by client number
        self.counts = ClientCounts()
        self.started_at = time.monotonic()
        self.ended = threading.Event()
        self.request_numbers = count(1)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    def end(self) -> None:
        """Stops the clients and closes their connections."""
        self.ended.set()
        self.thread.join(5.0)
        for proxy_client in self.proxy_clients.values():
            proxy_client.end()

    def success_ratio(self, second: int) -> float:
        """The share of the requests that arrived in this second and were completed in time."""
        return self.counts.completed[second] / max(1, self.counts.requests[second])

    # The clients' thread

    def _run(self) -> None:
        # heap of (time of the next attempt, request number, request)
        due: list[tuple[float, int, ClientRequest]] = []
        in_flight: dict[int, ClientRequest] = {}  # by request number
        next_arrival = 0.0
        while not self.ended.is_set():
            now = self.now
            while next_arrival <= now:
                request = ClientRequest(
                    next(self.request_numbers), next_arrival, self.rng.randrange(self.clients)
                )
                self.counts.requests[int(next_arrival)] += 1
                heapq.heappush(due, (next_arrival, request.number, request))
                next_arrival += self.rng.expovariate(self.rate)
            while due and due[0][0] <= now:
                request = heapq.heappop(due)[2]
                if (
                    now - request.arrived_at < self.behaviour.request_timeout
                    and request.attempts < self.behaviour.max_attempts
                ):
                    if self._attempt(request, now):
                        in_flight[request.number] = request
                    else:
                        heapq.heappush(
                            due, (now + self.behaviour.retry_delay, request.number, request)
                        )
            for number, request in list(in_flight.items()):
                if (delay := self._next_attempt_delay(request, now)) is not None:
                    del in_flight[number]
                    if delay >= 0:
                        heapq.heappush(due, (now + delay, request.number, request))
            time.sleep(POLL_INTERVAL)

    def _attempt(self, request: ClientRequest, now: float) -> bool:
        """Sends an attempt; returns false if no app server could be reached."""
        request.attempts += 1
        self.counts.attempts[int(now)] += 1
        proxy_client = self.proxy_clients.get(request.client)
        try:
            if proxy_client is None or proxy_client.closed:
                address = self.find_server()
                if address is None:
                    return False
                proxy_client = self.proxy_clients[request.client] = ProxyClient(address)
            timeout = min(
                self.behaviour.attempt_timeout,
                self.behaviour.request_timeout - (now - request.arrived_at),
            )
            retry_field = {"r": 1} if self.behaviour.marks_retries and request.attempts > 1 else {}
            request.tag = proxy_client.send_request(
                self.class_name,
                b"wish %d" % request.number,
                max(1, int(timeout * 1000)),
                f=request.client,
                **retry_field,
            )
        except (OSError, IndexError):
            # IndexError: a restarted app server has not logged the address for `find_server` yet
            self.proxy_clients.pop(request.client, None)
            return False
        request.proxy_client, request.attempt_deadline = proxy_client, now + timeout
        return True

    def _next_attempt_delay(self, request: ClientRequest, now: float) -> float | None:
        """Returns the seconds until the next attempt of the request.

        Returns a negative number if the request is completed, and None while its latest attempt
        may still be answered.
        """
        with request.proxy_client.changed:
            answers = request.proxy_client.answers.pop(request.tag, None)
        if answers is None:
            if request.proxy_client.closed or now > request.attempt_deadline:
                return self.behaviour.retry_delay
            return None
        retry_after = request.proxy_client.retry_after.pop(request.tag, 0.0)
        if retry_after:
            self.counts.retry_after_times[int(10 * (now + retry_after))] += 1
        if answers[0][1] == "done":
            completed = (
                self.counts.completed
                if now - request.arrived_at <= self.behaviour.request_timeout
                else self.counts.completed_late
            )
            completed[int(request.arrived_at)] += 1
            return -1.0
        return (
            retry_after
            if retry_after and self.behaviour.honours_retry_after
            else self.behaviour.retry_delay
        )


class Addresses:
    """Draws an app server, with equal probability, from a file with one address in each line.

    A call returns the address, or None if the file is empty.
    """

    def __init__(self, path: str, seed: int) -> None:
        self.path, self.rng = Path(path), random.Random(seed)
        self.read_at, self.addresses = 0.0, []

    def __call__(self) -> tuple[str, int] | None:
        now = time.monotonic()
        if now - self.read_at > 0.05:
            self.read_at = now
            lines = self.path.read_text().split()
            self.addresses = [
                (host, int(port)) for host, port in (line.split(":") for line in lines)
            ]
        return self.rng.choice(self.addresses) if self.addresses else None


class RetryingClientsProcess:
    """Retrying clients in a process of their own.

    `addresses` is the path of the file with the app servers' addresses; the other arguments are
    those of `RetryingClients`.
    """

    def __init__(
        self,
        addresses: Path,
        rate: float,
        clients: int,
        behaviour: RetryBehaviour,
        seed: int,
        class_name: str = "look",
    ) -> None:
        options = {
            "addresses": str(addresses),
            "rate": rate,
            "clients": clients,
            "behaviour": asdict(behaviour),
            "seed": seed,
            "class_name": class_name,
        }
        self.popen = subprocess.Popen(
            [sys.executable, "-B", "-m", "lilacwalk.testing.retrying_clients", json.dumps(options)],
            cwd=Path(__file__).parent.parent.parent,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.started_at = float(self.popen.stdout.readline().split()[1])

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    def wait_until(self, second: float) -> None:
        """Sleeps until this many seconds since the start."""
        time.sleep(max(0.0, second - self.now))

    def end(self) -> ClientCounts:
        """Stops the clients and returns their counts.

        The process is killed if it does not exit within 15 s; this raises TimeoutExpired.
        """
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
    options = json.loads(sys.argv[1])
    clients = RetryingClients(
        Addresses(options["addresses"], options["seed"]),
        options["rate"],
        options["clients"],
        RetryBehaviour(**options["behaviour"]),
        options["seed"],
        options["class_name"],
    )
    print(f"began {clients.started_at}", flush=True)
    sys.stdin.read()
    clients.end()
    counts = clients.counts
    print(
        json.dumps(
            [
                counts.requests,
                counts.completed,
                counts.completed_late,
                counts.attempts,
                counts.retry_after_times,
            ]
        )
    )


if __name__ == "__main__":
    main()
