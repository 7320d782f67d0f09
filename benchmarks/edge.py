"""The devices' edge: its structures, one polling thread or a thread each, and a thousand devices on bad links
beside routers. `python -m benchmarks.edge [structures] [repeats] [hosting] [fleet]`, some four minutes."""

from __future__ import annotations

import heapq
import json
import os
import random
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from queue import SimpleQueue

from benchmarks.table import Table, quantile
from lilacwalk.edge import frames
from lilacwalk.edge.client.device import Device
from lilacwalk.edge.client.state import ClientSession
from lilacwalk.edge.config import EdgeConfig
from lilacwalk.edge.device_service import ActionType, DeviceRequestClass, DeviceService
from lilacwalk.edge.frames import Stream
from lilacwalk.edge.host import EdgeHost
from lilacwalk.edge.sketch import Sketch
from lilacwalk.edge.timer_wheel import Wheel
from lilacwalk.edge.tokens import DEVICE, Tokens
from lilacwalk.event_queue import EventQueue
from lilacwalk.operator.loader import parse_operator_file
from lilacwalk.overload.model import Effect
from lilacwalk.server.clock import Clock
from lilacwalk.server.startup import SWITCH_INTERVAL, THREAD_STACK_BYTES, build
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.lossy_proxy import LinkConditions, Proxy
from lilacwalk.testing.proxy_client import ProxyClient
from lilacwalk.testing.site_settings import SETTINGS, make_process_config

SECRET = bytes(range(32))
WORK = {"look": 0.003, "swap": 0.006, "move": 0.006}  # seconds on one core
BENEFIT = {each["name"]: each["worth"] for each in SETTINGS["classes"]}
LIMITS = {each["name"]: each["hard_limit_ms"] / 1000 for each in SETTINGS["classes"]}
SHARES = ("look", "look", "swap", "move")


def resident() -> float:
    with open("/proc/self/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS")) / 1000


def timed(work) -> float:
    began = time.perf_counter()
    work()
    return time.perf_counter() - began


# Structures


class Heap:
    """Timers in a heap: what is moved or dropped stays until its time."""

    def __init__(self) -> None:
        self.rows: list[tuple[int, int]] = []
        self.due: dict[int, int] = {}

    def schedule(self, name: int, due: int) -> None:
        self.due[name] = due
        heapq.heappush(self.rows, (due, name))

    def expire(self, now: int):
        while self.rows and self.rows[0][0] <= now:
            due, name = heapq.heappop(self.rows)
            if self.due.get(name) == due:
                del self.due[name]
                yield name


def timers(table: Table) -> None:
    lines = []
    for count in (1_000, 100_000, 1_000_000):
        for name, make in (("wheel", lambda: Wheel(0)), ("heapq", Heap)):
            rng, made, before = random.Random(1), make(), resident()
            dues = [rng.randrange(1, 6_000_000) for _ in range(count)]
            filled = timed(
                lambda made=made, dues=dues: [made.schedule(*each) for each in enumerate(dues)]
            )
            moves = [(rng.randrange(count), rng.randrange(1, 6_000_000)) for _ in range(2 * count)]
            moved = timed(lambda made=made, moves=moves: [made.schedule(*each) for each in moves])
            size = resident() - before
            fired = timed(
                lambda made=made: [
                    1 for now in range(0, 6_000_000, 20_000) for _ in made.expire(now)
                ]
            )
            lines.append(
                (
                    count,
                    name,
                    filled / count * 1e6,
                    moved / len(moves) * 1e6,
                    fired / count * 1e6,
                    size,
                )
            )
    table.rows(
        "timers over ten minutes, each moved twice",
        ("timers", "structure", "set us", "move us", "fire us", "MB"),
        lines,
    )


