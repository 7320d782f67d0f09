"""Starts the app server as the deploy file says, between stand-ins that follow PROTOCOL.md.

Used by the cases 6 to 10. Everything listens on loopback addresses and ports chosen by the system.
"""

from __future__ import annotations

import contextlib
import json
import os
import selectors
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# The slack that PROTOCOL.md adds to each time limit on sockets.
SOCKET_SLACK_MS = 50
MAX_SECONDS = 110.0  # a case that takes longer is ended
PARTIES = {  # name, allowance a second and share, by site
    "recife-main": [
        ("mar-azul", 86.0, 0.45),
        ("casa-caju", 61.0, 0.32),
        ("vila-linho", 44.0, 0.23),
    ],
    "coast-auction": [
        ("poti-main", 50.0, 0.41),
        ("batumi-pier", 48.0, 0.39),
        ("kobuleti-small", 24.0, 0.2),
    ],
    "pkg-bangkok": [
        ("khlong-tools", 69.0, 0.46),
        ("nakhon-web", 60.0, 0.4),
        ("ratchada-libs", 21.0, 0.14),
    ],
}


class CouldNotRunError(Exception):
    """The case cannot be played; the text says why."""


def format_address(address: tuple[str, int]) -> str:
    """Formats an address as the configuration has it."""
    return f"{address[0]}:{address[1]}"


def has_trouble() -> bool:
    """Whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def encode_array(*parts: bytes) -> bytes:
    """Encodes a RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


def take_array(data: bytes) -> tuple[list[bytes], bytes] | None:
    """Returns the first RESP array of the data and the rest, or None if it is incomplete."""
    line, sep, rest = data.partition(b"\r\n")
    if not sep:
        return None
    parts = []
    for _ in range(int(line[1:])):
        line, sep, rest = rest.partition(b"\r\n")
        if not sep or len(rest) < int(line[1:]) + 2:
            return None
        size = int(line[1:])
        parts.append(rest[:size])
        rest = rest[size + 2 :]
    return parts, rest


