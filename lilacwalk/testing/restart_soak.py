"""One app server with a store and a kernel, killed and started again and again, and its callers, who ask
again for what they got no answer to; the kernel's effects are counted by what was asked, whatever the try's
id. For tests and measurements of what outlives a kill."""

from __future__ import annotations

import random
import time
from collections import Counter

from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.fleet import STARTING, Process, ProcessFleet
from lilacwalk.testing.proxy_client import ProxyClient

WAIT_MS = 4_000


class RestartSoak:
    """`work`: seconds of a run. Ended by `end`."""

    def __init__(self, seed: int = 1, work: float = 0.004, cores: int = 2, **words: str) -> None:
        """`words`: of the store block, beside its directory."""
        self.rng = random.Random(seed)
        self.effects: Counter[bytes] = Counter()
        self.times: dict[bytes, list[float]] = {}  # of each effect
        self.work = work
        self.rig = ProcessFleet(seed, 200, "serve", store=False)
        self.server: Process = self.rig.add("n0")
        self.server.cpus = cores
        self.server.executor = self._kernel()
        self.directory = self.server.directory / "kept"
        self.socket = self.server.directory / "kept.sock"
        self.ordered(**words)
        self.proxy_client: ProxyClient | None = None

    def _kernel(self) -> StandInExecutor:
        def had(group: str, body: bytes) -> float:
            self.effects[bytes(body)] += 1
            self.times.setdefault(bytes(body), []).append(time.monotonic())
            return self.work

        return StandInExecutor(self.server.cpus, had, lambda group, body: b"did " + body)

    def ordered(self, **words: str) -> None:
        lines = "".join(f"    {name.replace('_', '-')} {word}\n" for name, word in words.items())
        self.server.extra = (
            f"store {{\n    directory {self.directory}\n    socket {self.socket}\n{lines}}}\n"
        )

    def start(self, state: str | None = "state=kept") -> ProxyClient:
        """`state`: what the log says before anything is asked; None: that it listens is enough."""
        before = len(self._log())
        self.rig.start("n0", wait=False)
        for what in ("event=started", "event=executor_up", *([state] if state else [])):
            self.rig.wait(lambda what=what: what in self._log()[before:], STARTING, what)
        self.proxy_client = ProxyClient(self.rig.address("n0"))
        return self.proxy_client

    def _log(self) -> str:
        path = self.server.directory / "log"
        return path.read_text() if path.exists() else ""

    def kill(self) -> None:
        self.rig.kill("n0")
        if self.proxy_client is not None:
            self.proxy_client.end()

    def ask(self, group: str, key: str, **fields: object) -> tuple[str, bytes]:
        """The word and body of its answer; ("", b"") where the connection was lost before one."""
        tag = self.put(group, key, **fields)
        try:
            _, word, body = self.proxy_client.answer(tag)
        except KeyError:
            return "", b""
        return word, body

    def put(self, group: str, key: str, **fields: object) -> int:
        known = {"k": key} if group == "swap" else {}
        return self.proxy_client.ask(group, key.encode(), WAIT_MS, **known, **fields)

    def end(self) -> None:
        if self.proxy_client is not None:
            self.proxy_client.end()
        self.rig.end()

    # One life in which many are under way when it is killed

    def count_duplicates_within(self, window: float) -> int:
        """Effects had again within so many seconds of the first time: later a key is forgotten by right."""
        return sum(each[1] - each[0] <= window for each in self.times.values() if len(each) > 1)

    def run_until_kill(self, keys: list[str], again: list[str]) -> dict[str, list[str]]:
        """Asks `again` (what had no answer before) and as many of the keys as come before the kill, at a
        drawn instant. Returns keys by what became of them: answers' words, and "" for none."""
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
            word = answers[0][1] if answers else "" if key in tags else "unasked"
            found.setdefault(word, []).append(key)
        return found