def counting(table: Table) -> None:
    lines = []
    for count in (1_000, 100_000, 1_000_000):
        rng = random.Random(1)
        keys = [rng.getrandbits(32).to_bytes(4, "big") for _ in range(count)]
        before, sketch = resident(), Sketch(7, 100_000, 0)
        took = timed(lambda sketch=sketch, keys=keys: [sketch.add(key, 0) for key in keys])
        lines.append(
            (
                count,
                "sketch",
                took / count * 1e6,
                resident() - before,
                sum(sketch.count(key, 0) for key in keys[:2_000]) / min(count, 2_000),
            )
        )
        before, plain = resident(), {}

        def add(plain=plain, keys=keys):
            for key in keys:
                plain[key] = plain.get(key, 0) + 1

        took = timed(add)
        lines.append((count, "dict", took / count * 1e6, resident() - before, 1.0))
    table.rows(
        "counting sources that come once each",
        ("sources", "structure", "add us", "MB", "mean count told (true: 1)"),
        lines,
    )


# Repeats without a mark


def repeats(table: Table) -> None:
    """Devices whose intents are known: each loses its session at times and asks again what has no answer, and
    at times means the same request a second time. What was run is held against what was meant."""
    lines = []
    for equal in (0.0, 0.05, 0.3):
        for lost in (0.05, 0.3):
            lines.append((equal, lost, *meant_and_run(equal, lost)))
    table.rows(
        "10,000 intents of 200 devices, mutating",
        ("meant again", "sessions lost", "asked", "joined", "wrong joins", "missed"),
        lines,
    )


def meant_and_run(equal: float, lost: float) -> tuple[int, int, int, int]:
    rng, now = random.Random(5), 18_000_000_000_000
    config = EdgeConfig(listen=("127.0.0.1", 0), secrets="", arrivals=1_000_000)
    tokens = Tokens([SECRET], b"n")
    serving = DeviceService(
        config, {"move": DeviceRequestClass(Effect.NON_IDEMPOTENT, 40_000)}, tokens, 1, now
    )
    number = 0
    asked = wrong = missed = 0
    for turn in range(10_000):
        now += rng.randrange(2_000)
        device = turn % 200
        token = tokens.make(DEVICE, b"d%d" % device, 2**40)
        body = b"same" if rng.random() < equal else b"%d" % turn
        number += 1
        serving.connection_opened(number, b"\x7f\0\0" + bytes((rng.randrange(256),)), b"", now)
        serving.frame_received(number, frames.Hello(1, token, b"", 0, 16), now)
        runs = 0
        for attempt in range(6):
            asked += 1
            serving.frame_received(number, frames.Ask(1, "move", body, 0, 0), now)
            made = [each for each in serving.take_actions() if each.type is ActionType.SUBMIT]
            runs += len(made)
            now += rng.randrange(500)
            for each in made:  # answered at once, or only after the session was lost
                if rng.random() < 0.7:
                    serving.send_answer(each.session, each.number, 0, b"r", 0, now)
            session = serving.connections[number].session
            if rng.random() >= lost or attempt == 5:
                for each in made:
                    serving.send_answer(each.session, each.number, 0, b"r", 0, now)
                for late in [one for one in session.open]:
                    serving.send_answer(session, late, 0, b"r", 0, now)
                serving.frame_received(number, frames.Got(session.last_order), now)
                break
            serving.connection_closed(number, now)
            for each in made:
                serving.send_answer(each.session, each.number, 0, b"r", 0, now)
            number += 1
            serving.connection_opened(number, b"\x7f\0\0\1", b"", now)
            serving.frame_received(number, frames.Hello(1, token, b"", 0, 16), now)
        serving.connection_closed(number, now)
        serving.tick(now)
        serving.take_actions()
        wrong += runs == 0
        missed += max(0, runs - 1)
    return asked, serving.duplicate_detector.duplicates, wrong, missed


# One polling thread, or a thread each


