"""Stand-ins for the other side of one app server, for the cases under `review/`.

One process and one asyncio thread play the routers, the kernel, the index and the catalog as the
protocol page describes them. The app server is the project's own program, started by the `run`
line of `deploy/balancer.toml`. All that is sent, answered and run goes into `record.txt`.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
CASE_BROKEN, CASE_HELD, CASE_NOT_RUN = 1, 0, 2


def unix_ms() -> float:
    """The system's Unix clock in milliseconds."""
    return time.time_ns() / 1e6


class Record:
    """The record of a case: one line for each message, run and disruption."""

    def __init__(self, path: Path) -> None:
        """Opens the file anew."""
        self.file = path.open("w")
        self.started_at = unix_ms()

    def __call__(self, text: str) -> None:
        """Writes a line with the milliseconds since the start."""
        self.file.write(f"{unix_ms() - self.started_at:10.1f} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self.file.close()


@dataclass
class Try:
    """One try of a request: what the platform knows of it."""

    id: str
    class_name: str
    body: bytes
    key: str
    arrived_at: float
    wait_ms: float
    memory_kb: float
    router: int
    answers: list[tuple[float, str, bytes]] = field(default_factory=list)
    results: list[bytes] = field(default_factory=list)  # of its runs
    runs: list[float] = field(default_factory=list)  # start times
    withdrawn: bool = False
    connection_ended: str = ""  # how its connection ended before the answer
    on_connection: list["Try"] = field(default_factory=list)  # all tries of its connection
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_over(self) -> bool:
        """Whether an answer has reached the router, or the router no longer waits."""
        return bool(self.answers) or self.withdrawn or bool(self.connection_ended)

    @property
    def ran_on_connection(self) -> bool:
        """Whether anything was answered or run for its connection."""
        return any(each.answers or each.runs for each in self.on_connection)


@dataclass
class Run:
    """A run on the kernel."""

    request: Try
    calls_left: int
    calls_made: int
    started_at: float
    steps: list[float]  # work in milliseconds up to each call, then to the end
    remaining: float = 0.0
    waits_for_call: int = 0  # number of the notice
    expected_reply: bytes | None = None  # what the index has answered to this call


class Kernel:
    """The kernel: runs share the cores evenly; it keeps its notices for a new link.

    A `SCHED` runs the request unless the request is over or runs already, as the page says.
    """

    def __init__(self, site, cores: int, stop_mode: str) -> None:
        """`stop_mode` is that of the settings."""
        self.site, self.cores, self.stop_mode = site, cores, stop_mode
        self.writer: asyncio.StreamWriter | None = None
        self.notices: list[tuple[int, bytes]] = []
        self.number = 0
        self.runs: dict[str, Run] = {}
        self.clock = unix_ms()
        self.wake = asyncio.Event()
        self.links_lost = 0
        self.share_in_pieces = 0.0
        self.longest_gap_ms = 0.0
        self.queues: dict[asyncio.StreamWriter, asyncio.Queue[bytes]] = {}  # by link
        self.outgoing: asyncio.Queue[bytes] | None = None  # of the current link

    def set_pieces(self, share: float, longest_gap_ms: float) -> None:
        """Has this share of the messages arrive in two pieces, the second a little later."""
        self.share_in_pieces, self.longest_gap_ms = share, longest_gap_ms

    async def start(self) -> int:
        """Starts to work and to listen; returns the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.task = asyncio.create_task(self._work())
        return self.server.sockets[0].getsockname()[1]

    # The work

    def _active(self) -> list[Run]:
        return [run for run in self.runs.values() if not run.waits_for_call]

    def _advance(self) -> None:
        now = unix_ms()
        elapsed, self.clock = now - self.clock, now
        for run in [run for run in self.runs.values() if run.waits_for_call]:
            if run.request.is_over:
                self._end(run, "interrupted", b"")
        active = self._active()
        if not active:
            return
        share = min(1.0, self.cores / len(active))
        for run in active:
            run.remaining -= elapsed * share
        for run in active:
            if run.remaining <= 0:
                self._step_ended(run)

    def _step_ended(self, run: Run) -> None:
        request = run.request
        if run.calls_left:
            if request.is_over:
                self._end(run, "interrupted", b"")
                return
            run.calls_left -= 1
            run.calls_made += 1
            body = b"call %d of %b" % (run.calls_made, request.id.encode())
            run.waits_for_call = self.number + 1
            run.expected_reply = None
            self.site.record(f"kernel: {request.id} waits for call {run.calls_made}")
            self._notice("IOREQ", f"{request.id} {len(body)}", body)
        else:
            result = self.site.next_result(request)
            request.results.append(result)
            self._end(run, "success", result)

    def _end(self, run: Run, end: str, result: bytes) -> None:
        self.runs.pop(run.request.id, None)
        elapsed = unix_ms() - run.started_at
        self.site.record(f"kernel: {run.request.id} run ended: {end}")
        self._notice("REAP", f"{run.request.id} {end} {elapsed:.1f} {len(result)}", result)

    async def _work(self) -> None:
        while True:
            self._advance()
            active = self._active()
            delay = None
            if active:
                share = min(1.0, self.cores / len(active))
                delay = max(0.0005, min(run.remaining for run in active) / share / 1000)
            self.wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), delay)

    # The link

    def _notice(self, word: str, rest: str, body: bytes) -> None:
        self.number += 1
        data = f"{word} {self.number} {rest}\r\n".encode() + body + b"\r\n"
        self.notices.append((self.number, data))
        del self.notices[:-4000]
        self._send(data)

    def _send(self, data: bytes) -> None:
        if self.writer is None:
            return
        if self.share_in_pieces:
            self.outgoing.put_nowait(data)
        else:
            self.writer.write(data)

    async def _send_in_pieces(self, writer, outgoing: asyncio.Queue) -> None:
        """Writes the messages of one link in order, some in two pieces."""
        while True:
            data = await outgoing.get()
            if self.site.random.random() < self.share_in_pieces:
                cut = self.site.random.randrange(1, len(data))
                writer.write(data[:cut])
                await asyncio.sleep(self.site.random.random() * self.longest_gap_ms / 1000)
                data = data[cut:]
            if writer.is_closing():
                return
            writer.write(data)

    def break_link(self) -> None:
        """Breaks the link; what the kernel has not read of it is lost."""
        if self.writer is not None:
            self.site.record("DISRUPTION: the link to the kernel breaks")
            self.links_lost += 1
            self.writer.transport.abort()
            self.writer = None

    async def _serve(self, reader, writer) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.queues[writer] = asyncio.Queue()
        sender = asyncio.create_task(self._send_in_pieces(writer, self.queues[writer]))
        try:
            while line := await reader.readline():
                words = line.decode().split()
                body = b""
                if words[0] in ("SCHED", "IODONE"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                if words[0] == "OPEN":
                    self._open(writer, int(words[1]))
                elif writer is self.writer:
                    self._advance()
                    self._command(words, body)
                    self.wake.set()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            sender.cancel()
            del self.queues[writer]
            if self.writer is writer:
                self.writer = None
            writer.close()

    def _open(self, writer, last_read: int) -> None:
        """A new link takes the place of the one before; all notices after `last_read` follow."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = writer
        self.outgoing = self.queues[writer]
        self.site.record(f"kernel: link opened, OPEN {last_read}")
        self._send(b"BOOTED steady 60000\r\n")
        for number, data in self.notices:
            if number > last_read:
                self._send(data)
        self.site.kernel_up.set()

    def _command(self, words: list[str], body: bytes) -> None:
        word, tag = words[:2]
        if word == "SYSINFO":
            active = len(self._active())
            gauges = f"{min(1.0, active / self.cores):.2f} {active}"
            self._send(f"INFO {tag} {gauges}\r\n".encode())
            return
        if word == "POST":
            self._send(f"POSTED {tag} success\r\n".encode())
            return
        self.site.record(f"kernel: read {' '.join(words)}")
        request = self.site.tries.get(tag)
        is_valid = request is not None
        if is_valid and word == "SCHED":
            is_valid = (words[2], body) == (request.class_name, request.body)
            if is_valid:
                self._schedule(request)
        elif is_valid and word == "PREEMPT":
            self._preempt(request)
        elif is_valid:
            is_valid = self._call_ended(request, words, body)
        if not is_valid:
            self._send(f"EINVAL {word} {tag}\r\n".encode())

    def _schedule(self, request: Try) -> None:
        if request.id in self.runs:
            return
        if request.is_over:
            self._notice("REAP", f"{request.id} nothing 0 0", b"")
        else:
            self._begin(request)

    def _preempt(self, request: Try) -> None:
        run = self.runs.get(request.id)
        if run is not None and (self.stop_mode == "drop" or request.is_over):
            self._end(run, "interrupted", b"")

    def _call_ended(self, request: Try, words: list[str], body: bytes) -> bool:
        """Handles IODONE and NOIO; returns whether the command was valid."""
        run = self.runs.get(request.id)
        if run is None or not run.waits_for_call:
            return False
        if words[0] == "NOIO":
            if int(words[2]) == run.waits_for_call:
                self._resume(run)
            return True
        if run.expected_reply != body:
            self.site.foreign_replies.append((request.id, run.calls_made, body))
            self.site.record(
                f"FOREIGN: call {run.calls_made} of {request.id} gets {body!r}, "
                f"the index has answered {run.expected_reply!r}"
            )
        self._resume(run)
        return True

    def _begin(self, request: Try) -> None:
        request.runs.append(unix_ms())
        steps = self.site.next_steps()
        run = Run(request, len(steps) - 1, 0, unix_ms(), steps)
        run.remaining = steps[0]
        self.runs[request.id] = run
        self.site.record(f"kernel: {request.id} run {len(request.runs)} begins, key {request.key}")

    def _resume(self, run: Run) -> None:
        run.waits_for_call = 0
        run.remaining = run.steps[run.calls_made]


class Index:
    """The index: answers each call with a reply of its own."""

    def __init__(self, site, call_ms: float) -> None:
        """A call takes `call_ms` milliseconds."""
        self.site, self.call_ms = site, call_ms
        self.replies = 0

    async def start(self) -> int:
        """Starts to listen; returns the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        tasks = set()
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] != "GET":
                    continue
                body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                tasks.add(asyncio.create_task(self._answer(writer, words[1], body)))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for task in tasks:
                task.cancel()
            writer.close()

    async def _answer(self, writer, request_id: str, body: bytes) -> None:
        run = self.site.kernel.runs.get(request_id)
        number = run.waits_for_call if run is not None else 0
        await asyncio.sleep(self.call_ms / 1000)
        run = self.site.kernel.runs.get(request_id)
        if run is None or not number or run.waits_for_call != number:
            writer.write(f"{request_id} NOBODY\r\n".encode())
            return
        self.replies += 1
        reply = b"reply %d to " % self.replies + body
        run.expected_reply = reply
        self.site.record(f"index: {request_id} HIT {reply!r}")
        writer.write(f"{request_id} HIT {len(reply)}\r\n".encode() + reply + b"\r\n")


def encode(*parts: bytes) -> bytes:
    """Encodes a RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(
        b"$%d\r\n%b\r\n" % (len(part), part) for part in parts
    )


class Router:
    """A router with one connection at a time to the app server."""

    def __init__(self, site, number: int) -> None:
        """`number` is the number of the router; it connects when it sends."""
        self.site, self.number = site, number
        self.writer = None
        self.closing = False
        self.open: dict[int, Try] = {}
        self.tag = 0
        self.on_connection: list[Try] = []  # the tries sent on the current connection
        self.lock = asyncio.Lock()

    async def connect(self) -> None:
        """Opens a connection in place of the one before."""
        reader, self.writer = await asyncio.open_connection(*self.site.listen)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.closing, self.open, self.tag, self.on_connection = False, {}, 0, []
        self.reader_task = asyncio.create_task(self._read(reader, self.writer, self.open))

    async def send(self, request: Try) -> None:
        """Sends a try with the next tag."""
        async with self.lock:
            if self.writer is None or self.closing:
                await self.connect()
        self.tag += 1
        self.open[self.tag] = request
        self.on_connection.append(request)
        request.on_connection = self.on_connection
        request.arrived_at = unix_ms()
        values = {
            "i": request.id,
            "s": int(request.arrived_at),
            "f": self.number,
            "t": self.site.tenant,
            "d": int(request.wait_ms),
            "m": request.memory_kb,
            "p": "0.5",
        }
        if request.key:
            values["k"] = request.key
        text = ",".join(f"{name}={value}" for name, value in values.items())
        self.site.tries[request.id] = request
        self.site.record(f"router {self.number}: SUBMIT {self.tag} {request.class_name} {text}")
        self.writer.write(
            encode(
                b"SUBMIT",
                b"%d" % self.tag,
                request.class_name.encode(),
                text.encode(),
                request.body,
            )
        )

    def withdraw(self, request: Try) -> None:
        """Tells the app server that this router no longer waits for the try."""
        for tag, other in self.open.items():
            if other is request and not request.answers:
                request.withdrawn = True
                self.site.kernel.wake.set()
                self.site.record(f"router {self.number}: WITHDRAW {tag}")
                self.writer.write(encode(b"WITHDRAW", b"%d" % tag))

    async def withdraw_after(self, request: Try, wait_ms: float) -> None:
        """Withdraws a try for which this router no longer waits."""
        try:
            await asyncio.wait_for(request.done.wait(), wait_ms / 1000)
        except TimeoutError:
            self.withdraw(request)

    async def _read(self, reader, writer, open_requests) -> None:
        ending = "closed"
        try:
            while True:
                head = await reader.readline()
                if not head:
                    break
                parts = []
                for _ in range(int(head[1:])):
                    size = int((await reader.readline())[1:])
                    parts.append((await reader.readexactly(size + 2))[:-2])
                tag, word = int(parts[0]), parts[1].decode()
                if tag == 0:
                    self.site.record(f"router {self.number}: told to close")
                    if writer is self.writer:
                        self.closing = True
                    continue
                request = open_requests.pop(tag, None)
                body = parts[3] if len(parts) > 3 else b""
                fields = parts[2].decode() if len(parts) > 2 else ""
                self.site.record(
                    f"router {self.number}: {tag} {word} {fields} "
                    f"{request.id if request else '?'} body of {len(body)}"
                )
                if request is None:
                    self.site.record("BROKEN: an answer to no open request")
                    self.site.extra_answers.append(tag)
                    continue
                request.answers.append((unix_ms(), word, body))
                self.site.kernel.wake.set()
                request.done.set()
        except (OSError, asyncio.IncompleteReadError) as error:
            ending = f"ended: {error!r}"
        self.site.connections_ended += bool(open_requests)
        for request in open_requests.values():
            request.connection_ended = ending
            self.site.kernel.wake.set()
            request.done.set()
            self.site.record(f"router {self.number}: connection {ending} with {request.id} open")
        open_requests.clear()
        if self.writer is writer:
            self.writer = None
        writer.close()


class Site:
    """A small deployment: one app server and its stand-ins."""

    def __init__(self, case: Path, settings: dict, limits: dict, stop_ms: int = 3200) -> None:
        """`case` is the folder of the record; the other values go into the configuration."""
        self.record = Record(case / "record.txt")
        self.settings, self.limits, self.stop_ms = settings, limits, stop_ms
        self.tries: dict[str, Try] = {}
        self.foreign_replies: list = []
        self.extra_answers: list = []
        self.stalls: list[tuple[float, float]] = []
        self.connections_ended = 0  # by the app server, with requests open on them
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        # The work of a run in milliseconds, in one part more than it makes calls.
        self.next_steps: Callable[[], list[float]] = lambda: [30.0]
        self.result_bytes: Callable[[], int] = lambda: 100
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.tenant = settings["parties"][0]["name"]
        info = settings["family_info"]
        self.kernel = Kernel(self, info["cpus"], info["stop_mode"])
        self.index = Index(self, 20.0)
        self.kernel_up = asyncio.Event()
        self.process = None
        self.temporary = tempfile.TemporaryDirectory()

    # The processes

    async def start(self) -> None:
        """Starts the stand-ins and the app server; returns once it accepts connections."""
        kernel_port = await self.kernel.start()
        index_port = await self.index.start()
        self.catalog = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.catalog.bind(("127.0.0.1", 0))
        self.catalog.setblocking(False)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.listen = probe.getsockname()
        folder = Path(self.temporary.name)
        self.config_file = folder / "config.json"
        self.config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.listen[1]}",
            "kernel": f"127.0.0.1:{kernel_port}",
            "directory": f"127.0.0.1:{self.catalog.getsockname()[1]}",
            "index": f"127.0.0.1:{index_port}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": self.stop_ms,
            "limits": self.limits,
            "settings": self.settings,
        }
        self.config_file.write_text(json.dumps(self.config))
        (folder / "tmp").mkdir()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = dict(os.environ) | {
            "ROUTER_NAME": "n1",
            "ROUTER_LISTEN": self.config["listen"],
            "ROUTER_CONFIG": str(self.config_file),
            "TMPDIR": str(folder / "tmp"),
        }
        self.log = (folder / "log").open("w+")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        await asyncio.wait_for(self.kernel_up.wait(), 20)
        for _ in range(100):
            try:
                _, writer = await asyncio.open_connection(*self.listen)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.1)
        await asyncio.sleep(0.5)
        self.record(f"app server started, limits {self.limits}, trouble {self.trouble}")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the app server."""
        self.record(f"DISRUPTION: {number.name} to the app server")
        self.process.send_signal(number)

    async def stall(self, seconds: float) -> None:
        """Stops the app server for a moment and lets it go on."""
        begins = unix_ms()
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)
        self.stalls.append((begins, unix_ms()))

    def stalled_between(self, begin: float, end: float) -> float:
        """How long the app server was stalled between two times, in milliseconds."""
        return sum(max(0.0, min(end, last) - max(begin, first)) for first, last in self.stalls)

    async def stop(self) -> int | None:
        """Ends the app server by a drain; returns its exit code."""
        if self.process is None:
            return None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    self.record(f"most memory of the app server: {line}")
        code = self.process.returncode
        if code is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)
            try:
                code = await asyncio.wait_for(self.process.wait(), self.stop_ms / 1000 + 1)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        else:
            self.record(f"the app server has ended by itself with {code}")
        self.log.seek(0)
        for line in self.log:
            self.record("log: " + line.rstrip())
        self.log.close()
        return code

    def close_record(self, summary: str) -> None:
        """Ends the record with a summary, which is printed too."""
        self.record(summary)
        self.record.close()
        print(summary)

    def next_result(self, request: Try) -> bytes:
        """A result that names its run, filled up to the wanted size."""
        name = b"run %d of %b " % (len(request.runs), request.id.encode())
        return name + self.random.randbytes(max(0, self.result_bytes() - len(name)))

    def new_try(self, class_name: str, wait_ms: float, key: str = "", body: bytes = b"") -> Try:
        """A try with an id of its own, which has not been sent yet."""
        request_id = f"{self.random.getrandbits(64):016x}"
        return Try(request_id, class_name, body or b"body", key, 0.0, wait_ms, 20.0, 0)


def main(run_case) -> None:
    """Runs a case and exits with its verdict; 2 if it could not run."""

    async def guarded() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(run_case(), 112)

    try:
        code = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        raise SystemExit(CASE_NOT_RUN) from error
    raise SystemExit(code)
