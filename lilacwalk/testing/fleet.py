"""A fleet of real processes with a datagram switch between them. It records each member's view over time.

Each member has a directory with its operator file, log and store. The fleet's `kind` is `run` (the command
`fleet run`) or `serve` (whole app servers with stand-in executors). Faults:

- processes are killed, stopped, resumed or started cold;
- links are cut in one direction or both, lose, delay or duplicate datagrams; a member's BGP session runs over
  the same link;
- disks are full (through a limit on the file size of the process) or unreadable;
- clocks have an offset or jump (`testing/process_launcher.py`).
"""

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
POLL_INTERVAL = 0.05  # seconds between two polls of a condition
START_TIMEOUT = 15.0  # seconds for a start or an exit; only a failing test waits that long


@dataclass(eq=False, slots=True)
class Process:
    """One member: its settings, its process and the stand-ins that belong to it."""

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
    dependency: SharedDependency | None = None  # shared by members, so it is not ended with them
    call_share: float = 0.0  # share of the calls in flight that the dependency can bear
    starts: int = 0
    reserved_socket: socket.socket | None = None  # reserves the port until the first start
    extra: str = ""  # further lines of the operator file
    configured_name: str = ""  # the name in the operator file, if it differs from `name`
    cpus: int = 2  # kind `serve` only
    max_retry_after_ms: float = 1000.0  # longest retry-after of a denial
    router: BgpRouter | None = None  # stand-in BGP peer
    stream: Stream | None = None  # the link to `router`
    clock: Path | None = None  # file with the clock's offset in seconds; None: the machine's clock
    iteration_times_path: Path | None = None  # file for the times of event loop iterations

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
    """A member's answer to `show`."""

    at: float  # seconds since the fleet was created
    name: str
    shown: dict


