"""A harness for app server tests: the peers of an app server, on loopback ports."""

import json
import os
import socket
import subprocess
import threading
import time
import tomllib
from itertools import count
from pathlib import Path

import pytest

from lilacwalk.event_queue import EventQueue
from lilacwalk.protocols.lines import LineParser
from lilacwalk.protocols.resp import RespParser, encode_array
from lilacwalk.server.clock import Clock
from lilacwalk.server.startup import build

ROOT = Path(__file__).parent.parent
PEER_TIMEOUT_SECONDS = 10.0  # a peer that receives nothing for this long fails its test
# The latency objectives of the classes that tests use exceed PEER_TIMEOUT_SECONDS, so that they
# affect no test. No test uses the class "quick": its objective, the shortest one, sets the initial
# mean execution time (a quarter of it, 2 s), on which stall detection depends.
SETTINGS = {
    "classes": [
        {
            "name": "read",
            "aim_ms": 60000.0,
            "hard_limit_ms": 60000.0,
            "effect": "safe",
            "worth": 1.0,
        },
        {
            "name": "look",
            "aim_ms": 60000.0,
            "hard_limit_ms": 60000.0,
            "effect": "safe",
            "worth": 1.0,
        },
        {
            "name": "once",
            "aim_ms": 60000.0,
            "hard_limit_ms": 60000.0,
            "effect": "keyed",
            "worth": 1.0,
            "dedup_window_ms": 60000.0,
        },
        {
            "name": "quick",
            "aim_ms": 8000.0,
            "hard_limit_ms": 60000.0,
            "effect": "safe",
            "worth": 1.0,
        },
    ],
    "parties": [{"name": "acme", "allowance_per_s": 100.0}],
    "family_info": {
        "below": "common",
        "calls_by_class": [False, True, False],
        "call_share": 8.0,
        "calls_over_ms": 5000.0,
        "class_skip_worth": [0.0, 0.0, 0.0],
        "cpus": 4,
        "ram_kb": 1e6,
        "run_factor": 2.0,
        "stop_mode": "drop",
        "advert": "tokens",
        "key_kb": 1.0,
        "gauges": ["core_use", "on_cores"],
        "caller_idle_ms": 30000.0,
    },
    "limits": {"retry_after": True, "max_retry_after_ms": 1000.0},
    "rules": {"drain_grace_ms": 100.0, "tip_multiple": 8.0},
}