class ThreadEach:
    """The same machine, each connection read by a thread of its own that puts frames onto one queue."""

    def __init__(self, config: EdgeConfig, groups: dict[str, DeviceRequestClass], on_ask) -> None:
        threading.stack_size(THREAD_STACK_BYTES)
        self.service = DeviceService(config, groups, Tokens([SECRET], b"n"), 1, Clock().now())
        self.clock, self.on_ask = Clock().now, on_ask
        self.inbox: SimpleQueue = SimpleQueue()
        self.socks: dict[int, socket.socket] = {}
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address = self.listener.getsockname()
        for target in (self._accept, self._run):
            threading.Thread(target=target, daemon=True).start()

    def _accept(self) -> None:
        number = 0
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            number += 1
            self.socks[number] = sock
            self.inbox.put((self._opened, number))
            threading.Thread(target=self._read, args=(number, sock), daemon=True).start()

    def _opened(self, number: int) -> None:
        self.service.connection_opened(number, b"\x7f\0\0\1", b"", self.clock())

    def _read(self, number: int, sock: socket.socket) -> None:
        stream = Stream(4_096)
        try:
            while chunk := sock.recv(2_048):
                for frame in stream.feed(chunk):
                    self.inbox.put((self._frame, number, frame))
        except OSError:
            pass

    def _frame(self, number: int, frame) -> None:
        self.service.frame_received(number, frame, self.clock())

    def send_answer(self, session, number: int, word: int, body: bytes, come_back: int) -> None:
        self.inbox.put(
            (
                lambda: self.service.send_answer(
                    session, number, word, body, come_back, self.clock()
                ),
            )
        )

    def _run(self) -> None:
        while True:
            handler, *arguments = self.inbox.get()
            handler(*arguments)
            for action in self.service.take_actions():
                if action.type is ActionType.SEND:
                    self.socks[action.connection].sendall(action.payload)
                    self.service.bytes_sent(action.connection, len(action.payload), self.clock())
                elif action.type is ActionType.SUBMIT:
                    self.on_ask(action.session, action.number, action.payload)


