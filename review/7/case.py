"""A drain while bad clients send hundreds of refused requests each: is its grace kept?"""

from __future__ import annotations

import multiprocessing
import signal
import time
from pathlib import Path

import harness

CLIENTS, PROCESSES = 40, 4
REQUESTS = 200  # of one client at once
GRACE_MS, STOP_MS = 2500, 3200
RUN_SECONDS = 0.05
CLASSES = [
    {
        "name": name,
        "aim_ms": 1800.0,
        "hard_limit_ms": 4600.0,
        "effect": "safe",
        "worth": worth,
        "late_worth": 0.0,
    }
    for name, worth in (("eligibility", 1.0), ("stock-check", 1.0), ("swap-confirm", 3.0))
]


def bad_clients(address: tuple[str, int], count: int, number: int, until: float) -> None:
    """Clients that ask for a class that does not exist, hundreds of times at once.

    Each reads what it is sent, and does the same again on a new connection as soon as it has been
    turned away.
    """
    next_ident = number << 52

    def message() -> bytes:
        nonlocal next_ident
        now = int(time.time() * 1000)
        data = bytearray()
        for tag in range(1, REQUESTS + 1):
            next_ident += 1
            fields = f"i={next_ident:016x},s={now},f=99,t=mar-azul,d=4600,m=24.5,p=0.5"
            data += harness.encode_array(
                b"SUBMIT", b"%d" % tag, b"no-such-class", fields.encode(), b"x"
            )
        return bytes(data)

    harness.BadClients(address, count, message, go_when_answered=True).run(until)


def play(record: harness.Record) -> int:
    """Plays the case; returns its exit code."""
    kernel = harness.Kernel(record, lambda _class, _body: RUN_SECONDS)
    server = harness.AppServer(
        record,
        kernel,
        harness.settings("recife-main", CLASSES),
        memory_mb=192,
        sockets=512,
        stop_ms=STOP_MS,
    )
    bad: list[multiprocessing.Process] = []
    try:
        server.start()
        router = harness.Router(record, server.address, 1)
        assert router.connect()
        until = time.time() + 3.0
        if harness.has_trouble():
            record(f"trouble: {CLIENTS} bad clients")
            for number in range(1, PROCESSES + 1):
                arguments = (server.address, CLIENTS // PROCESSES, number, time.time() + 8.0)
                bad.append(multiprocessing.Process(target=bad_clients, args=arguments))
                bad[-1].start()
        notice = 0.0
        number = 0
        while not notice or time.time() < notice + STOP_MS / 1000:
            if not notice and time.time() >= until:
                notice = time.time()
                server.process.send_signal(signal.SIGTERM)
                record("SIGTERM")
            # Routers learn of the drain some seconds late; until then, they send on.
            if not notice or time.time() < notice + 3.1:
                number += 1
                router.submit(CLASSES[number % 3]["name"], b"%d" % number, 4600, "mar-azul")
            time.sleep(0.02)
        if server.process.poll() is None:
            server.process.kill()
            record("SIGKILL")
        time.sleep(0.2)
    finally:
        for each in bad:
            each.kill()
            each.join()
        server.end()
        kernel.end()
    return judge(record, kernel, router, notice)


def judge(
    record: harness.Record, kernel: harness.Kernel, router: harness.Router, notice: float
) -> int:
    """Applies the rule "safe drain" and the share of lost requests that is allowed."""
    run_ids = {each[1] for each in kernel.runs}
    grace_ms = GRACE_MS + harness.SOCKET_SLACK_MS
    late = [
        each
        for each in router.sent
        if each.ident in run_ids and int(each.sent_at * 1000) > int(notice * 1000) + grace_ms
    ]
    for each in late:
        record(f"ran, {(each.sent_at - notice) * 1000:.0f} ms after the notice: {each.ident}")
    held = [each for each in router.sent if each.sent_at < notice + GRACE_MS / 1000]
    unanswered = [each for each in held if not each.word]
    words = {word: sum(each.word == word for each in router.sent) for word in ("done", "later")}
    record.both(
        f"{len(router.sent)} requests of the router ({words}), {len(late)} ran that came more than "
        f"{grace_ms} ms after the notice; of {len(held)} sent before the end of the grace, "
        f"{len(unanswered)} had no answer at the stop"
    )
    is_broken = bool(late) or len(unanswered) > 0.003 * len(held)
    return harness.BROKEN if is_broken else harness.HELD


if __name__ == "__main__":
    harness.run_case(str(Path(__file__).resolve().parent), play)
