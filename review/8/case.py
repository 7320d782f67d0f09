"""Connections to the TLS edge are reset before they are accepted: are the other devices served?"""

from __future__ import annotations

import socket
import ssl
import struct
import time
from pathlib import Path

import harness

from lilacwalk.edge.client.device import Device
from lilacwalk.edge.tokens import DEVICE, Tokens

FOLDER = Path(__file__).resolve().parent
RESETS = 40
SECRET = bytes(range(32))
TIMEOUT_MS = 4600
CLASSES = [
    {
        "name": "eligibility",
        "aim_ms": 1800.0,
        "hard_limit_ms": float(TIMEOUT_MS),
        "effect": "safe",
        "worth": 1.0,
        "late_worth": 0.5,
    },
    {
        "name": "swap-confirm",
        "aim_ms": 1800.0,
        "hard_limit_ms": float(TIMEOUT_MS),
        "effect": "unsafe",
        "worth": 3.0,
        "late_worth": 0.5,
    },
]
OPERATOR_FILE = """edge {
    listen EDGE
    secrets FOLDER/secrets
    customer mar-azul
    tls {
        certificate FOLDER/certificate.pem
        key FOLDER/key.pem
    }
}
"""
WORDS = ("completed", "denied", "terminated")


def connect_and_reset(address: tuple[str, int]) -> bool:
    """Connects and resets the connection at once; returns whether it was accepted."""
    sock = socket.socket()
    sock.settimeout(2.0)
    try:
        sock.connect(address)
    except OSError:
        return False
    finally:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
    return True


def play(record: harness.Record) -> int:
    """Plays the case; returns its exit code."""
    edge = harness.free_address()
    kernel = harness.Kernel(record, lambda _class, _body: 1.0)
    server = harness.AppServer(
        record,
        kernel,
        harness.settings("recife-main", CLASSES),
        operator_file=OPERATOR_FILE.replace("EDGE", harness.format_address(edge)),
        files={
            "secrets": SECRET.hex().encode() + b"\n",
            "certificate.pem": (FOLDER / "test-certificate.pem").read_bytes(),
            "key.pem": (FOLDER / "test-key.pem").read_bytes(),
        },
    )
    token = Tokens([SECRET], b"").make(DEVICE, b"tablet", int(time.time()) + 3600)
    tls = ssl.create_default_context(cafile=str(FOLDER / "test-certificate.pem"))
    unanswered = []
    device = None
    try:
        server.start()
        device = Device(edge, token, tls, "localhost", seed=1)

        def ask(group: str, body: bytes) -> int:
            number = device.ask(group, body, TIMEOUT_MS)
            record(f"device asks {number} {group} {body!r}")
            return number

        def await_answer(number: int) -> None:
            try:
                # Until the due time, the slack of the settings, and a second more.
                outcome = device.outcome(number, TIMEOUT_MS / 1000 + 0.1 + 1.0)
                record(f"device has the answer to {number}: {WORDS[outcome.word]} {outcome.body!r}")
            except (TimeoutError, ConnectionRefusedError) as error:
                record(f"device has NO answer to {number}: {error}")
                unanswered.append(number)

        await_answer(ask("eligibility", b"first"))
        numbers = [ask("swap-confirm", b"in flight %d" % each) for each in range(3)]
        limit = time.monotonic() + 5.0
        while not kernel.count(b"in flight 2") and time.monotonic() < limit:
            time.sleep(0.01)
        if harness.has_trouble():
            accepted = sum(connect_and_reset(edge) for _ in range(RESETS))
            record(f"trouble: {accepted} connections accepted by the system, and reset")
        for number in numbers:
            await_answer(number)
        await_answer(ask("eligibility", b"afterwards"))
        is_refused = not connect_and_reset(edge)
    finally:
        if device is not None:
            device.end()
        server.end()
        kernel.end()
    record.both(
        f"requests of the device without an answer: {unanswered or 'none'}; "
        f"a further connection was {'refused' if is_refused else 'accepted'}"
    )
    return harness.BROKEN if unanswered else harness.HELD


if __name__ == "__main__":
    harness.run_case(str(FOLDER), play)
