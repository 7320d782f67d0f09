"""A fleet of real processes with a datagram switch between them.

The answers of the members to `show`, their views of the fleet, are recorded.

Each member has a directory with its operator file, log and store. The fleet's `kind` is `run` (the
command `fleet run`) or `serve` (whole app servers with stand-in executors). Faults:

- Processes are killed, stopped, resumed or started with the state `cold`.
- Links are cut in one direction or both, or lose, delay or duplicate datagrams. A member's BGP
  session runs over a link of its own, which `unplug` cuts too.
- Disks are full (through a limit on the file size of the process).
- Clocks have an offset or jump (`testing/process_launcher.py`).
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
from lilacwalk.testing.datagram_switch import Faults, Switch, TcpForwarder
from lilacwalk.testing.dependency import SharedDependency
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.site_settings import make_process_config

ROOT = Path(__file__).parent.parent.parent
POLL_INTERVAL = 0.05  # seconds between two polls of a condition
START_TIMEOUT = 15.0  # seconds for a start or an exit; only a failing test reaches it


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
    stopped: bool = False  # by SIGSTOP
    disk_full: bool = False  # simulated through a limit on the file size
    executor: StandInExecutor | None = None
    dependency: SharedDependency | None = None  # shared with other members: `end` leaves it running
    call_share: float = 0.0  # calls in flight: the member's share of the dependency's capacity
    start_count: int = 0
    reserved_socket: socket.socket | None = None  # reserves the port until the first start
    extra_statements: str = ""  # further statements of the operator file
    configured_name: str = ""  # the name in the operator file, if it differs from `name`
    cpus: int = 2  # in the process configuration; kind `serve` only
    max_retry_after_ms: float = 1000.0  # longest retry-after of a denial; kind `serve` only
    router: BgpRouter | None = None  # stand-in BGP peer
    router_link: TcpForwarder | None = None  # between the member and `router`; `unplug` cuts it
    clock_path: Path | None = None  # file with the clock's offset in seconds; None: no offset
    iteration_times_path: Path | None = None  # output file for the times of event loop iterations

    @property
    def running(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    @property
    def socket(self) -> str:
        """The path of the member's admin socket."""
        return str(self.directory / "s")

    @property
    def operator_file_path(self) -> Path:
        return self.directory / "conf"


@dataclass(frozen=True, slots=True)
class Observation:
    """A member's answer to the admin command `show`."""

    at: float  # seconds since the fleet was created
    name: str
    view: dict


