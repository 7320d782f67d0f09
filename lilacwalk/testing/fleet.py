"""Real processes of the program as members of a fleet, a switch between them, and what each believes over
time.

Each member has a directory with its file, log and store. `kind` says what it is: `fleet run`, or a whole
app server with a stand-in kernel. Faults: processes killed, stopped, continued, started cold; links cut one
way or both, lossy, slow, doubling, with a member's BGP session through the same link; disks filled (by a
limit on file size set in the child), or made unreadable; clocks that are off, or jump
(`testing/process_launcher.py`)."""

from __future__ import annotations

import json
import resource
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

from lilacwalk.protocols.admin_socket import query
from lilacwalk.testing.bgp_router import BgpRouter, RouterBehaviour
from lilacwalk.testing.datagram_switch import Faults, Stream, Switch
from lilacwalk.testing.dependency import SharedDependency
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.site_settings import make_process_config

ROOT = Path(__file__).parent.parent.parent
LOOK = 0.05  # seconds between two looks at what all believe
STARTING = 15.0  # seconds a process may take until it answers: a failure, never a wait


@dataclass(eq=False, slots=True)
class Process:
    name: str
    site: str
    directory: Path
    listen_address: tuple[str, int]
    advertised_address: tuple[str, int]
    seeds: tuple[str, ...]
    popen: subprocess.Popen | None = None
    stopped: bool = False
    full: bool = False
    executor: StandInExecutor | None = None
    dependency: SharedDependency | None = None  # shared: ended by whoever made it
    call_share: float = 0.0  # its part of the calls in hand that the index survives
    starts: int = 0
    reserved_socket: socket.socket | None = None  # its port, until its first start
    extra: str = ""  # further lines of its file
    configured_name: str = ""  # the name in its file, where it is another
    cpus: int = 2  # of a whole app server
    max_retry_after_ms: float = 1000.0  # the longest that its denials may tell
    router: BgpRouter | None = None  # the stand-in that it announces to
    stream: Stream | None = None  # the link to it
    clock: Path | None = None  # how far its clock is off, in seconds; None: it is the machine's
    iteration_times_path: Path | None = None  # where it records how long its passes take

    @property
    def running(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    @property
    def socket(self) -> str:
        return str(self.directory / "s")

    @property
    def file(self) -> Path:
        return self.directory / "conf"


@dataclass(frozen=True, slots=True)
class Observation:
    at: float  # seconds since the rig began
    name: str
    shown: dict


@dataclass(eq=False)
class ProcessFleet:
    """`interval_ms`: the probe interval. Ended by `end`, which leaves nothing behind but what `keep`
    names."""

    seed: int = 1
    interval_ms: int = 200
    kind: str = "run"
    keep: str | None = None
    store: bool = True
    program: tuple[str, ...] = ("lilacwalk",)  # the module that is started, with its words
    processes: dict[str, Process] = field(default_factory=dict)
    observations: list[Observation] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.directory = Path(
            tempfile.mkdtemp(prefix="lw-")
        )  # short: a Unix socket's path has 107 bytes at most
        self.key = self.directory / "key"
        self.write_keys(secrets.token_hex(32))
        self.switch = Switch(self.seed)
        self.began = time.monotonic()

    # Members

    def write_keys(self, *keys: str) -> None:
        self.key.write_text("\n".join(keys) + "\n")
        self.key.chmod(0o600)

    def add(
        self,
        name: str,
        site: str = "recife",
        seeds: Iterable[str] = (),
        extra: str = "",
        configured_name: str = "",
    ) -> Process:
        place = self.directory / name
        place.mkdir()
        # Held until the process takes it: let go at once, it may become the switch's port for another.
        held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held.bind(("127.0.0.1", 0))
        real = held.getsockname()
        told = self.switch.add(name, real)
        made = Process(
            name,
            site,
            place,
            real,
            told,
            tuple(seeds),
            extra=extra,
            configured_name=configured_name,
            reserved_socket=held,
        )
        self.processes[name] = made
        return made

    def write(self, each: Process) -> None:
        places = [
            self.processes[seed].advertised_address for seed in each.seeds if seed != each.name
        ]
        seeds = "\n".join(f"    seed {host}:{port}" for host, port in places)
        store = f"    store {each.directory}/store\n" if self.store else ""
        each.file.write_text(
            f"fleet {{\n    name {each.configured_name or each.name}\n    site {each.site}\n"
            f"    listen {each.listen_address[0]}:{each.listen_address[1]}\n    advertise {each.advertised_address[0]}:{each.advertised_address[1]}\n"
            f"    key {self.key}\n{seeds}\n    probe-interval {self.interval_ms}ms\n"
            f"    socket {each.socket}\n{store}}}\n{each.extra}"
        )

    def start(self, *names: str, wait: bool = True, state: str = "ready") -> None:
        for name in names:
            each = self.processes[name]
            if each.running:
                raise ValueError(f"{name} runs already")
            each.starts += 1
            if each.reserved_socket is not None:
                each.reserved_socket.close()
                each.reserved_socket = None
            self.write(each)
            each.stopped = False
            arguments = [sys.executable, "-B", "-m", *self._launched(each)]
            if self.kind == "serve":
                arguments += [
                    "serve",
                    "--config",
                    str(self._handed(each)),
                    "--file",
                    str(each.file),
                ]
            else:
                arguments += ["fleet", "run", "--file", str(each.file)]
            each.popen = subprocess.Popen(
                arguments,
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                preexec_fn=no_room if each.full else None,
            )
            # through a pipe: a process whose files may not grow still has something to say
            threading.Thread(
                target=copy, args=(each.popen.stdout, each.directory / "log"), daemon=True
            ).start()
            if self.kind == "run":
                self.tell(name, state)
        if wait:
            for name in names:
                self.wait(
                    lambda name=name: self.show(name) is not None, STARTING, f"{name} answers"
                )

    def _launched(self, each: Process) -> list[str]:
        if each.clock is None and each.iteration_times_path is None:
            return list(self.program)
        words = ["lilacwalk.testing.process_launcher"]
        for word, path in (("--clock", each.clock), ("--passes", each.iteration_times_path)):
            words += [word, str(path)] if path is not None else []
        return [*words, "--"]

    def add_router(self, name: str, service: str, hold: int = 3) -> str:
        """Gives it a stand-in router, with a link of its own that can be cut; the announce block for its
        file."""
        each = self.processes[name]
        each.router = BgpRouter(RouterBehaviour(hold=hold, enforces_hold_time=True))
        each.stream = Stream(each.router.address)
        host, port = each.stream.address
        return (
            f"announce {{\n    as 65010\n    router-id 127.0.0.1\n    next-hop 127.0.0.1\n"
            f"    ready-for 100ms\n    hold-time {hold}s\n    service {service}\n"
            f"    peer {host}:{port} {{\n        as 65020\n        connect-retry 100ms\n    }}\n}}\n"
        )

    def _handed(self, each: Process) -> Path:
        if each.executor is None:
            each.executor = StandInExecutor(2)
        given = make_process_config(each.executor.address) | {
            "name": each.configured_name or each.name
        }
        info = given["settings"]["family_info"]
        info["cpus"] = each.cpus
        given["settings"]["limits"]["max_retry_after_ms"] = each.max_retry_after_ms
        if each.dependency is not None:
            given["index"] = "{}:{}".format(*each.dependency.address)
            groups = [group["name"] for group in given["settings"]["classes"]]
            info |= {
                "below": "common",
                "calls_by_class": [name in each.executor.calls for name in groups],
                "call_share": each.call_share,
                "calls_over_ms": 1000.0,
            }
        path = each.directory / "handed.json"
        path.write_text(json.dumps(given))
        return path

    def tell(self, name: str, state: str) -> None:
        each = self.processes[name]
        assert each.popen is not None and each.popen.stdin is not None
        each.popen.stdin.write(f"{state}\n".encode())
        each.popen.stdin.flush()

    # Faults

    def kill(self, *names: str) -> None:
        """All at once, then waited for."""
        running = [each for name in names if (each := self.processes[name]).running]
        for each in running:
            each.popen.kill()
        for each in running:
            each.popen.wait()

    def stop(self, *names: str) -> None:
        for name in names:
            self.processes[name].popen.send_signal(signal.SIGSTOP)
            self.processes[name].stopped = True

    def resume(self, *names: str) -> None:
        for name in names:
            self.processes[name].popen.send_signal(signal.SIGCONT)
            self.processes[name].stopped = False

    def leave(self, *names: str) -> list[int]:
        """The exit codes."""
        for name in names:
            self.processes[name].popen.terminate()
        return [self.processes[name].popen.wait(STARTING) for name in names]

    def cut(self, one: Iterable[str], other: Iterable[str], both: bool = True) -> None:
        others = list(other)
        for here in one:
            for there in others:
                self.switch.faults(here, there).cut = True
                if both:
                    self.switch.faults(there, here).cut = True

    def unplug(self, *names: str) -> None:
        """Their whole link breaks: to all other members and to their routers. Among themselves they are
        heard."""
        self.cut(names, [name for name in self.processes if name not in names])
        for name in names:
            if (stream := self.processes[name].stream) is not None:
                stream.cut()

    def set_clock(self, name: str, seconds: float) -> None:
        """Off by so much from now on, in a process whose `clock` was named before its start; or from its next
        start on."""
        each = self.processes[name]
        if each.clock is None:
            each.clock = each.directory / "clock"
        each.clock.write_text(f"{seconds}")

    def impair(self, name: str, **faults: float) -> None:
        self.switch.ports[name].faults = Faults(**faults)

    def heal(self) -> None:
        self.switch.heal()
        for each in self.processes.values():
            if each.stream is not None:
                each.stream.cut(False)

    def fill(self, name: str, full: bool = True) -> None:
        """Its disk, for this process from now on, or for its next start."""
        each = self.processes[name]
        each.full = full
        if each.running:
            room = 0 if full else resource.RLIM_INFINITY
            resource.prlimit(each.popen.pid, resource.RLIMIT_FSIZE, (room, resource.RLIM_INFINITY))

    # What they believe

    def show(self, name: str) -> dict | None:
        each = self.processes[name]
        if not each.running or each.stopped:
            return None
        try:
            found = query(each.socket, "show")
        except (OSError, ValueError):
            return None
        if not isinstance(found, dict) or "error" in found:
            return None
        self.observations.append(Observation(time.monotonic() - self.began, name, found))
        return found

    def up(self) -> list[str]:
        return [each.name for each in self.processes.values() if each.running and not each.stopped]

    def all_shown(self, names: Iterable[str] | None = None) -> dict[str, dict | None]:
        return {name: self.show(name) for name in (self.up() if names is None else names)}

    def settled(self, names: Iterable[str] | None = None) -> bool:
        """All digests equal, all say that they are settled, and what they say is true."""
        names = list(self.up() if names is None else names)
        true = {self.processes[name].configured_name or name for name in names}
        found = self.all_shown(names)
        shown = [each for each in found.values() if each is not None]
        if len(shown) < len(names) or len({each["digest"] for each in shown}) != 1:
            return False
        return all(each["settled"] for each in shown) and all(
            present(each) == true for each in shown
        )

    def healths(self, of: str, by: Iterable[str] | None = None) -> dict[str, str]:
        found = {}
        for name, shown in self.all_shown(by).items():
            if shown is not None and name != of:
                rows = {row["name"]: row["health"] for row in shown["members"]}
                found[name] = rows.get(of, "unknown")
        return found

    def wait(self, reached: Callable[[], bool], most: float, what: str) -> float:
        """How long it took, in seconds. Raises TimeoutError."""
        began = time.monotonic()
        while not reached():
            if time.monotonic() - began > most:
                raise TimeoutError(f"not within {most:g} s: {what}")
            time.sleep(LOOK)
        return time.monotonic() - began

    def log(self, name: str) -> str:
        return (self.processes[name].directory / "log").read_text()

    def address(self, name: str, event: str = "event=started") -> tuple[str, int]:
        """Where a whole app server takes exchanges, in this life; or, by another event of its log, listens
        besides. Raises IndexError before it says so."""
        started = [line for line in self.log(name).splitlines() if event in line]
        host, port = (
            started[self.processes[name].starts - 1].split("listen=")[1].split()[0].split(":")
        )
        return host, int(port)

    def end(self) -> None:
        for each in self.processes.values():
            if each.running:
                each.popen.kill()
            if each.popen is not None:
                each.popen.wait()
                each.popen.stdin.close()
            if each.reserved_socket is not None:
                each.reserved_socket.close()
            for party in (each.executor, each.stream, each.router):
                if party is not None:
                    party.end()
        self.switch.end()
        if self.keep is not None:
            shutil.copytree(
                self.directory,
                self.keep,
                dirs_exist_ok=True,
                ignore=lambda place, names: [name for name in names if name in ("s", "key")],
            )
        shutil.rmtree(self.directory, ignore_errors=True)


def present(shown: dict) -> set[str]:
    return {row["name"] for row in shown["members"] if row["health"] in ("alive", "suspect")}


def copy(lines: IO[bytes], path: Path) -> None:
    with lines, open(path, "ab") as log:
        for line in lines:
            log.write(line)
            log.flush()


def no_room() -> None:
    """In the child: no file grows. The signal for it is ignored, so that writing fails as on a full disk."""
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
