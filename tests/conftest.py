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
# Latency objectives and stall detection take longer than PEER_TIMEOUT_SECONDS, so that they affect
# no test.
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
    """One end of a connection; reads complete messages, each within PEER_TIMEOUT_SECONDS."""

    def __init__(self, sock, parser):
        self.sock, self.parser, self.pending_messages = sock, parser, []
        sock.settimeout(PEER_TIMEOUT_SECONDS)

    def receive_message(self):
        """Returns the next message; None if the peer closed the connection."""
        while not self.pending_messages:
            chunk = self.sock.recv(65536)
            if not chunk:
                return None
            self.pending_messages.extend(self.parser.feed(chunk))
        return self.pending_messages.pop(0)

    def reset(self):
        """Closes the connection with a TCP reset."""
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
            assert (
                time.monotonic() < deadline
            ), f"no {verb} received within {PEER_TIMEOUT_SECONDS} s"
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


class Site:
    def __init__(self, tmp_path, limits=None, settings=None, **handed):
        self.kernel_port, self.index_port = (
            socket.create_server(("127.0.0.1", 0)) for _ in range(2)
        )
        self.catalog = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.catalog.bind(("127.0.0.1", 0))
        self.catalog.settimeout(PEER_TIMEOUT_SECONDS)
        where = {
            name: format_address(each.getsockname())
            for name, each in (
                ("kernel", self.kernel_port),
                ("index", self.index_port),
                ("directory", self.catalog),
            )
        }
        self.handed = (
            {
                "name": "n1",
                "listen": "127.0.0.1:0",
                "seed": "1f",
                "stop_ms": 1500,
                "limits": {"sockets": 512},
                "settings": SETTINGS | (settings or {}),
            }
            | where
            | handed
        )
        self.path = tmp_path / "config.json"
        self.limits, self.process, self.thread = limits or {}, None, None
        self.moved = [self.kernel_port, self.index_port]

    def start(self):
        """Starts the server in this process, with the event loop in its own thread."""
        self.event_loop, self.parts = build(self.handed, ObservedEventQueue(), **self.limits)
        self.thread = threading.Thread(target=self.event_loop.run, daemon=True)
        for each in [self.thread, *self.parts]:
            each.start()
        self.address = self.event_loop.listener.address
        return self

    def spawn(self, stderr=subprocess.PIPE):
        """Starts the server in a separate process, with the run line of the deploy file."""
        # The loopback address is unique to this process, so that no other test run and no outgoing
        # connection can take the free port before the server binds it.
        with socket.create_server(
            (f"127.77.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}", 0)
        ) as free:
            self.address = free.getsockname()
        self.path.write_text(json.dumps(self.handed | {"listen": format_address(self.address)}))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            stderr=stderr,
            cwd=ROOT,
            text=True,
            env=os.environ | {"ROUTER_CONFIG": str(self.path)},
        )
        return self

    def move(self, *names):
        """Opens new listeners for these peers and updates the configuration and its file."""
        for name in names:
            port = socket.create_server(("127.0.0.1", 0))
            self.moved.append(port)
            self.handed[name] = format_address(port.getsockname())
            setattr(self, f"{name}_port", port)
        self.path.write_text(json.dumps(self.handed | {"listen": format_address(self.address)}))

    def link(self, state="steady", ready=True):
        """Accepts a link as the executor and, if `ready`, completes the replay fence."""
        kernel = LinePeer(self.kernel_port, ("SCHED", "IODONE"))
        kernel.open_words = kernel.receive("OPEN")[0]
        if ready:
            kernel.send(f"BOOTED {state} 5000")
            words, _ = kernel.receive("SYSINFO")
            kernel.send(f"INFO {words[1]} 0.1 0")
        return kernel

    def calls(self):
        return LinePeer(self.index_port, ("GET",))

    def router(self):
        return ProxyClient(self.address)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.thread is not None and self.thread.is_alive():
            self.event_loop.event_queue.post(setattr, self.event_loop, "has_ended", True)
            self.thread.join(PEER_TIMEOUT_SECONDS)
            for part in self.parts:  # otherwise one could connect to the ports of another test
                part.close()
        for sock in (*self.moved, self.catalog):
            sock.close()


@pytest.fixture
def make_site(tmp_path):
    sites = []

    def make(**more):
        sites.append(Site(tmp_path, **more))
        return sites[-1]

    yield make
    for each in sites:
        each.end()


@pytest.fixture
def site(make_site):
    """A running server with a connected executor."""
    running = make_site().start()
    running.kernel = running.link()
    return running


def execute_request(site, proxy, tag, event_number, result=b"result", **more):
    """Executes a request; returns the words and body of its dispatch, and its response."""
    proxy.submit(tag, **more)
    words, body = site.kernel.receive("SCHED")
    site.kernel.send(f"REAP {event_number} {words[1]} success 3 {len(result)}", result)
    return words, body, proxy.receive_response()


NOTHING_IN_FLIGHT = "in_flight=0 open=0 running=0 calls=0 memory_kb=0"


def submit_until_call(site, proxy, tag, event_number):
    """Submits a request whose execution requests a dependency call; returns the request's id."""
    proxy.submit(tag, "look")
    request_id = site.kernel.receive("SCHED")[0][1]
    site.kernel.send(f"IOREQ {event_number} {request_id} 1", b"?")
    return request_id


def next_dispatched(site):
    """Returns the id of the next dispatched request."""
    return site.kernel.receive("SCHED")[0][1]


def wait_until_processed(proxy):
    """Waits until everything sent earlier is processed and all timers due by then have run."""
    proxy.send(b"PROBE", b"99")
    assert proxy.receive_response()[0] == 99


def finish_execution(site, event_number, request_id, result=b"result"):
    """Reports a successful execution from the executor."""
    site.kernel.send(f"REAP {event_number} {request_id} success 3 {len(result)}", result)


def request_call(site, event_number, request_id, body=b"?"):
    """Requests a dependency call from an execution; returns the connection that carries it."""
    site.kernel.send(f"IOREQ {event_number} {request_id} {len(body)}", body)
    dependency = site.calls()
    assert dependency.receive("GET")[1] == body
    return dependency


def control_clock(site):
    """Returns a function that advances the server's clock, which simulates a process stall."""
    ahead = [0]
    site.event_loop.clock = Clock(
        lambda: time.time_ns() + ahead[0], lambda: time.monotonic_ns() + ahead[0]
    )

    def move(seconds):
        ahead[0] += int(seconds * 1e9)

    return move


@pytest.fixture
def advance_clock(site):
    """Advances the server's clock and waits until the event loop has processed the change."""
    move = control_clock(site)

    def advance_clock(seconds):
        move(seconds)
        wait_until_processed(site.router())

    return advance_clock