class MessagePeer:
    """One end of a connection; a read fails if nothing arrives within PEER_TIMEOUT_SECONDS."""

    def __init__(self, sock, parser):
        self.sock, self.parser, self.pending_messages = sock, parser, []
        sock.settimeout(PEER_TIMEOUT_SECONDS)

    def receive_message(self):
        """Returns the next message; None if the other end closed the connection."""
        while not self.pending_messages:
            chunk = self.sock.recv(65536)
            if not chunk:
                return None
            self.pending_messages.extend(self.parser.feed(chunk))
        return self.pending_messages.pop(0)

    def reset(self):
        """Closes the connection with a TCP reset, which a linger time of 0 causes."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


class ProxyClient(MessagePeer):
    request_ids = count(1 << 32)  # above the ids that tests choose themselves

    def __init__(self, address):
        super().__init__(
            socket.create_connection(address, PEER_TIMEOUT_SECONDS), RespParser(8, 65536, 65536)
        )

    @staticmethod
    def encode_submit(tag, class_name="read", body=b"hello", **fields):
        """Returns an encoded SUBMIT message; a field given as None is left out."""
        fields = {
            "i": f"{next(ProxyClient.request_ids):016x}",
            "s": int(time.time() * 1000),
            "t": "acme",
            "d": 50000,
            "m": "8.0",
            "p": "0.5",
        } | fields
        text = ",".join(f"{name}={value}" for name, value in fields.items() if value is not None)
        return encode_array(b"SUBMIT", b"%d" % tag, class_name.encode(), text.encode(), body)

    def submit(self, tag, class_name="read", body=b"hello", **fields):
        self.sock.sendall(self.encode_submit(tag, class_name, body, **fields))

    def send(self, *parts):
        self.sock.sendall(encode_array(*parts))

    def receive_response(self):
        """Returns tag, status, fields and body of the next response; None if the server closed."""
        parts = self.receive_message()
        if parts is None:
            return None
        tag, status, fields, body = [bytes(part) for part in [*parts, b"", b""][:4]]
        pairs = dict(pair.split("=") for pair in fields.decode().split(",") if pair)
        return int(tag), status.decode(), pairs, body


class LinePeer(MessagePeer):
    """The executor's end of its link, or the dependency's end of a connection."""

    def __init__(self, listener, verbs_with_body):
        listener.settimeout(PEER_TIMEOUT_SECONDS)
        super().__init__(
            listener.accept()[0], LineParser(lambda words: words[0] in verbs_with_body, 512, 65536)
        )

    def send(self, line, body=None):
        self.sock.sendall(line.encode() + b"\r\n" + (body + b"\r\n" if body is not None else b""))

    def receive(self, verb):
        """Returns words and body of the next message with this verb; None if the server closed.

        Responds to gauge requests and ignores all other messages before it.
        """
        deadline = time.monotonic() + PEER_TIMEOUT_SECONDS
        while (message := self.receive_message()) is not None:
            words, body = message
            assert time.monotonic() < deadline, f"no {verb} within {PEER_TIMEOUT_SECONDS} s"
            if words[0] == "SYSINFO" and verb != "SYSINFO":
                self.send(f"INFO {words[1]} 0.1 0")
            if words[0] == verb:
                return words, None if body is None else bytes(body)
        return None


def format_address(address):
    return f"{address[0]}:{address[1]}"


class ObservedEventQueue(EventQueue):
    """Counts the items added to the queue, so that a test can wait for them."""

    def __init__(self):
        super().__init__()
        self.added_items = threading.Semaphore(0)

    def put(self, item):
        super().put(item)
        self.added_items.release()

    def process_in_one_iteration(self, *functions):
        """Has one event loop iteration process the items that the functions add, in this order.

        The event loop is blocked until each function has led to an item in the queue.
        """
        loop_blocked, loop_released = threading.Event(), threading.Event()
        self.post(lambda: (loop_blocked.set(), loop_released.wait(PEER_TIMEOUT_SECONDS)))
        assert loop_blocked.wait(PEER_TIMEOUT_SECONDS)
        while self.added_items.acquire(blocking=False):
            pass
        for function in functions:
            function()
            assert self.added_items.acquire(timeout=PEER_TIMEOUT_SECONDS)
        loop_released.set()


# The attribute of each peer's socket, by the configuration key of its address.
PEER_SOCKET_ATTRIBUTES = {
    "kernel": "executor_listener",
    "index": "dependency_listener",
    "directory": "registry",
}


class AppServerHarness:
    """An app server with its peers: executor, dependency, service registry and proxies.

    `limits` is used only if the server runs in this process. Further keywords replace the values
    of configuration keys.
    """

    def __init__(self, tmp_path, limits=None, settings=None, **process_config):
        self.executor_listener, self.dependency_listener = (
            socket.create_server(("127.0.0.1", 0)) for _ in range(2)
        )
        self.registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.registry.bind(("127.0.0.1", 0))
        self.registry.settimeout(PEER_TIMEOUT_SECONDS)
        peer_addresses = {
            key: format_address(getattr(self, attribute).getsockname())
            for key, attribute in PEER_SOCKET_ATTRIBUTES.items()
        }
        self.process_config = (
            {
                "name": "n1",
                "listen": "127.0.0.1:0",
                "seed": "1f",
                "stop_ms": 1500,
                "limits": {"sockets": 512},
                "settings": SETTINGS | (settings or {}),
            }
            | peer_addresses
            | process_config
        )
        self.config_path = tmp_path / "config.json"
        self.limits, self.process, self.thread, self.parts = limits or {}, None, None, []
        self.listeners = [self.executor_listener, self.dependency_listener]

    def start(self):
        """Starts the server in this process, with the event loop in its own thread."""
        self.event_loop, self.parts = build(
            self.process_config, ObservedEventQueue(), **self.limits
        )
        self.thread = threading.Thread(target=self.event_loop.run, daemon=True)
        for startable in [self.thread, *self.parts]:
            startable.start()
        self.address = self.event_loop.listener.address
        return self

    def spawn(self, stderr=subprocess.PIPE):
        """Starts the server in a separate process, with the run line of the deploy file."""
        # The loopback address is unique to this process, so that no other test run and no outgoing
        # connection can take the free port before the server binds it.
        with socket.create_server(
            (f"127.77.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}", 0)
        ) as free_port_socket:
            self.address = free_port_socket.getsockname()
        self._write_config()
        run_line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_line],
            stderr=stderr,
            cwd=ROOT,
            text=True,
            env=os.environ | {"ROUTER_CONFIG": str(self.config_path)},
        )
        return self

    def replace_listeners(self, *keys):
        """Replaces the listeners with these configuration keys; writes the configuration file."""
        for key in keys:
            listener = socket.create_server(("127.0.0.1", 0))
            self.listeners.append(listener)
            self.process_config[key] = format_address(listener.getsockname())
            setattr(self, PEER_SOCKET_ATTRIBUTES[key], listener)
        self._write_config()

    def _write_config(self):
        self.config_path.write_text(
            json.dumps(self.process_config | {"listen": format_address(self.address)})
        )

    def accept_executor_link(self, state="steady", ready=True):
        """Accepts a link as the executor and, if `ready`, completes the replay fence.

        The replay fence is the server's first gauge request on a link. Its response shows that the
        executor has replayed all its events.
        """
        executor = LinePeer(self.executor_listener, ("SCHED", "IODONE"))
        executor.open_words = executor.receive("OPEN")[0]
        if ready:
            executor.send(f"BOOTED {state} 5000")
            words, _ = executor.receive("SYSINFO")
            executor.send(f"INFO {words[1]} 0.1 0")
        return executor

    def accept_dependency_connection(self):
        return LinePeer(self.dependency_listener, ("GET",))

    def connect_proxy(self):
        return ProxyClient(self.address)

    def end(self):
        """Ends the server and closes the listeners."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.thread is not None and self.thread.is_alive():
            self.event_loop.event_queue.post(setattr, self.event_loop, "has_ended", True)
            self.thread.join(PEER_TIMEOUT_SECONDS)
        # The components are closed even if the event loop has ended by itself: an executor client
        # that is not closed reconnects forever, and would connect to another test that was given
        # the same port.
        for part in self.parts:
            part.close()
        for sock in (*self.listeners, self.registry):
            sock.close()