@dataclass(eq=False)
class ProcessFleet:
    """The members' processes, the switch between them and the members' recorded views.

    `interval_ms` is the probe interval. `end` stops all processes and removes all files; if
    `copy_to` names a directory, `end` copies the files and logs there first.
    """

    seed: int = 1
    interval_ms: int = 200
    kind: str = "run"  # `run`: the command `fleet run`; `serve`: whole app servers
    copy_to: str | None = None
    has_store: bool = True  # whether the fleet block of each operator file has a store
    program: tuple[str, ...] = ("lilacwalk",)  # the module that is started, and its first arguments
    processes: dict[str, Process] = field(default_factory=dict)
    observations: list[Observation] = field(default_factory=list)

    def __post_init__(self) -> None:
        # the prefix is short because the path of a Unix socket is limited to 107 bytes
        self.directory = Path(tempfile.mkdtemp(prefix="lw-"))
        self.key_path = self.directory / "key"
        self.write_keys(secrets.token_hex(32))
        self.switch = Switch(self.seed)
        self.created_at = time.monotonic()

    # Members

    def write_keys(self, *keys: str) -> None:
        """Writes the key file that all members read; each key is 64 hexadecimal digits."""
        self.key_path.write_text("\n".join(keys) + "\n")
        self.key_path.chmod(0o600)

    def add(
        self,
        name: str,
        site: str = "recife",
        seeds: Iterable[str] = (),
        extra_statements: str = "",
        configured_name: str = "",
    ) -> Process:
        """Adds a member, without starting it; `seeds` are the names of its seed members."""
        directory = self.directory / name
        directory.mkdir()
        # The port is reserved until the process starts: otherwise the switch could use it for the
        # port of another member.
        reserved_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        reserved_socket.bind(("127.0.0.1", 0))
        listen_address = reserved_socket.getsockname()
        advertised_address = self.switch.add(name, listen_address)
        process = Process(
            name,
            site,
            directory,
            listen_address,
            advertised_address,
            tuple(seeds),
            extra_statements=extra_statements,
            configured_name=configured_name,
            reserved_socket=reserved_socket,
        )
        self.processes[name] = process
        return process

    def write_operator_file(self, process: Process) -> None:
        """Writes the member's operator file from the attributes of the member and the fleet."""
        addresses = [
            self.processes[seed].advertised_address
            for seed in process.seeds
            if seed != process.name
        ]
        seeds = "\n".join(f"    seed {host}:{port}" for host, port in addresses)
        store = f"    store {process.directory}/store\n" if self.has_store else ""
        process.operator_file_path.write_text(
            f"fleet {{\n    name {process.configured_name or process.name}\n"
            f"    site {process.site}\n"
            f"    listen {process.listen_address[0]}:{process.listen_address[1]}\n"
            f"    advertise {process.advertised_address[0]}:{process.advertised_address[1]}\n"
            f"    key {self.key_path}\n{seeds}\n    probe-interval {self.interval_ms}ms\n"
            f"    socket {process.socket}\n{store}}}\n{process.extra_statements}"
        )

    def start(self, *names: str, wait: bool = True, state: str = "ready") -> None:
        """Starts the processes of these members; with `wait`, returns when they answer `show`.

        `state` is the state that a member of kind `run` reports. Raises ValueError if a member runs
        already, TimeoutError if one does not answer within START_TIMEOUT.
        """
        for name in names:
            process = self.processes[name]
            if process.running:
                raise ValueError(f"cannot start {name}: its process is running already")
            process.start_count += 1
            if process.reserved_socket is not None:
                process.reserved_socket.close()
                process.reserved_socket = None
            self.write_operator_file(process)
            process.stopped = False
            arguments = [sys.executable, "-B", "-m", *self._program(process)]
            if self.kind == "serve":
                arguments += [
                    "serve",
                    "--config",
                    str(self._write_config(process)),
                    "--file",
                    str(process.operator_file_path),
                ]
            else:
                arguments += ["fleet", "run", "--file", str(process.operator_file_path)]
            process.popen = subprocess.Popen(
                arguments,
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                preexec_fn=forbid_file_growth if process.disk_full else None,
            )
            # The process logs to a pipe: its limit on the file size, which simulates a full disk,
            # would stop its writes to a file.
            threading.Thread(
                target=append_lines,
                args=(process.popen.stdout, process.directory / "log"),
                daemon=True,
            ).start()
            if self.kind == "run":
                self.send_state(name, state)
        if wait:
            for name in names:
                self.wait(
                    lambda name=name: self.show(name) is not None, START_TIMEOUT, f"{name} answers"
                )

    def _program(self, process: Process) -> list[str]:
        if process.clock_path is None and process.iteration_times_path is None:
            return list(self.program)
        program = ["lilacwalk.testing.process_launcher"]
        for option, path in (
            ("--clock", process.clock_path),
            ("--iteration-times", process.iteration_times_path),
        ):
            program += [option, str(path)] if path is not None else []
        return [*program, "--"]

    def add_router(self, name: str, service: str, hold_time: int = 3) -> str:
        """Adds a stand-in router for the member, and a link between both that can be cut.

        `hold_time` is in seconds. Returns the announce block for the operator file, which the
        caller adds to the member's `extra_statements`.
        """
        process = self.processes[name]
        process.router = BgpRouter(RouterBehaviour(hold_time=hold_time, enforces_hold_time=True))
        process.router_link = TcpForwarder(process.router.address)
        host, port = process.router_link.address
        return (
            f"announce {{\n    as 65010\n    router-id 127.0.0.1\n    next-hop 127.0.0.1\n"
            f"    ready-for 100ms\n    hold-time {hold_time}s\n    service {service}\n"
            f"    peer {host}:{port} {{\n        as 65020\n"
            f"        connect-retry 100ms\n    }}\n}}\n"
        )

    def _write_config(self, process: Process) -> Path:
        if process.executor is None:
            process.executor = StandInExecutor(2)
        config = make_process_config(process.executor.address) | {
            "name": process.configured_name or process.name
        }
        info = config["settings"]["family_info"]
        info["cpus"] = process.cpus
        config["settings"]["limits"]["max_retry_after_ms"] = process.max_retry_after_ms
        if process.dependency is not None:
            config["index"] = "{}:{}".format(*process.dependency.address)
            class_names = [request_class["name"] for request_class in config["settings"]["classes"]]
            info |= {
                "below": "common",
                "calls_by_class": [
                    name in process.executor.calling_classes for name in class_names
                ],
                "call_share": process.call_share,
                "calls_over_ms": 1000.0,
            }
        path = process.directory / "config.json"
        path.write_text(json.dumps(config))
        return path

    def send_state(self, name: str, state: str) -> None:
        """Writes the state that a member of kind `run` reports to its standard input."""
        process = self.processes[name]
        assert process.popen is not None and process.popen.stdin is not None
        process.popen.stdin.write(f"{state}\n".encode())
        process.popen.stdin.flush()

    # Faults

    def kill(self, *names: str) -> None:
        """Kills those of these members that run, all at once, and waits until they have exited."""
        running = [process for name in names if (process := self.processes[name]).running]
        for process in running:
            process.popen.kill()
        for process in running:
            process.popen.wait()

    def stop(self, *names: str) -> None:
        """Stops the processes with SIGSTOP; `resume` continues them."""
        for name in names:
            self.processes[name].popen.send_signal(signal.SIGSTOP)
            self.processes[name].stopped = True

    def resume(self, *names: str) -> None:
        """Continues processes that `stop` has stopped."""
        for name in names:
            self.processes[name].popen.send_signal(signal.SIGCONT)
            self.processes[name].stopped = False

    def leave(self, *names: str) -> list[int]:
        """Terminates the processes with SIGTERM; returns their exit codes."""
        for name in names:
            self.processes[name].popen.terminate()
        return [self.processes[name].popen.wait(START_TIMEOUT) for name in names]

    def cut(self, senders: Iterable[str], receivers: Iterable[str], both: bool = True) -> None:
        """Cuts the links from `senders` to `receivers`; if `both`, also the opposite direction."""
        receiver_names = list(receivers)
        for sender in senders:
            for receiver in receiver_names:
                self.switch.faults(sender, receiver).cut = True
                if both:
                    self.switch.faults(receiver, sender).cut = True

    def unplug(self, *names: str) -> None:
        """Cuts the links of these members to all others and to their routers.

        Links among these members stay.
        """
        self.cut(names, [name for name in self.processes if name not in names])
        for name in names:
            if (link := self.processes[name].router_link) is not None:
                link.cut()

    def set_clock(self, name: str, seconds: float) -> None:
        """Sets the offset of the member's clock.

        If `clock_path` was set when the process started, the offset takes effect at once, otherwise
        at the next start.
        """
        process = self.processes[name]
        if process.clock_path is None:
            process.clock_path = process.directory / "clock"
        process.clock_path.write_text(f"{seconds}")

    def impair(self, name: str, **faults: float) -> None:
        """Replaces the faults of all datagrams from and to the member.

        `faults` are the fields of `Faults` that differ from their defaults.
        """
        self.switch.ports[name].faults = Faults(**faults)

    def heal(self) -> None:
        """Restores all links and removes the faults of all datagrams."""
        self.switch.heal()
        for process in self.processes.values():
            if process.router_link is not None:
                process.router_link.cut(False)

    def set_disk_full(self, name: str, full: bool = True) -> None:
        """Simulates a full disk, or ends this if `full` is false.

        This takes effect in the running process and at the next start.
        """
        process = self.processes[name]
        process.disk_full = full
        if process.running:
            max_bytes = 0 if full else resource.RLIM_INFINITY
            resource.prlimit(
                process.popen.pid, resource.RLIMIT_FSIZE, (max_bytes, resource.RLIM_INFINITY)
            )

    # Views of the members

    def show(self, name: str) -> dict | None:
        """Returns and records the member's answer to `show`; returns None if it does not answer."""
        process = self.processes[name]
        if not process.running or process.stopped:
            return None
        try:
            view = query(process.socket, "show")
        except (OSError, ValueError):
            return None
        if not isinstance(view, dict) or "error" in view:
            return None
        self.observations.append(Observation(time.monotonic() - self.created_at, name, view))
        return view

    def running_names(self) -> list[str]:
        """The names of the members whose process runs and is not stopped."""
        return [
            process.name
            for process in self.processes.values()
            if process.running and not process.stopped
        ]

    def all_views(self, names: Iterable[str] | None = None) -> dict[str, dict | None]:
        """The answers to `show` by member name, None where a member does not answer.

        `names` defaults to all running members.
        """
        return {
            name: self.show(name) for name in (self.running_names() if names is None else names)
        }

    def settled(self, names: Iterable[str] | None = None) -> bool:
        """Whether the views of these members are equal, settled and complete.

        A view is complete if it lists exactly these members as present. `names` defaults to all
        running members.
        """
        names = list(self.running_names() if names is None else names)
        expected_names = {self.processes[name].configured_name or name for name in names}
        answers = self.all_views(names)
        views = [view for view in answers.values() if view is not None]
        if len(views) < len(names) or len({view["digest"] for view in views}) != 1:
            return False
        return all(view["settled"] for view in views) and all(
            present_names(view) == expected_names for view in views
        )

    def healths(self, subject: str, observers: Iterable[str] | None = None) -> dict[str, str]:
        """The health of the member `subject` in the views of the other members, by member name.

        The health is `unknown` if a view does not list `subject`. `observers` defaults to all
        running members; those that do not answer are left out.
        """
        healths_by_observer = {}
        for name, view in self.all_views(observers).items():
            if view is not None and name != subject:
                healths = {row["name"]: row["health"] for row in view["members"]}
                healths_by_observer[name] = healths.get(subject, "unknown")
        return healths_by_observer

    def wait(self, condition: Callable[[], bool], timeout: float, description: str) -> float:
        """Waits until `condition` returns a true value; returns the seconds of the wait.

        Raises TimeoutError, with `description`, after `timeout` seconds.
        """
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() - started_at > timeout:
                raise TimeoutError(f"condition not met within {timeout:g} s: {description}")
            time.sleep(POLL_INTERVAL)
        return time.monotonic() - started_at

    def log(self, name: str) -> str:
        """The text that the member has logged since it was added, over all its starts."""
        return (self.processes[name].directory / "log").read_text()

    def address(self, name: str, event: str = "event=started") -> tuple[str, int]:
        """The listen address in the line of the member's log that contains `event`.

        By default this is the address at which an app server listens for proxies. The member must
        log the event once at each start: the line of the last start counts. Raises IndexError if
        that line is not logged yet.
        """
        lines = [line for line in self.log(name).splitlines() if event in line]
        host, port = (
            lines[self.processes[name].start_count - 1].split("listen=")[1].split()[0].split(":")
        )
        return host, int(port)

    def end(self) -> None:
        """Stops all processes and stand-ins except shared dependencies, and removes all files."""
        for process in self.processes.values():
            if process.running:
                process.popen.kill()
            if process.popen is not None:
                process.popen.wait()
                process.popen.stdin.close()
            if process.reserved_socket is not None:
                process.reserved_socket.close()
            for stand_in in (process.executor, process.router_link, process.router):
                if stand_in is not None:
                    stand_in.end()
        self.switch.end()
        if self.copy_to is not None:
            shutil.copytree(
                self.directory,
                self.copy_to,
                dirs_exist_ok=True,
                ignore=lambda directory, names: [name for name in names if name in ("s", "key")],
            )
        shutil.rmtree(self.directory, ignore_errors=True)


def present_names(view: dict) -> set[str]:
    """The names of the members that a view lists as alive or suspect."""
    return {row["name"] for row in view["members"] if row["health"] in ("alive", "suspect")}


def append_lines(lines: IO[bytes], path: Path) -> None:
    """Appends each line to the file at once, until the end of `lines`, and closes `lines`."""
    with lines, open(path, "ab") as log:
        for line in lines:
            log.write(line)
            log.flush()


def forbid_file_growth() -> None:
    """Limits the file size of the child process to 0, so that its writes fail as on a full disk.

    SIGXFSZ, which such a write raises, is ignored.
    """
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