@dataclass(eq=False)
class ProcessFleet:
    """`interval_ms` is the probe interval.

    `end` stops all processes and removes all files. If `keep` names a directory, their files and logs are
    copied to it first.
    """

    seed: int = 1
    interval_ms: int = 200
    kind: str = "run"
    keep: str | None = None
    store: bool = True
    program: tuple[str, ...] = ("lilacwalk",)  # module to start, and its first arguments
    processes: dict[str, Process] = field(default_factory=dict)
    observations: list[Observation] = field(default_factory=list)

    def __post_init__(self) -> None:
        # the prefix is short because the path of a Unix socket is limited to 107 bytes
        self.directory = Path(tempfile.mkdtemp(prefix="lw-"))
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
        directory = self.directory / name
        directory.mkdir()
        # The port is reserved until the process starts: otherwise the switch could get it for another member.
        held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held.bind(("127.0.0.1", 0))
        listen_address = held.getsockname()
        advertised_address = self.switch.add(name, listen_address)
        made = Process(
            name,
            site,
            directory,
            listen_address,
            advertised_address,
            tuple(seeds),
            extra=extra,
            configured_name=configured_name,
            reserved_socket=held,
        )
        self.processes[name] = made
        return made

    def write(self, each: Process) -> None:
        """Writes the member's operator file."""
        addresses = [
            self.processes[seed].advertised_address for seed in each.seeds if seed != each.name
        ]
        seeds = "\n".join(f"    seed {host}:{port}" for host, port in addresses)
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
                raise ValueError(f"cannot start {name}: it is running")
            each.starts += 1
            if each.reserved_socket is not None:
                each.reserved_socket.close()
                each.reserved_socket = None
            self.write(each)
            each.stopped = False
            arguments = [sys.executable, "-B", "-m", *self._program(each)]
            if self.kind == "serve":
                arguments += [
                    "serve",
                    "--config",
                    str(self._write_config(each)),
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
                preexec_fn=forbid_file_growth if each.full else None,
            )
            # The log goes through a pipe: a process that may not extend files can still write to it.
            threading.Thread(
                target=append_lines, args=(each.popen.stdout, each.directory / "log"), daemon=True
            ).start()
            if self.kind == "run":
                self.tell(name, state)
        if wait:
            for name in names:
                self.wait(
                    lambda name=name: self.show(name) is not None, START_TIMEOUT, f"{name} answers"
                )

    def _program(self, each: Process) -> list[str]:
        if each.clock is None and each.iteration_times_path is None:
            return list(self.program)
        program = ["lilacwalk.testing.process_launcher"]
        for option, path in (
            ("--clock", each.clock),
            ("--iteration-times", each.iteration_times_path),
        ):
            program += [option, str(path)] if path is not None else []
        return [*program, "--"]

    def add_router(self, name: str, service: str, hold: int = 3) -> str:
        """Adds a stand-in router for the member, and a link to it that can be cut.

        Returns the announce block for the operator file.
        """
        each = self.processes[name]
        each.router = BgpRouter(RouterBehaviour(hold=hold, enforces_hold_time=True))
        each.stream = Stream(each.router.address)
        host, port = each.stream.address
        return (
            f"announce {{\n    as 65010\n    router-id 127.0.0.1\n    next-hop 127.0.0.1\n"
            f"    ready-for 100ms\n    hold-time {hold}s\n    service {service}\n"
            f"    peer {host}:{port} {{\n        as 65020\n        connect-retry 100ms\n    }}\n}}\n"
        )

    def _write_config(self, each: Process) -> Path:
        if each.executor is None:
            each.executor = StandInExecutor(2)
        config = make_process_config(each.executor.address) | {
            "name": each.configured_name or each.name
        }
        info = config["settings"]["family_info"]
        info["cpus"] = each.cpus
        config["settings"]["limits"]["max_retry_after_ms"] = each.max_retry_after_ms
        if each.dependency is not None:
            config["index"] = "{}:{}".format(*each.dependency.address)
            class_names = [request_class["name"] for request_class in config["settings"]["classes"]]
            info |= {
                "below": "common",
                "calls_by_class": [name in each.executor.calls for name in class_names],
                "call_share": each.call_share,
                "calls_over_ms": 1000.0,
            }
        path = each.directory / "config.json"
        path.write_text(json.dumps(config))
        return path

    def tell(self, name: str, state: str) -> None:
        each = self.processes[name]
        assert each.popen is not None and each.popen.stdin is not None
        each.popen.stdin.write(f"{state}\n".encode())
        each.popen.stdin.flush()

    # Faults

    def kill(self, *names: str) -> None:
        """Kills the running processes of these members at once, then waits for all of them to exit."""
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
        """Terminates the processes with SIGTERM; returns their exit codes."""
        for name in names:
            self.processes[name].popen.terminate()
        return [self.processes[name].popen.wait(START_TIMEOUT) for name in names]

    def cut(self, one: Iterable[str], other: Iterable[str], both: bool = True) -> None:
        """Cuts the links from `one` to `other`; if `both`, also those from `other` to `one`."""
        others = list(other)
        for here in one:
            for there in others:
                self.switch.faults(here, there).cut = True
                if both:
                    self.switch.faults(there, here).cut = True

    def unplug(self, *names: str) -> None:
        """Cuts the links to all other members and to the routers. Links among `names` stay."""
        self.cut(names, [name for name in self.processes if name not in names])
        for name in names:
            if (stream := self.processes[name].stream) is not None:
                stream.cut()

    def set_clock(self, name: str, seconds: float) -> None:
        """Sets the offset of the member's clock.

        If `clock` was set before the process started, the offset is in effect at once, otherwise from the next
        start on.
        """
        each = self.processes[name]
        if each.clock is None:
            each.clock = each.directory / "clock"
        each.clock.write_text(f"{seconds}")

    def impair(self, name: str, **faults: float) -> None:
        """Sets the faults of all datagrams from and to the member."""
        self.switch.ports[name].faults = Faults(**faults)

    def heal(self) -> None:
        self.switch.heal()
        for each in self.processes.values():
            if each.stream is not None:
                each.stream.cut(False)

    def fill(self, name: str, full: bool = True) -> None:
        """Makes the member's disk full, or not, for the running process and for the next start."""
        each = self.processes[name]
        each.full = full
        if each.running:
            max_bytes = 0 if full else resource.RLIM_INFINITY
            resource.prlimit(
                each.popen.pid, resource.RLIMIT_FSIZE, (max_bytes, resource.RLIM_INFINITY)
            )

    # Views of the members

    def show(self, name: str) -> dict | None:
        """The member's answer to `show`; None if it gives none."""
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
        """The names of the members that run and are not stopped."""
        return [each.name for each in self.processes.values() if each.running and not each.stopped]

    def all_shown(self, names: Iterable[str] | None = None) -> dict[str, dict | None]:
        return {name: self.show(name) for name in (self.up() if names is None else names)}

    def settled(self, names: Iterable[str] | None = None) -> bool:
        """Whether the members in `names` have equal views that list exactly these members as present.

        They must also report that their views are settled. `names` defaults to all running members.
        """
        names = list(self.up() if names is None else names)
        expected_names = {self.processes[name].configured_name or name for name in names}
        found = self.all_shown(names)
        shown = [each for each in found.values() if each is not None]
        if len(shown) < len(names) or len({each["digest"] for each in shown}) != 1:
            return False
        return all(each["settled"] for each in shown) and all(
            present(each) == expected_names for each in shown
        )

    def healths(self, of: str, by: Iterable[str] | None = None) -> dict[str, str]:
        """The health of `of` in the view of each other member in `by`, by default all running members."""
        found = {}
        for name, shown in self.all_shown(by).items():
            if shown is not None and name != of:
                rows = {row["name"]: row["health"] for row in shown["members"]}
                found[name] = rows.get(of, "unknown")
        return found

    def wait(self, reached: Callable[[], bool], timeout: float, what: str) -> float:
        """Waits until `reached` is true; returns the seconds that it took.

        Raises TimeoutError, with the description `what`, after `timeout` seconds.
        """
        began = time.monotonic()
        while not reached():
            if time.monotonic() - began > timeout:
                raise TimeoutError(f"condition not reached within {timeout:g} s: {what}")
            time.sleep(POLL_INTERVAL)
        return time.monotonic() - began

    def log(self, name: str) -> str:
        return (self.processes[name].directory / "log").read_text()

    def address(self, name: str, event: str = "event=started") -> tuple[str, int]:
        """The address at which an app server listens for proxies since its last start.

        With another `event` of its log, the address that this event names. Raises IndexError if the event is
        not logged yet.
        """
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
            for stand_in in (each.executor, each.stream, each.router):
                if stand_in is not None:
                    stand_in.end()
        self.switch.end()
        if self.keep is not None:
            shutil.copytree(
                self.directory,
                self.keep,
                dirs_exist_ok=True,
                ignore=lambda directory, names: [name for name in names if name in ("s", "key")],
            )
        shutil.rmtree(self.directory, ignore_errors=True)


def present(shown: dict) -> set[str]:
    """The members that a view lists as alive or suspect."""
    return {row["name"] for row in shown["members"] if row["health"] in ("alive", "suspect")}


def append_lines(lines: IO[bytes], path: Path) -> None:
    with lines, open(path, "ab") as log:
        for line in lines:
            log.write(line)
            log.flush()


def forbid_file_growth() -> None:
    """In the child: sets the limit on file size to 0, so that writes fail as on a full disk.

    SIGXFSZ, which such a write raises, is ignored.
    """
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
