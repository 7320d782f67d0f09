"""One app server with a store and a stand-in executor, which is killed and restarted repeatedly, and a client
that sends unanswered requests again. Tests and measurements of the data that survives a kill use it.

Effects are counted by the request body, so that two attempts of one request count as the same effect although
their ids differ."""

from __future__ import annotations

import random
import time
from collections import Counter

from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.fleet import START_TIMEOUT, Process, ProcessFleet
from lilacwalk.testing.proxy_client import ProxyClient

WAIT_MS = 4_000


class RestartSoak:
    """An app server that tests kill and restart.

    `work` is the time of a run in seconds. `end` stops all processes.
    """

    def __init__(
        self, seed: int = 1, work: float = 0.004, cores: int = 2, **store_settings: str
    ) -> None:
        """`store_settings` are added to the store block, which has settings for its directory and socket already."""
        self.rng = random.Random(seed)
        self.effects: Counter[bytes] = Counter()
        self.times: dict[bytes, list[float]] = {}  # monotonic times of each effect, by request body
        self.work = work
        self.rig = ProcessFleet(seed, 200, "serve", store=False)
        self.server: Process = self.rig.add("n0")
        self.server.cpus = cores
        self.server.executor = self._make_executor()
        self.directory = self.server.directory / "kept"
        self.socket = self.server.directory / "kept.sock"
        self.write_store_block(**store_settings)
        self.proxy_client: ProxyClient | None = None

    def _make_executor(self) -> StandInExecutor:
        def run_time(class_name: str, body: bytes) -> float:
            self.effects[bytes(body)] += 1
            self.times.setdefault(bytes(body), []).append(time.monotonic())
            return self.work

        return StandInExecutor(self.server.cpus, run_time, lambda class_name, body: b"did " + body)

    def write_store_block(self, **store_settings: str) -> None:
        lines = "".join(
            f"    {name.replace('_', '-')} {value}\n" for name, value in store_settings.items()
        )
        self.server.extra = (
            f"store {{\n    directory {self.directory}\n    socket {self.socket}\n{lines}}}\n"
        )

    def start(self, state: str | None = "state=kept") -> ProxyClient:
        """Starts the app server and connects a client.

        `state` is a text to wait for in the log first; with None it is enough that the executor is connected.
        """
        before = len(self._log())
        self.rig.start("n0", wait=False)
        for what in ("event=started", "event=executor_up", *([state] if state else [])):
            self.rig.wait(lambda what=what: what in self._log()[before:], START_TIMEOUT, what)
        self.proxy_client = ProxyClient(self.rig.address("n0"))
        return self.proxy_client

    def _log(self) -> str:
        path = self.server.directory / "log"
        return path.read_text() if path.exists() else ""

    def kill(self) -> None:
        self.rig.kill("n0")
        if self.proxy_client is not None:
            self.proxy_client.end()

    def ask(self, class_name: str, key: str, **fields: object) -> tuple[str, bytes]:
        """Sends a request and waits for its answer; returns the answer's status word and body.

        Both are empty if the connection was lost before the answer arrived.
        """
        tag = self.put(class_name, key, **fields)
        try:
            _, status, body = self.proxy_client.answer(tag)
        except KeyError:
            return "", b""
        return status, body

    def put(self, class_name: str, key: str, **fields: object) -> int:
        known = {"k": key} if class_name == "swap" else {}
        return self.proxy_client.ask(class_name, key.encode(), WAIT_MS, **known, **fields)

    def end(self) -> None:
        if self.proxy_client is not None:
            self.proxy_client.end()
        self.rig.end()

    # Kills while many requests are in flight

    def count_duplicates_within(self, window: float) -> int:
        """The number of effects that were applied again within `window` seconds of the first time.

        After the window, an idempotency key may be forgotten.
        """
        return sum(each[1] - each[0] <= window for each in self.times.values() if len(each) > 1)

    def run_until_kill(self, keys: list[str], again: list[str]) -> dict[str, list[str]]:
        """Sends requests, first for the keys in `again`, and kills the app server after a random time.

        The time is between 5 and 80 ms. `again` holds the keys whose earlier requests were not answered or were
        denied. Returns the keys by the status word of their answer; `""` stands for no answer, `unsent` for a
        request that was not sent before the kill.
        """
        proxy_client, found = self.proxy_client, {}
        tags = {}
        until = time.monotonic() + self.rng.uniform(0.005, 0.08)
        for key in [*again, *keys]:
            try:
                tags[key] = self.put("swap", key)
            except OSError:
                break
            time.sleep(0.0005)
            if time.monotonic() > until:
                break
        self.kill()
        with proxy_client.changed:
            proxy_client.changed.wait_for(lambda: proxy_client.gone, 5.0)
        for key in [*again, *keys]:
            answers = proxy_client.answers.get(tags.get(key, -1), [])
            status = answers[0][1] if answers else "" if key in tags else "unsent"
            found.setdefault(status, []).append(key)
        return found
