"""Measurements of the device edge, about four minutes in all.

    python -m benchmarks.edge [structures] [repeats] [hosting] [fleet]

structures compares the timer wheel with a heap, and the sketch with a dict. repeats measures the
detection of duplicate requests. hosting compares one polling thread with one thread per connection.
fleet overloads an app server with a thousand devices on bad links and with proxies."""

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

from benchmarks.measurement import measure_seconds, resident_mb
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
EXECUTION_TIMES = {"look": 0.003, "swap": 0.006, "move": 0.006}  # seconds on one core
BENEFIT = {each["name"]: each["worth"] for each in SETTINGS["classes"]}
TIMEOUTS = {each["name"]: each["hard_limit_ms"] / 1000 for each in SETTINGS["classes"]}
CLASS_MIX = ("look", "look", "swap", "move")


# Data structures


class TimerHeap:
    """Timers in a heap. The old entry of a rescheduled timer remains until its time."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int]] = []
        self.due_by_name: dict[int, int] = {}

    def schedule(self, name: int, due: int) -> None:
        self.due_by_name[name] = due
        heapq.heappush(self.heap, (due, name))

    def expire(self, now: int):
        while self.heap and self.heap[0][0] <= now:
            due, name = heapq.heappop(self.heap)
            if self.due_by_name.get(name) == due:
                del self.due_by_name[name]
                yield name


def measure_timers(table: Table) -> None:
    rows = []
    for count in (1_000, 100_000, 1_000_000):
        for name, create in (("wheel", lambda: Wheel(0)), ("heapq", TimerHeap)):
            rng, structure, memory_before = random.Random(1), create(), resident_mb()
            due_times = [rng.randrange(1, 6_000_000) for _ in range(count)]
            set_time = measure_seconds(
                lambda structure=structure, due_times=due_times: [
                    structure.schedule(*entry) for entry in enumerate(due_times)
                ]
            )
            moves = [(rng.randrange(count), rng.randrange(1, 6_000_000)) for _ in range(2 * count)]
            move_time = measure_seconds(
                lambda structure=structure, moves=moves: [
                    structure.schedule(*entry) for entry in moves
                ]
            )
            megabytes = resident_mb() - memory_before
            fire_time = measure_seconds(
                lambda structure=structure: [
                    1 for now in range(0, 6_000_000, 20_000) for _ in structure.expire(now)
                ]
            )
            rows.append(
                (
                    count,
                    name,
                    set_time / count * 1e6,
                    move_time / len(moves) * 1e6,
                    fire_time / count * 1e6,
                    megabytes,
                )
            )
    table.rows(
        "timers over ten minutes, each rescheduled twice on average",
        ("timers", "structure", "set us", "reschedule us", "expire us", "MB"),
        rows,
    )


def measure_counting(table: Table) -> None:
    rows = []
    for count in (1_000, 100_000, 1_000_000):
        rng = random.Random(1)
        keys = [rng.getrandbits(32).to_bytes(4, "big") for _ in range(count)]
        memory_before, sketch = resident_mb(), Sketch(7, 100_000, 0)
        seconds = measure_seconds(
            lambda sketch=sketch, keys=keys: [sketch.add(key, 0) for key in keys]
        )
        rows.append(
            (
                count,
                "sketch",
                seconds / count * 1e6,
                resident_mb() - memory_before,
                sum(sketch.count(key, 0) for key in keys[:2_000]) / min(count, 2_000),
            )
        )
        memory_before, counts = resident_mb(), {}

        def add(counts=counts, keys=keys):
            for key in keys:
                counts[key] = counts.get(key, 0) + 1

        seconds = measure_seconds(add)
        rows.append((count, "dict", seconds / count * 1e6, resident_mb() - memory_before, 1.0))
    table.rows(
        "counting sources that occur once each",
        ("sources", "structure", "add us", "MB", "mean count (exact: 1)"),
        rows,
    )


# Duplicate requests without idempotency keys


def measure_duplicate_detection(table: Table) -> None:
    """Compares the executions with the intents of simulated devices.

    A device at times loses its session and sends an unanswered request again, and at times intends
    a request that is equal to an earlier one. Each intent should be executed once."""
    rows = []
    for repeat_probability in (0.0, 0.05, 0.3):
        for loss_probability in (0.05, 0.3):
            rows.append(
                (
                    repeat_probability,
                    loss_probability,
                    *simulate_intents(repeat_probability, loss_probability),
                )
            )
    table.rows(
        "10,000 intents of 200 devices, request class not idempotent",
        (
            "equal intents",
            "sessions lost",
            "requests sent",
            "detected",
            "false positives",
            "missed",
        ),
        rows,
    )


def simulate_intents(
    repeat_probability: float, loss_probability: float
) -> tuple[int, int, int, int]:
    """Requests sent, duplicates detected, intents not executed, and repeated executions."""
    rng, now = random.Random(5), 18_000_000_000_000
    config = EdgeConfig(listen=("127.0.0.1", 0), secrets="", arrivals=1_000_000)
    tokens = Tokens([SECRET], b"n")
    service = DeviceService(
        config, {"move": DeviceRequestClass(Effect.NON_IDEMPOTENT, 40_000)}, tokens, 1, now
    )
    connection = 0
    sent = false_positives = missed = 0
    for intent in range(10_000):
        now += rng.randrange(2_000)
        device = intent % 200
        token = tokens.make(DEVICE, b"d%d" % device, 2**40)
        body = b"same" if rng.random() < repeat_probability else b"%d" % intent
        connection += 1
        service.connection_opened(connection, b"\x7f\0\0" + bytes((rng.randrange(256),)), b"", now)
        service.frame_received(connection, frames.Hello(1, token, b"", 0, 16), now)
        executions = 0
        for attempt in range(6):
            sent += 1
            service.frame_received(connection, frames.Ask(1, "move", body, 0, 0), now)
            submitted = [each for each in service.take_actions() if each.type is ActionType.SUBMIT]
            executions += len(submitted)
            now += rng.randrange(500)
            for each in (
                submitted
            ):  # some are answered at once, the others after a possible loss of the session
                if rng.random() < 0.7:
                    service.send_answer(each.session, each.number, 0, b"r", 0, now)
            session = service.connections[connection].session
            if rng.random() >= loss_probability or attempt == 5:
                for each in submitted:
                    service.send_answer(each.session, each.number, 0, b"r", 0, now)
                for number in [each for each in session.open]:
                    service.send_answer(session, number, 0, b"r", 0, now)
                service.frame_received(connection, frames.Got(session.last_order), now)
                break
            service.connection_closed(connection, now)
            for each in submitted:
                service.send_answer(each.session, each.number, 0, b"r", 0, now)
            connection += 1
            service.connection_opened(connection, b"\x7f\0\0\1", b"", now)
            service.frame_received(connection, frames.Hello(1, token, b"", 0, 16), now)
        service.connection_closed(connection, now)
        service.tick(now)
        service.take_actions()
        false_positives += executions == 0
        missed += max(0, executions - 1)
    return sent, service.duplicate_detector.duplicates, false_positives, missed


# One polling thread, or one thread per connection


class ThreadPerConnectionHost:
    """Runs the same `DeviceService`. One thread per connection reads frames and puts them into one
    queue."""

    def __init__(
        self, config: EdgeConfig, request_classes: dict[str, DeviceRequestClass], on_request
    ) -> None:
        threading.stack_size(THREAD_STACK_BYTES)
        self.service = DeviceService(
            config, request_classes, Tokens([SECRET], b"n"), 1, Clock().now()
        )
        self.clock, self.on_request = Clock().now, on_request
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
            self.inbox.put((self._connection_opened, number))
            threading.Thread(target=self._read, args=(number, sock), daemon=True).start()

    def _connection_opened(self, number: int) -> None:
        self.service.connection_opened(number, b"\x7f\0\0\1", b"", self.clock())

    def _read(self, number: int, sock: socket.socket) -> None:
        stream = Stream(4_096)
        try:
            while chunk := sock.recv(2_048):
                for frame in stream.feed(chunk):
                    self.inbox.put((self._frame_received, number, frame))
        except OSError:
            pass

    def _frame_received(self, number: int, frame) -> None:
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
                    self.on_request(action.session, action.number, action.payload)


def run_host(kind: str, count: int, seconds: float) -> None:
    """Measures a host of this kind in this process; another process simulates the devices."""
    sys.setswitchinterval(SWITCH_INTERVAL)
    request_classes = {"look": DeviceRequestClass(Effect.IDEMPOTENT, 60_000)}
    secrets_file = Path(tempfile.mkdtemp()) / "secrets"
    secrets_file.touch(mode=0o600)
    secrets_file.write_text(SECRET.hex())
    config = EdgeConfig(
        listen=("127.0.0.1", 0),
        secrets=str(secrets_file),
        arrivals=1_000_000,
        sessions=count + 10,
        connections=count + 10,
    )
    memory_before = resident_mb()
    if kind == "polling":
        host = EdgeHost(
            config,
            request_classes,
            "n",
            1,
            Clock().now,
            lambda *arguments: host.send_answer(arguments[0], arguments[1], 0, b"ok", 0),
            lambda *arguments: None,
        )
        host.start()
    else:
        host = ThreadPerConnectionHost(
            config,
            request_classes,
            lambda *arguments: host.send_answer(arguments[0], arguments[1], 0, b"ok", 0),
        )
    output = subprocess.run(
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
    usage = resource.getrusage(resource.RUSAGE_SELF)
    figures = json.loads(output)
    print(json.dumps([resident_mb() - memory_before, *figures, usage.ru_utime + usage.ru_stime]))


def drive_devices(port: int, count: int, seconds: float) -> None:
    """Simulates devices: `ClientSession`s over plain sockets, with one request per second each."""
    import selectors

    resource.setrlimit(
        resource.RLIMIT_NOFILE, (8_192, resource.getrlimit(resource.RLIMIT_NOFILE)[1])
    )
    tokens, selector, rows = Tokens([SECRET], b""), selectors.DefaultSelector(), []
    for number in range(count):
        session = ClientSession(tokens.make(DEVICE, b"d%d" % number, 2**40))
        sock = socket.create_connection(("127.0.0.1", port), 10.0)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        session.connected()
        sock.sendall(session.take_output())
        row = [session, sock, Stream(1 << 16), {}, time.monotonic() + 1.0 + number / count]
        rows.append(row)
        selector.register(sock, selectors.EVENT_READ, row)
    response_times, end_at, sent_count = [], time.monotonic() + seconds + 1.0, 0
    while (now := time.monotonic()) < end_at:
        while rows[sent_count % count][4] <= now:
            row = rows[sent_count % count]
            row[3][row[0].send_request("look", b"x")] = now
            row[1].sendall(row[0].taken())
            row[4] = now + 1.0
            sent_count += 1
        for key, _ in selector.select(0.001):
            session, sock, stream, sent_at, _ = key.data
            for frame in stream.feed(sock.recv(65_536)):
                session.frame_received(frame)
                if isinstance(frame, frames.Answer):
                    response_times.append(time.monotonic() - sent_at.pop(frame.number))
            if data := session.take_output():
                sock.sendall(data)
    print(
        json.dumps(
            [
                len(response_times),
                quantile(response_times, 0.5) * 1000,
                quantile(response_times, 0.99) * 1000,
            ]
        )
    )


def measure_hosting(table: Table, count: int) -> None:
    rows = []
    for kind in ("polling", "thread per connection"):
        output = subprocess.run(
            [sys.executable, "-m", "benchmarks.edge", "--hosting", kind, str(count), "10"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        megabytes, answered, median, p99, cpu_seconds = json.loads(output)
        rows.append(
            (
                kind,
                megabytes,
                megabytes * 1000 / count,
                answered,
                median,
                p99,
                cpu_seconds * 1000 / max(1, answered),
            )
        )
    table.rows(
        f"{count:,} devices with one request per second each",
        (
            "host",
            "additional MB",
            "KB per device",
            "answered",
            "median ms",
            "99th percentile ms",
            "CPU ms per request",
        ),
        rows,
    )


# A thousand devices on bad links, together with proxies


def run_server(
    edge_options: str, rate: float, seconds: float, devices: int, memory_mb: float
) -> None:
    """Runs the app server and its executor; prints first its ports, and at the end its figures."""
    sys.setswitchinterval(SWITCH_INTERVAL)
    threading.stack_size(THREAD_STACK_BYTES)
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (8_192, resource.getrlimit(resource.RLIMIT_NOFILE)[1])
    )
    executor = StandInExecutor(
        2,
        run_time=lambda class_name, body: EXECUTION_TIMES[class_name],
        result=lambda class_name, body: body[:64],
    )
    event_queue = EventQueue()
    event_loop, components = build(
        make_process_config(executor.address, memory_mb=memory_mb), event_queue
    )
    secrets_file = Path(tempfile.mkdtemp()) / "secrets"
    secrets_file.touch(mode=0o600)
    secrets_file.write_text(SECRET.hex())
    if devices:
        text = (
            f"edge {{\n listen 127.0.0.1:0\n secrets {secrets_file}\n customer devices\n"
            " arrivals 1000000\n"
            + "".join(f" {line}\n" for line in edge_options.split(";") if line)
            + "}\n"
        )
        event_loop.subsystems.apply(parse_operator_file(text, "benchmark"))
    received: dict[str, float] = {}
    completed: dict[str, float] = {}
    late = 0
    if devices:
        frontend = event_loop.subsystems.devices
        request_received, send_response = frontend.request_received, frontend.send_response

        def counting_request_received(session, number, device_request):
            received[device_request.frame.group] = received.get(device_request.frame.group, 0) + 1
            deadlines[session, number] = (
                device_request.frame.group,
                time.monotonic() + TIMEOUTS[device_request.frame.group] + 0.05,
            )
            request_received(session, number, device_request)

        def counting_send_response(client, tag, response):
            nonlocal late
            class_name, deadline = deadlines.pop((client.session, tag), ("", 0.0))
            late += bool(class_name) and time.monotonic() > deadline
            if class_name and response.status.name == "COMPLETED":
                completed[class_name] = completed.get(class_name, 0) + 1
            send_response(client, tag, response)

        deadlines: dict = {}
        frontend.request_received, frontend.send_response = (
            counting_request_received,
            counting_send_response,
        )
    threading.Thread(target=event_loop.run, daemon=True).start()
    for component in components:
        component.start()
    edge_port = event_loop.subsystems.devices.edge.address[1] if devices else 0
    print(json.dumps([event_loop.listener.address[1], edge_port]), flush=True)
    memory_samples = []
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        time.sleep(0.5)
        memory_samples.append(resident_mb())
    counts = event_loop.subsystems.devices.edge.service.counts if devices else {}
    print(
        json.dumps(
            {
                "asked": received,
                "done": completed,
                "late": late,
                "sizes": memory_samples,
                "counts": counts,
                "twice": sum(executions > 1 for executions in executor.run_counts.values()),
                "ran": executor.finished_runs,
                "unanswered": len(deadlines) if devices else 0,
                "seconds": rate,
            }
        ),
        flush=True,
    )


def run_devices(
    port: int, count: int, rate: float, seconds: float, seed: int, first_device: int
) -> None:
    """Simulates devices that send requests at random, over bad links through one `Proxy`."""
    rng, tokens = random.Random(seed), Tokens([SECRET], b"")
    threading.stack_size(THREAD_STACK_BYTES)
    proxy = Proxy(("127.0.0.1", port), LinkConditions(reset=0.01, stall=(0.5, 5.0)), seed)
    devices = [
        Device(
            proxy.address,
            tokens.make(DEVICE, b"d%d" % (first_device + each), 2**40),
            seed=seed + each,
        )
        for each in range(count)
    ]
    sent, started_at = [], time.monotonic()
    while (now := time.monotonic()) < started_at + seconds:
        if len(sent) < (now - started_at) * rate:
            class_name = rng.choice(CLASS_MIX)
            device = rng.choice(devices)
            fields = {"key": f"{seed}-{len(sent)}"} if class_name == "swap" else {}
            sent.append(
                (
                    class_name,
                    device,
                    device.ask(class_name, b"%d-%d" % (seed, len(sent)), 0, **fields),
                )
            )
            if rng.random() < 0.02:
                device.session.session = b""  # a restarted app, which has lost its session
                device.session.got = 0
                device.drop_connection()
        else:
            time.sleep(0.002)
    give_up_at = time.monotonic() + 6.0
    counts: dict[str, list[int]] = {}
    duplicate_answers = 0
    for class_name, device, number in sent:
        outcomes = counts.setdefault(class_name, [0, 0, 0, 0])
        with device.changed:
            device.changed.wait_for(
                lambda d=device, n=number: n in d.session.outcomes,
                max(0.0, give_up_at - time.monotonic()),
            )
            outcome = device.session.outcomes.get(number)
        outcomes[3 if outcome is None else outcome.word] += 1
    for device in devices:
        duplicate_answers += device.session.duplicate_answers
    print(
        json.dumps(
            {
                "words": counts,
                "stalls": proxy.stalled_chunks,
                "resets": proxy.reset_count,
                "doubled": duplicate_answers,
            }
        )
    )
    os._exit(0)


def run_proxy_clients(port: int, rate: float, seconds: float) -> None:
    """Sends requests as the proxies do, and prints their outcomes."""
    rng, proxy_clients = random.Random(9), [ProxyClient(("127.0.0.1", port)) for _ in range(12)]
    sent, started_at = [], time.monotonic()
    while (now := time.monotonic()) < started_at + seconds:
        if len(sent) < (now - started_at) * rate:
            proxy_client = min(
                rng.sample(proxy_clients, 2), key=lambda each: len(each.sent_at) - len(each.answers)
            )
            class_name = rng.choice(CLASS_MIX)
            fields = {"k": f"r{len(sent)}"} if class_name == "swap" else {}
            sent.append(
                (
                    class_name,
                    proxy_client,
                    proxy_client.send_request(
                        class_name, b"x", 4_000 if class_name != "look" else 2_000, **fields
                    ),
                )
            )
        else:
            time.sleep(0.001)
    time.sleep(4.5)
    completed: dict[str, int] = {}
    sent_by_class: dict[str, int] = {}
    not_one_answer = 0
    for class_name, proxy_client, tag in sent:
        sent_by_class[class_name] = sent_by_class.get(class_name, 0) + 1
        answers = proxy_client.answers.get(tag, [])
        not_one_answer += len(answers) != 1
        completed[class_name] = completed.get(class_name, 0) + any(
            status == "done" for _, status, _ in answers
        )
    print(json.dumps({"asked": sent_by_class, "done": completed, "not_one_answer": not_one_answer}))


def benefit_ratio(completed: dict, sent: dict) -> float:
    """The benefit of the completed requests as a fraction of that of all requests."""
    offered_benefit = sum(BENEFIT[class_name] * count for class_name, count in sent.items())
    return (
        sum(BENEFIT[class_name] * completed.get(class_name, 0) for class_name in sent)
        / offered_benefit
        if offered_benefit
        else float("nan")
    )


# Requests per second that two cores can execute.
CAPACITY = 2 / (sum(EXECUTION_TIMES[each] for each in CLASS_MIX) / len(CLASS_MIX))


def run_fleet(edge_options: str, devices: int, seconds: float, device_share: float) -> dict:
    """Sends 130 % of the load that the server can execute, `device_share` of it from devices."""
    rate = 1.3 * CAPACITY
    server = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "benchmarks.edge",
            "--serve",
            edge_options,
            str(rate),
            str(seconds + 12),
            str(devices),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    listener_port, edge_port = json.loads(server.stdout.readline())
    processes, workers = [], 4
    proxy_rate = rate * (1 - device_share)
    processes.append(
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.edge",
                "--routers",
                str(listener_port),
                str(proxy_rate),
                str(seconds),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
    )
    for each in range(workers if devices else 0):
        processes.append(
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "benchmarks.edge",
                    "--devices",
                    str(edge_port),
                    str(devices // workers),
                    str(rate * device_share / workers),
                    str(seconds),
                    str(each + 1),
                    str(each * 1_000),
                ],
                stdout=subprocess.PIPE,
                text=True,
            )
        )
    results = [json.loads(each.communicate()[0]) for each in processes]
    return {
        "routers": results[0],
        "devices": results[1:],
        "server": json.loads(server.communicate()[0]),
    }


def measure_fleet(table: Table, devices: int, seconds: float) -> None:
    rows = []
    baseline = run_fleet("", 0, seconds, 0.0)
    proxies = baseline["routers"]
    rows.append(
        (
            "edge off, all requests from proxies",
            benefit_ratio(proxies["done"], proxies["asked"]),
            "-",
            "-",
            "-",
            proxies["not_one_answer"],
            0,
            0,
            max(baseline["server"]["sizes"]),
        )
    )
    for name, edge_options in (
        ("all features on", ""),
        ("no estimates", "estimates no"),
        ("no repeats", "repeats no"),
        ("no resume", "resume no"),
    ):
        results = run_fleet(edge_options, devices, seconds, 0.4)
        proxies, server = results["routers"], results["server"]
        outcomes: dict[str, list[int]] = {}
        for each in results["devices"]:
            for class_name, counts in each["words"].items():
                outcomes[class_name] = [
                    a + b for a, b in zip(outcomes.get(class_name, [0] * 4), counts, strict=True)
                ]
        observed = benefit_ratio(
            {class_name: counts[0] for class_name, counts in outcomes.items()},
            {class_name: sum(counts) for class_name, counts in outcomes.items()},
        )
        memory_samples = server["sizes"]
        rows.append(
            (
                name,
                benefit_ratio(proxies["done"], proxies["asked"]),
                benefit_ratio(server["done"], server["asked"]),
                observed,
                sum(counts[3] for counts in outcomes.values()),
                proxies["not_one_answer"],
                server["late"],
                server["twice"],
                max(memory_samples),
            )
        )
        table.say(
            f"{name}: stalls {sum(each['stalls'] for each in results['devices']):,}, resets "
            f"{sum(each['resets'] for each in results['devices']):,}, {server['counts']}, "
            f"unanswered at the end {server['unanswered']}, memory by quarters of the run "
            + " ".join(
                f"{memory_samples[len(memory_samples) * quarter // 4]:.0f}" for quarter in range(4)
            )
            + f" {memory_samples[-1]:.0f} MB\n"
        )
    table.rows(
        f"{devices:,} devices on bad links and proxies, load 130 % of two cores, {seconds:.0f} s",
        (
            "edge",
            "benefit, proxies",
            "benefit, devices (server)",
            "benefit, devices (observed)",
            "no answer in 6 s",
            "proxies: not exactly one answer",
            "answered late",
            "executed twice",
            "max MB",
        ),
        rows,
    )


def main() -> None:
    arguments = sys.argv[1:]
    if arguments[:1] == ["--hosting"]:
        run_host(arguments[1], int(arguments[2]), float(arguments[3]))
    elif arguments[:1] == ["--drive"]:
        drive_devices(int(arguments[1]), int(arguments[2]), float(arguments[3]))
    elif arguments[:1] == ["--serve"]:
        run_server(arguments[1], float(arguments[2]), float(arguments[3]), int(arguments[4]), 192.0)
    elif arguments[:1] == ["--routers"]:
        run_proxy_clients(int(arguments[1]), float(arguments[2]), float(arguments[3]))
    elif arguments[:1] == ["--devices"]:
        run_devices(
            int(arguments[1]),
            int(arguments[2]),
            float(arguments[3]),
            float(arguments[4]),
            int(arguments[5]),
            int(arguments[6]),
        )
    else:
        chosen = arguments or ["structures", "repeats", "hosting", "fleet"]
        table = Table("edge-" + "-".join(chosen) if arguments else "edge")
        table.say(f"# The device edge, Python {sys.version.split()[0]}\n")
        if "structures" in chosen:
            measure_timers(table)
            measure_counting(table)
        if "repeats" in chosen:
            measure_duplicate_detection(table)
        if "hosting" in chosen:
            measure_hosting(table, 1_000)
        if "fleet" in chosen:
            measure_fleet(table, 1_000, 20.0)
        table.write()


if __name__ == "__main__":
    main()
