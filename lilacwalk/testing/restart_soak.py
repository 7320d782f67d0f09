"""An app server with a store that is killed and restarted repeatedly, and a client.

The client sends unanswered requests again. Tests and measurements of the data that survives a kill
use this module. Effects are counted by the request body, so that two attempts of one request count
as the same effect although their ids differ.
"""

from __future__ import annotations

import random
import time
from collections import Counter

from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.fleet import START_TIMEOUT, Process, ProcessFleet
from lilacwalk.testing.proxy_client import ProxyClient

WAIT_MS = 4_000  # time that the client waits for an answer


class RestartSoak:
    """An app server with a stand-in executor, which tests kill and restart."""

    def __init__(
        self, seed: int = 1, run_time: float = 0.004, cores: int = 2, **store_settings: str
    ) -> None:
        """Prepares the app server; `start` starts it.

        `run_time` is the execution time of a request in seconds. `store_settings` are added to the
        store block, which has settings for its directory and socket already.
        """
        self.rng = random.Random(seed)
        self.effects: Counter[bytes] = Counter()  # number of executions by request body
        # monotonic times of the executions, by request body
        self.effect_times: dict[bytes, list[float]] = {}
        self.run_time = run_time
        self.process_fleet = ProcessFleet(seed, 200, "serve", has_store=False)
        self.server: Process = self.process_fleet.add("n0")
        self.server.cpus = cores
        self.server.executor = self._make_executor()
        self.directory = self.server.directory / "kept"
        self.socket = self.server.directory / "kept.sock"
        self.write_store_block(**store_settings)
        self.proxy_client: ProxyClient | None = None

    def _make_executor(self) -> StandInExecutor:
        def record_effect(class_name: str, body: bytes) -> float:
            self.effects[bytes(body)] += 1
            self.effect_times.setdefault(bytes(body), []).append(time.monotonic())
            return self.run_time

        return StandInExecutor(
            self.server.cpus, record_effect, lambda class_name, body: b"did " + body
        )

    def write_store_block(self, **store_settings: str) -> None:
        """Sets the store block of the operator file, which takes effect at the next start."""
        lines = "".join(
            f"    {name.replace('_', '-')} {value}\n" for name, value in store_settings.items()
        )
        self.server.extra_statements = (
            f"store {{\n    directory {self.directory}\n    socket {self.socket}\n{lines}}}\n"
        )

    def start(self, state: str | None = "state=kept") -> ProxyClient:
        """Starts the app server; returns a connected client.

        Before the client connects, the executor must be connected and the log must contain `state`,
        unless that is None.
        """
        previous_length = len(self._log())
        self.process_fleet.start("n0", wait=False)
        for text in ("event=started", "event=executor_up", *([state] if state else [])):
            self.process_fleet.wait(
                lambda text=text: text in self._log()[previous_length:], START_TIMEOUT, text
            )
        self.proxy_client = ProxyClient(self.process_fleet.address("n0"))
        return self.proxy_client

    def _log(self) -> str:
        path = self.server.directory / "log"
        return path.read_text() if path.exists() else ""

    def kill(self) -> None:
        """Kills the app server's process and closes the client; the executor keeps running."""
        self.process_fleet.kill("n0")
        if self.proxy_client is not None:
            self.proxy_client.end()

    def send_and_wait(self, class_name: str, key: str, **fields: object) -> tuple[str, bytes]:
        """Sends a request and waits for its answer; returns the answer's status word and body.

        Both are empty if the connection is closed before the answer arrives. `key` is the request
        body and, for the class `swap`, the idempotency key.
        """
        tag = self.send_request(class_name, key, **fields)
        try:
            _, status, body = self.proxy_client.answer(tag)
        except KeyError:
            return "", b""
        return status, body

    def send_request(self, class_name: str, key: str, **fields: object) -> int:
        """Sends a request as `send_and_wait` does; returns its tag without waiting."""
        key_field = {"k": key} if class_name == "swap" else {}
        return self.proxy_client.send_request(
            class_name, key.encode(), WAIT_MS, **key_field, **fields
        )

    def end(self) -> None:
        """Stops the app server and its executor, and removes all files."""
        if self.proxy_client is not None:
            self.proxy_client.end()
        self.process_fleet.end()

    # Measurements and load for tests that kill the app server while many requests are in flight

    def count_duplicates_within(self, window: float) -> int:
        """The number of requests that were executed again within `window` seconds.

        The window begins with the first execution. After it, the app server may discard the
        request's idempotency key.
        """
        return sum(
            times[1] - times[0] <= window for times in self.effect_times.values() if len(times) > 1
        )

    def run_until_kill(self, keys: list[str], retried_keys: list[str]) -> dict[str, list[str]]:
        """Sends requests of the class `swap` and kills the app server after 5 to 80 ms.

        The first requests have the keys in `retried_keys`, whose earlier requests were not
        answered or were denied. Returns the keys by the status word of their answer; the status is
        `""` if no answer arrived, `unsent` if the request was not sent before the kill.
        """
        proxy_client, keys_by_status = self.proxy_client, {}
        tags = {}
        kill_at = time.monotonic() + self.rng.uniform(0.005, 0.08)
        for key in [*retried_keys, *keys]:
            try:
                tags[key] = self.send_request("swap", key)
            except OSError:
                break
            time.sleep(0.0005)
            if time.monotonic() > kill_at:
                break
        self.kill()
        with proxy_client.changed:
            proxy_client.changed.wait_for(lambda: proxy_client.closed, 5.0)
        for key in [*retried_keys, *keys]:
            answers = proxy_client.answers.get(tags.get(key, -1), [])
            status = answers[0][1] if answers else "" if key in tags else "unsent"
            keys_by_status.setdefault(status, []).append(key)
        return keys_by_status