class Record:
    """The file `record.txt` of a case; may be written in any thread."""

    def __init__(self, folder: Path) -> None:
        """Creates the file anew."""
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._start = time.time()

    def __call__(self, text: str) -> None:
        """Writes a line, with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.time() - self._start:8.3f} {text}\n")
            self._file.flush()

    def both(self, text: str) -> None:
        """Writes a line, and prints it."""
        self(text)
        with contextlib.suppress(OSError):  # nobody reads the output any more
            print(text, flush=True)


class Kernel:
    """A sound kernel: runs what it is sent, each run for the time that `run_seconds` returns.

    Runs share no cores.
    """

    def __init__(
        self,
        record: Record,
        run_seconds: Callable[[str, bytes], float],
        result: Callable[[str, bytes], bytes] = lambda _class, body: b"ran " + body,
    ) -> None:
        """Listens on a free port, which `address` contains.

        Class and body of a request give the seconds and the result of its run.
        """
        self.record, self.run_seconds, self.result = record, run_seconds, result
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = format_address(self.listener.getsockname())
        self.lock = threading.Condition()
        self.link: socket.socket | None = None
        self.notices: list[bytes] = []
        self.runs: list[tuple[float, str, str, bytes]] = []  # begin (Unix time), id, class, body
        self.ends: dict[str, float] = {}  # monotonic time by id, of the runs that go on
        self.results: dict[str, bytes] = {}
        self.is_ended = False
        for target in (self._accept, self._finish):
            threading.Thread(target=target, daemon=True).start()

    def count(self, body: bytes) -> int:
        """How many runs were begun for requests with this body."""
        with self.lock:
            return sum(each[3] == body for each in self.runs)

    def restart(self) -> None:
        """Ends all runs without a notice, as a kernel does that is killed with its app server."""
        with self.lock:
            self.ends.clear()
            self.notices.clear()
            self.link = None

    def end(self) -> None:
        """Ends the threads and closes the sockets."""
        with self.lock:
            self.is_ended = True
            self.lock.notify_all()
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = sock.makefile("rb")
        try:
            while line := stream.readline():
                words = line.decode().split()
                body = b""
                if words[0] in ("SCHED", "IODONE"):
                    body = stream.read(int(words[-1]) + 2)[:-2]
                with self.lock:
                    self._command(sock, words, body)
        except OSError:
            pass

    def _command(self, sock: socket.socket, words: list[str], body: bytes) -> None:
        match words[0]:
            case "OPEN":
                self.link = sock
                sock.sendall(b"BOOTED steady 60000\r\n" + b"".join(self.notices[int(words[1]) :]))
            case "SYSINFO":
                sock.sendall(b"INFO %b 0.2 0\r\n" % words[1].encode())
            case "POST":
                sock.sendall(b"POSTED %b success\r\n" % words[1].encode())
            case "SCHED" if words[1] not in self.ends:
                seconds = self.run_seconds(words[2], body)
                self.runs.append((time.time(), words[1], words[2], body))
                self.ends[words[1]] = time.monotonic() + seconds
                self.results[words[1]] = self.result(words[2], body)
                self.record(f"kernel runs {words[1]} {words[2]} {body!r}")
                self.lock.notify_all()
            case "PREEMPT" if words[1] in self.ends:
                del self.ends[words[1]]
                self._notice(b"%b interrupted 1 0\r\n\r\n" % words[1].encode())

    def _notice(self, rest: bytes) -> None:
        data = b"REAP %d %b" % (len(self.notices) + 1, rest)
        self.notices.append(data)
        if self.link is not None:
            try:
                self.link.sendall(data)
            except OSError:
                self.link = None

    def _finish(self) -> None:
        with self.lock:
            while not self.is_ended:
                now = time.monotonic()
                for ident in [each for each, end in self.ends.items() if end <= now]:
                    del self.ends[ident]
                    result = self.results.pop(ident)
                    head = b"%b success 1 %d\r\n" % (ident.encode(), len(result))
                    self._notice(head + result + b"\r\n")
                first = min(self.ends.values(), default=None)
                self.lock.wait(None if first is None else max(0.0005, first - now))


class Sent:
    """A request that a router has written, and its answer."""

    def __init__(self, ident: str, sent_at: float) -> None:
        """`sent_at` is Unix time."""
        self.ident, self.sent_at = ident, sent_at
        self.word = ""  # empty: no answer
        self.answered_at = 0.0
        self.body = b""


class Router:
    """A router with one connection at a time, which it opens again when it has to."""

    def __init__(self, record: Record, address: tuple[str, int], number: int) -> None:
        """`number` is that of the router; nothing is connected yet."""
        self.record, self.address, self.number = record, address, number
        self.sock: socket.socket | None = None
        self.by_tag: dict[int, Sent] = {}
        self.tag = 0
        self.next_ident = number << 48
        self.sent: list[Sent] = []
        self.refused = 0  # connections that were refused
        self.lock = threading.Condition()

    def connect(self) -> bool:
        """Opens a connection; returns whether it was accepted."""
        try:
            sock = socket.create_connection(self.address, 2.0)
        except OSError:
            self.refused += 1
            return False
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.by_tag = sock, {}
        threading.Thread(target=self._read, args=(sock, self.by_tag), daemon=True).start()
        return True

    def _read(self, sock: socket.socket, by_tag: dict[int, Sent]) -> None:
        data = b""
        try:
            while chunk := sock.recv(65_536):
                data += chunk
                while (taken := take_array(data)) is not None:
                    parts, data = taken
                    self._answered(sock, by_tag, parts)
        except OSError:
            pass
        with self.lock:
            if self.sock is sock:
                self.sock = None
            self.lock.notify_all()
        sock.close()

    def _answered(self, sock: socket.socket, by_tag: dict[int, Sent], parts: list[bytes]) -> None:
        if parts[0] == b"0":  # closing: no new request on this connection
            with self.lock:
                if self.sock is sock:
                    self.sock = None
            return
        sent = by_tag.get(int(parts[0]))
        with self.lock:
            if sent is not None:
                if sent.word:
                    self.record(f"router {self.number}: SECOND answer to {sent.ident}")
                sent.word, sent.answered_at = parts[1].decode(), time.time()
                sent.body = parts[3] if len(parts) > 3 else b""
                self.record(f"router {self.number}: {sent.ident} {sent.word} {sent.body!r}")
            self.lock.notify_all()

    def probe(self) -> str:
        """Sends a health check on a connection of its own; returns the word of the answer."""
        with socket.create_connection(self.address, 2.0) as sock:
            sock.settimeout(2.0)
            sock.sendall(encode_array(b"PROBE", b"1", b"x=0"))
            data = b""
            while (taken := take_array(data)) is None:
                chunk = sock.recv(4096)
                if not chunk:
                    return ""
                data += chunk
            return taken[0][1].decode()

    def submit(self, group: str, body: bytes, wait_ms: int, tenant: str) -> Sent | None:
        """Writes a request; returns None if no connection was to be had."""
        if self.sock is None and not self.connect():
            return None
        sock = self.sock
        if sock is None:
            return None
        self.tag += 1
        self.next_ident += 1
        now = time.time()
        sent = Sent(f"{self.next_ident:016x}", now)
        fields = (
            f"i={sent.ident},s={int(now * 1000)},f={self.number},t={tenant},d={wait_ms},"
            "m=24.5,p=0.5"
        )
        self.by_tag[self.tag] = sent
        data = encode_array(b"SUBMIT", b"%d" % self.tag, group.encode(), fields.encode(), body)
        try:
            sock.sendall(data)
        except OSError:
            return None
        self.sent.append(sent)
        self.record(f"router {self.number}: sent {sent.ident} {group} {body!r}")
        return sent

    def wait_answered(self, sent: Sent, seconds: float) -> bool:
        """Waits for the answer to a request; returns whether it has come."""
        with self.lock:
            return self.lock.wait_for(lambda: bool(sent.word), seconds)


class BadClients:
    """Clients that each send a message, and come again on a new connection when they have to go.

    They send as fast as the app server takes it, and read what is sent to them.
    """

    def __init__(
        self,
        address: tuple[str, int],
        count: int,
        message: Callable[[], bytes],
        *,
        go_when_answered: bool,
    ) -> None:
        """Nothing is connected yet.

        Args:
            address: the address of the app server.
            count: how many of them there are at once.
            message: makes what one sends.
            go_when_answered: whether one goes as soon as anything has been sent to it; else it
                waits until its connection is closed.
        """
        self.address, self.count, self.message = address, count, message
        self.go_when_answered = go_when_answered
        self.closed_after: list[float] = []  # seconds until a client had to go
        self.is_stopped = False
        self._selector = selectors.DefaultSelector()

    def run(self, until: float = float("inf")) -> None:
        """Runs until this Unix time, or until `is_stopped` is set."""
        for _ in range(self.count):
            self._come()
        while not self.is_stopped and time.time() < until:
            for key, events in self._selector.select(0.1):
                try:
                    must_go = self._use(key, events)
                except BlockingIOError:
                    continue
                except OSError:
                    must_go = True
                if must_go:
                    self._go(key)
                    self._come()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()

    def _come(self) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.address)
        state = [memoryview(self.message()), time.monotonic()]
        self._selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, state)

    def _use(self, key: selectors.SelectorKey, events: int) -> bool:
        """Writes and reads; returns whether the client has to go."""
        if events & selectors.EVENT_WRITE:
            key.data[0] = key.data[0][key.fileobj.send(key.data[0]) :]
            if not key.data[0]:
                self._selector.modify(key.fileobj, selectors.EVENT_READ, key.data)
        if not events & selectors.EVENT_READ:
            return False
        return not key.fileobj.recv(65_536) or self.go_when_answered

    def _go(self, key: selectors.SelectorKey) -> None:
        self.closed_after.append(time.monotonic() - key.data[1])
        self._selector.unregister(key.fileobj)
        key.fileobj.close()


class AppServer:
    """One app server in a folder of its own, started by `run` of the deploy file."""

    def __init__(
        self,
        record: Record,
        kernel: Kernel,
        settings: dict,
        *,
        memory_mb: int = 192,
        sockets: int = 512,
        stop_ms: int = 3200,
        operator_file: str = "",
        files: dict[str, bytes] | None = None,
    ) -> None:
        """Writes the configuration and the operator's file; `files` are created with mode 0600."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        for name in (".venv", "lilacwalk"):
            (self.folder / name).symlink_to(ROOT / name)
        (self.folder / "deploy").mkdir()
        deploy = (ROOT / "deploy/balancer.toml").read_text()
        self.run_line = tomllib.loads(deploy)["run"]
        for name, content in (files or {}).items():
            (self.folder / name).write_bytes(content)
            (self.folder / name).chmod(0o600)
        operator_file = operator_file.replace("FOLDER", str(self.folder))
        (self.folder / "deploy/lilacwalk.conf").write_text(operator_file)
        registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        registry.bind(("127.0.0.1", 0))  # takes the reports; they have no answer
        self.registry = registry
        self.address = free_address()
        self.stop_ms = stop_ms
        config = {
            "name": "n1",
            "listen": format_address(self.address),
            "kernel": kernel.address,
            "directory": format_address(registry.getsockname()),
            "seed": "8c1f30d27a5be964",
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "settings": settings,
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process, and waits until it answers a health check."""
        self.log = open(self.folder / "log", "a")  # noqa: SIM115
        environment = os.environ | {
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "PYTHONPATH": os.environ.get("EDGE_LIBRARIES", ""),
        }
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", self.run_line],
            cwd=self.folder,
            env=environment,
            stderr=self.log,
            stdout=self.log,
        )
        router = Router(self.record, self.address, 900)
        limit = time.monotonic() + 30
        while time.monotonic() < limit and self.process.poll() is None:
            try:
                if router.probe() == "healthy":
                    time.sleep(0.3)
                    self.record("app server is ready")
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CouldNotRunError(self.log_text()[-500:])

    def log_text(self) -> str:
        """What the app server has logged so far."""
        return (self.folder / "log").read_text(errors="replace")

    def end(self) -> None:
        """Kills the process and removes the folder; the log is copied into the record."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        for line in self.log_text().splitlines()[:200]:
            self.record(f"log {line[:400]}")
        self.registry.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_address() -> tuple[str, int]:
    """An address of this process's own in 127.0.0.0/8, with a port that is free now."""
    host = f"127.{90 + os.getpid() % 100}.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}"
    with socket.create_server((host, 0)) as sock:
        return sock.getsockname()


def settings(site: str, classes: list[dict], **changes: object) -> dict:
    """Settings of a small deployment with the customers of this site.

    Figures that a case does not need otherwise are those of recife-main.
    """
    info = {
        "below": "silent",
        "cpus": 6,
        "ram_kb": 17274.0,
        "run_factor": 4.0,
        "stop_mode": "drop",
        "advert": "tokens",
        "said_for_ms": 1000.0,
        "key_kb": 10.0,
        "gauges": ["core_use", "on_cores"],
        "caller_idle_ms": 30000.0,
        "callers": 3,
        "passes_deadline": True,
        "cancel_seen": True,
    }
    return {
        "classes": classes,
        "parties": [
            {"name": name, "allowance_per_s": allowance, "share": share}
            for name, allowance, share in PARTIES[site]
        ],
        "family_info": info,
        "limits": {"retry_after": True, "max_retry_after_ms": 1000.0},
        "rules": {
            "answer_slack_ms": 100.0,
            "cold_share": 0.29,
            "drain_grace_ms": 2500.0,
            "fall_ms": 2000.0,
            "tip_multiple": 8.0,
            "warm_up_ms": 15000.0,
        },
        "replicas_of_me": 12,
        "value_by": "work",
        "over_share_worth": 0.1,
    } | changes


def run_case(folder: str, play: Callable[[Record], int]) -> None:
    """Runs a case and exits with its code; an unexpected error means that it could not run."""
    record = Record(Path(folder))
    # The case then ends what it has started, as after an error.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    threading.Timer(MAX_SECONDS, os.kill, (os.getpid(), signal.SIGTERM)).start()
    code = COULD_NOT_RUN
    try:
        code = play(record)
    except Exception:
        record.both(traceback.format_exc())
        raise
    finally:
        texts = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}
        record.both(texts.get(code, "the case could not run"))
        os._exit(code)