def one_hosting(kind: str, count: int, seconds: float) -> None:
    """Runs in a process of its own; the devices are driven from another."""
    sys.setswitchinterval(SWITCH_INTERVAL)
    groups = {"look": DeviceRequestClass(Effect.IDEMPOTENT, 60_000)}
    secret = Path(tempfile.mkdtemp()) / "secrets"
    secret.touch(mode=0o600)
    secret.write_text(SECRET.hex())
    config = EdgeConfig(
        listen=("127.0.0.1", 0),
        secrets=str(secret),
        arrivals=1_000_000,
        sessions=count + 10,
        connections=count + 10,
    )
    before = resident()
    if kind == "polling":
        host = EdgeHost(
            config,
            groups,
            "n",
            1,
            Clock().now,
            lambda *each: host.send_answer(each[0], each[1], 0, b"ok", 0),
            lambda *each: None,
        )
        host.start()
    else:
        host = ThreadEach(
            config, groups, lambda *each: host.send_answer(each[0], each[1], 0, b"ok", 0)
        )
    out = subprocess.run(
        [
            sys.executable,
            "-m",
            "benchmarks.edge",
            "--drive",
            str(host.address[1]),
            str(count),
            str(seconds),
        ],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    used = resource.getrusage(resource.RUSAGE_SELF)
    told = json.loads(out)
    print(json.dumps([resident() - before, *told, used.ru_utime + used.ru_stime]))


def drive(port: int, count: int, seconds: float) -> None:
    """Many devices by the client's machine over plain sockets, each asking once a second."""
    import selectors

    resource.setrlimit(
        resource.RLIMIT_NOFILE, (8_192, resource.getrlimit(resource.RLIMIT_NOFILE)[1])
    )
    tokens, selector, rows = Tokens([SECRET], b""), selectors.DefaultSelector(), []
    for each in range(count):
        machine = ClientSession(tokens.make(DEVICE, b"d%d" % each, 2**40))
        sock = socket.create_connection(("127.0.0.1", port), 10.0)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        machine.connected()
        sock.sendall(machine.take_output())
        row = [machine, sock, Stream(1 << 16), {}, time.monotonic() + 1.0 + each / count]
        rows.append(row)
        selector.register(sock, selectors.EVENT_READ, row)
    times, until, turn = [], time.monotonic() + seconds + 1.0, 0
    while (now := time.monotonic()) < until:
        while rows[turn % count][4] <= now:
            row = rows[turn % count]
            row[3][row[0].ask("look", b"x")] = now
            row[1].sendall(row[0].taken())
            row[4] = now + 1.0
            turn += 1
        for key, _ in selector.select(0.001):
            machine, sock, stream, asked, _ = key.data
            for frame in stream.feed(sock.recv(65_536)):
                machine.frame_received(frame)
                if isinstance(frame, frames.Answer):
                    times.append(time.monotonic() - asked.pop(frame.number))
            if data := machine.take_output():
                sock.sendall(data)
    print(json.dumps([len(times), quantile(times, 0.5) * 1000, quantile(times, 0.99) * 1000]))


def hosting(table: Table, count: int) -> None:
    lines = []
    for kind in ("polling", "thread each"):
        out = subprocess.run(
            [sys.executable, "-m", "benchmarks.edge", "--hosting", kind, str(count), "10"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        size, done, median, most, cpu = json.loads(out)
        lines.append(
            (kind, size, size * 1000 / count, done, median, most, cpu * 1000 / max(1, done))
        )
    table.rows(
        f"{count:,} devices that ask once a second",
        ("host", "MB more", "KB each", "answered", "median ms", "99th ms", "CPU ms an exchange"),
        lines,
    )


# A thousand devices on bad links beside routers


def serve(block: str, rate: float, seconds: float, devices: int, memory_mb: float) -> None:
    """The app server and its kernel; says where it listens, then what happened."""
    sys.setswitchinterval(SWITCH_INTERVAL)
    threading.stack_size(THREAD_STACK_BYTES)
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (8_192, resource.getrlimit(resource.RLIMIT_NOFILE)[1])
    )
    kernel = StandInExecutor(
        2, work=lambda group, body: WORK[group], result=lambda group, body: body[:64]
    )
    inbox = EventQueue()
    event_loop, parts = build(make_process_config(kernel.address, memory_mb=memory_mb), inbox)
    secret = Path(tempfile.mkdtemp()) / "secrets"
    secret.touch(mode=0o600)
    secret.write_text(SECRET.hex())
    if devices:
        text = (
            f"edge {{\n listen 127.0.0.1:0\n secrets {secret}\n customer devices\n arrivals 1000000\n"
            + "".join(f" {line}\n" for line in block.split(";") if line)
            + "}\n"
        )
        event_loop.subsystems.apply(parse_operator_file(text, "benchmark"))
    asked: dict[str, float] = {}
    done: dict[str, float] = {}
    late = 0
    if devices:
        front = event_loop.subsystems.devices
        ask, answered = front.request_received, front.send_response

        def count_asked(session, number, asking):
            asked[asking.frame.group] = asked.get(asking.frame.group, 0) + 1
            due[session, number] = (
                asking.frame.group,
                time.monotonic() + LIMITS[asking.frame.group] + 0.05,
            )
            ask(session, number, asking)

        def count_answered(caller, tag, reply):
            nonlocal late
            group, by = due.pop((caller.session, tag), ("", 0.0))
            late += bool(group) and time.monotonic() > by
            if group and reply.status.name == "COMPLETED":
                done[group] = done.get(group, 0) + 1
            answered(caller, tag, reply)

        due: dict = {}
        front.request_received, front.send_response = count_asked, count_answered
    threading.Thread(target=event_loop.run, daemon=True).start()
    for part in parts:
        part.start()
    edge = event_loop.subsystems.devices.edge.address[1] if devices else 0
    print(json.dumps([event_loop.listener.address[1], edge]), flush=True)
    sizes = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        time.sleep(0.5)
        sizes.append(resident())
    counts = event_loop.subsystems.devices.edge.service.counts if devices else {}
    print(
        json.dumps(
            {
                "asked": asked,
                "done": done,
                "late": late,
                "sizes": sizes,
                "counts": counts,
                "twice": sum(each > 1 for each in kernel.ran.values()),
                "ran": kernel.finished,
                "unanswered": len(due) if devices else 0,
                "seconds": rate,
            }
        ),
        flush=True,
    )


def fleet_devices(
    port: int, count: int, rate: float, seconds: float, seed: int, first: int
) -> None:
    """So many devices, each with its own bad link through one proxy, asking at random."""
    rng, tokens = random.Random(seed), Tokens([SECRET], b"")
    threading.stack_size(THREAD_STACK_BYTES)
    proxy = Proxy(("127.0.0.1", port), LinkConditions(reset=0.01, stall=(0.5, 5.0)), seed)
    devices = [
        Device(proxy.address, tokens.make(DEVICE, b"d%d" % (first + each), 2**40), seed=seed + each)
        for each in range(count)
    ]
    asked, began = [], time.monotonic()
    while (now := time.monotonic()) < began + seconds:
        if len(asked) < (now - began) * rate:
            group = rng.choice(SHARES)
            device = rng.choice(devices)
            stated = {"key": f"{seed}-{len(asked)}"} if group == "swap" else {}
            asked.append(
                (group, device, device.ask(group, b"%d-%d" % (seed, len(asked)), 0, **stated))
            )
            if rng.random() < 0.02:
                device.session.session = b""  # an app that was ended: it knows its session no more
                device.session.got = 0
                device.drop_connection()
        else:
            time.sleep(0.002)
    end = time.monotonic() + 6.0
    counts: dict[str, list[int]] = {}
    doubled = 0
    for group, device, number in asked:
        row = counts.setdefault(group, [0, 0, 0, 0])
        with device.changed:
            device.changed.wait_for(
                lambda d=device, n=number: n in d.session.outcomes, max(0.0, end - time.monotonic())
            )
            outcome = device.session.outcomes.get(number)
        row[3 if outcome is None else outcome.word] += 1
    for device in devices:
        doubled += device.session.duplicate_answers
    print(
        json.dumps(
            {"words": counts, "stalls": proxy.stalls, "resets": proxy.resets, "doubled": doubled}
        )
    )
    os._exit(0)


def fleet_routers(port: int, rate: float, seconds: float) -> None:
    rng, proxy_clients = random.Random(9), [ProxyClient(("127.0.0.1", port)) for _ in range(12)]
    asked, began = [], time.monotonic()
    while (now := time.monotonic()) < began + seconds:
        if len(asked) < (now - began) * rate:
            proxy_client = min(
                rng.sample(proxy_clients, 2), key=lambda each: len(each.asked) - len(each.answers)
            )
            group = rng.choice(SHARES)
            more = {"k": f"r{len(asked)}"} if group == "swap" else {}
            asked.append(
                (
                    group,
                    proxy_client,
                    proxy_client.ask(group, b"x", 4_000 if group != "look" else 2_000, **more),
                )
            )
        else:
            time.sleep(0.001)
    time.sleep(4.5)
    done: dict[str, int] = {}
    total: dict[str, int] = {}
    many = 0
    for group, proxy_client, tag in asked:
        total[group] = total.get(group, 0) + 1
        rows = proxy_client.answers.get(tag, [])
        many += len(rows) != 1
        done[group] = done.get(group, 0) + any(word == "done" for _, word, _ in rows)
    print(json.dumps({"asked": total, "done": done, "not_one_answer": many}))


def weighted(done: dict, asked: dict) -> float:
    whole = sum(BENEFIT[group] * count for group, count in asked.items())
    return (
        sum(BENEFIT[group] * done.get(group, 0) for group in asked) / whole
        if whole
        else float("nan")
    )


CAPACITY = 2 / (
    sum(WORK[group] for group in SHARES) / len(SHARES)
)  # exchanges a second of two cores


def fleet_run(block: str, devices: int, seconds: float, share: float) -> dict:
    """At 130 % of what the cores do, `share` of it from devices."""
    total = 1.3 * CAPACITY
    server = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "benchmarks.edge",
            "--serve",
            block,
            str(total),
            str(seconds + 12),
            str(devices),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    listener, edge = json.loads(server.stdout.readline())
    runs, workers = [], 4
    routers = total * (1 - share)
    runs.append(
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.edge",
                "--routers",
                str(listener),
                str(routers),
                str(seconds),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
    )
    for each in range(workers if devices else 0):
        runs.append(
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "benchmarks.edge",
                    "--devices",
                    str(edge),
                    str(devices // workers),
                    str(total * share / workers),
                    str(seconds),
                    str(each + 1),
                    str(each * 1_000),
                ],
                stdout=subprocess.PIPE,
                text=True,
            )
        )
    told = [json.loads(each.communicate()[0]) for each in runs]
    return {"routers": told[0], "devices": told[1:], "server": json.loads(server.communicate()[0])}


def fleet(table: Table, devices: int, seconds: float) -> None:
    lines = []
    base = fleet_run("", 0, seconds, 0.0)
    routers = base["routers"]
    lines.append(
        (
            "edge off, all of it from routers",
            weighted(routers["done"], routers["asked"]),
            "-",
            "-",
            "-",
            routers["not_one_answer"],
            0,
            0,
            max(base["server"]["sizes"]),
        )
    )
    for name, block in (
        ("all on", ""),
        ("no estimates", "estimates no"),
        ("no repeats", "repeats no"),
        ("no resume", "resume no"),
    ):
        got = fleet_run(block, devices, seconds, 0.4)
        routers, server = got["routers"], got["server"]
        words: dict[str, list[int]] = {}
        for each in got["devices"]:
            for group, row in each["words"].items():
                words[group] = [a + b for a, b in zip(words.get(group, [0] * 4), row, strict=True)]
        seen = weighted(
            {group: row[0] for group, row in words.items()},
            {group: sum(row) for group, row in words.items()},
        )
        sizes = server["sizes"]
        lines.append(
            (
                name,
                weighted(routers["done"], routers["asked"]),
                weighted(server["done"], server["asked"]),
                seen,
                sum(row[3] for row in words.values()),
                routers["not_one_answer"],
                server["late"],
                server["twice"],
                max(sizes),
            )
        )
        table.say(
            f"{name}: stalls {sum(each['stalls'] for each in got['devices']):,}, resets "
            f"{sum(each['resets'] for each in got['devices']):,}, {server['counts']}, unanswered at the end "
            f"{server['unanswered']}, memory by quarters "
            + " ".join(f"{sizes[len(sizes) * part // 4]:.0f}" for part in range(4))
            + f" {sizes[-1]:.0f} MB\n"
        )
    table.rows(
        f"{devices:,} devices on bad links and routers beside, 130 % of two cores, {seconds:.0f} s",
        (
            "edge",
            "routers' service",
            "devices' service, of what was read",
            "as devices saw it",
            "no answer in 6 s",
            "routers: not one answer",
            "answered late",
            "ran twice",
            "most MB",
        ),
        lines,
    )


def main() -> None:
    words = sys.argv[1:]
    if words[:1] == ["--hosting"]:
        one_hosting(words[1], int(words[2]), float(words[3]))
    elif words[:1] == ["--drive"]:
        drive(int(words[1]), int(words[2]), float(words[3]))
    elif words[:1] == ["--serve"]:
        serve(words[1], float(words[2]), float(words[3]), int(words[4]), 192.0)
    elif words[:1] == ["--routers"]:
        fleet_routers(int(words[1]), float(words[2]), float(words[3]))
    elif words[:1] == ["--devices"]:
        fleet_devices(
            int(words[1]),
            int(words[2]),
            float(words[3]),
            float(words[4]),
            int(words[5]),
            int(words[6]),
        )
    else:
        chosen = words or ["structures", "repeats", "hosting", "fleet"]
        table = Table("edge-" + "-".join(chosen) if words else "edge")
        table.say(f"# The devices' edge, Python {sys.version.split()[0]}\n")
        if "structures" in chosen:
            timers(table)
            counting(table)
        if "repeats" in chosen:
            repeats(table)
        if "hosting" in chosen:
            hosting(table, 1_000)
        if "fleet" in chosen:
            fleet(table, 1_000, 20.0)
        table.write()


if __name__ == "__main__":
    main()