@pytest.fixture(autouse=True)
def executor_readers_end_with_their_test():
    """Fails a test that leaves a thread running which reconnects to its executor forever.

    Such a thread would connect to a later test that is given the same port, and send nothing.
    """
    earlier_threads = set(threading.enumerate())
    yield
    for thread in set(threading.enumerate()) - earlier_threads:
        if thread.name == "executor-reader":
            thread.join(PEER_TIMEOUT_SECONDS)
            assert not thread.is_alive()


@pytest.fixture
def make_harness(tmp_path):
    """Creates harnesses that are ended after the test."""
    harnesses = []

    def make(**options):
        harnesses.append(AppServerHarness(tmp_path, **options))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.end()


@pytest.fixture
def harness(make_harness):
    """A running server with a connected executor."""
    harness = make_harness().start()
    harness.executor = harness.accept_executor_link()
    return harness


def execute_request(harness, proxy, tag, event_number, result=b"result", **submit_options):
    """Executes a request; returns the words and body of its dispatch, and its response.

    The executor reports the end of the execution in its event `event_number`.
    """
    proxy.submit(tag, **submit_options)
    words, body = harness.executor.receive("SCHED")
    finish_execution(harness, event_number, words[1], result)
    return words, body, proxy.receive_response()


NOTHING_IN_FLIGHT = "in_flight=0 open=0 running=0 calls=0 memory_kb=0"


def submit_until_dependency_call(harness, proxy, tag, event_number):
    """Submits a request whose execution requests a dependency call; returns the request's id."""
    proxy.submit(tag, "look")
    request_id = next_dispatched_id(harness)
    harness.executor.send(f"IOREQ {event_number} {request_id} 1", b"?")
    return request_id


def next_dispatched_id(harness):
    """Returns the id of the next dispatched request."""
    return harness.executor.receive("SCHED")[0][1]


def wait_until_processed(proxy):
    """Waits until the server has processed all earlier messages of this proxy.

    All timers that are due by then have run as well.
    """
    proxy.send(b"PROBE", b"99")
    assert proxy.receive_response()[0] == 99


def finish_execution(harness, event_number, request_id, result=b"result"):
    """Reports a successful execution from the executor."""
    harness.executor.send(f"REAP {event_number} {request_id} success 3 {len(result)}", result)


def request_dependency_call(harness, event_number, request_id, body=b"?"):
    """Requests a dependency call from an execution; returns the connection that carries it."""
    harness.executor.send(f"IOREQ {event_number} {request_id} {len(body)}", body)
    dependency = harness.accept_dependency_connection()
    assert dependency.receive("GET")[1] == body
    return dependency


def control_clock(harness):
    """Returns a function that advances the server's clock, to simulate a pause of the process."""
    offset_ns = [0]
    harness.event_loop.clock = Clock(
        lambda: time.time_ns() + offset_ns[0], lambda: time.monotonic_ns() + offset_ns[0]
    )

    def advance(seconds):
        offset_ns[0] += int(seconds * 1e9)

    return advance


@pytest.fixture
def advance_clock(harness):
    """Advances the server's clock and waits until the event loop has processed the change."""
    advance = control_clock(harness)

    def advance_clock(seconds):
        advance(seconds)
        wait_until_processed(harness.connect_proxy())

    return advance_clock
