"""Helpers for storage tests: a simulated process on a disk that may crash, and app servers."""

import random
import socket
import subprocess
import sys
import time

import msgspec
import pytest

from lilacwalk.edge.client.device import Device
from lilacwalk.edge.tokens import DEVICE, Tokens
from lilacwalk.storage.disk import Directory
from lilacwalk.storage.operations import Durability, JournalLimits, WriteRequest
from lilacwalk.storage.recovery import recover
from lilacwalk.storage.store import open_journal, perform
from lilacwalk.testing.disk import FaultyDisk
from lilacwalk.testing.restart_soak import RestartSoak
from tests.conftest import ROOT

WAIT_TIMEOUT_SECONDS = 15.0
SMALL_LIMITS = JournalLimits(
    batch_delay=10,
    batch_bytes=120,
    segment_bytes=500,
    snapshot_after_bytes=1_500,
    max_disk_bytes=1_000_000,
    slow_sync_time=20_000,
)


class Process:
    """A process on a disk, with all values that it wrote and those that were acknowledged.

    `history` holds all values written for each key, `acknowledged` the number of them that are
    acknowledged as persisted.
    """

    def __init__(self, disk, durability=Durability.SYNCED, limits=SMALL_LIMITS, history=None):
        self.disk = disk
        self.now = 0
        self.history = history if history is not None else {}
        self.acknowledged = {}
        opened = open_journal(disk, durability, limits, 0)
        self.journal = opened.journal
        self.recovered = opened.recovered
        self.refused = []

    def put(self, key, value):
        values = self.history.setdefault(key, [None])
        if self.journal.append(WriteRequest(1, key, value, token=(key, len(values))), self.now):
            values.append(value)
        else:
            self.refused.append(key)

    def work(self, time=20):
        """Advances the clock, then performs the operations that are due."""
        self.now += time
        self.journal.check_slow_operation(self.now)
        while (operation := self.journal.next_operation(self.now)) is not None:
            try:
                perform(self.disk, operation)
            except OSError as error:
                self.journal.operation_failed(error.errno, self.now)
            else:
                self.journal.operation_done(self.now)
        for acknowledgement in self.journal.take_acknowledgements():
            key, count = acknowledgement.token
            if acknowledgement.is_persisted:
                self.acknowledged[key] = max(self.acknowledged.get(key, 0), count)

    def value(self, key):
        row = self.journal.state.rows.get((1, key))
        return None if row is None else row.value


def run_history(process, rng, steps=60):
    """Puts random values and deletions of eight keys, and performs operations in between."""
    for _ in range(steps):
        key = b"k%d" % rng.randrange(8)
        process.put(key, None if rng.random() < 0.2 else rng.randbytes(rng.randrange(1, 60)))
        if rng.random() < 0.6:
            process.work()
    process.work()


def check_recovered(process, before):
    """Checks that no acknowledged value is lost and that only keys that were put have a row.

    A key may have its last acknowledged value or one that was written later.
    """
    for key, values in before.history.items():
        count = before.acknowledged.get(key, 0)
        assert process.value(key) in values[count:], (key, count)
    assert {key for _, key in process.journal.state.rows} <= set(before.history)


def count_operations(seed):
    """Returns the number of disk operations of a history without a crash."""
    disk = FaultyDisk(seed)
    run_history(Process(disk), random.Random(seed))
    return disk.operation_count


@pytest.fixture
def make_soak():
    """Makes app servers with a store; tests can kill and restart these app servers."""
    soaks = []

    def make(**options):
        soaks.append(RestartSoak(**options))
        return soaks[-1]

    yield make
    for soak in soaks:
        soak.end()


def run_storage_command(*arguments):
    return subprocess.run(
        [sys.executable, "-B", "-m", "lilacwalk", "storage", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )


def persisted_row(server, table):
    """Returns the decoded row of a table as a restarted server would recover it."""
    disk = Directory(str(server.directory))
    rows = [
        row
        for row in recover(disk.list_files(), disk.read).state.rows.values()
        if row.table == table
    ]
    return msgspec.msgpack.decode(rows[0].value) if rows else (None, None, None)


def listen_for_devices(server):
    """Adds a device listener at a fixed address; returns a function that connects a device."""
    secret = bytes(range(32))
    path = server.server.directory / "secrets"
    path.write_text(secret.hex() + "\n")
    path.chmod(0o600)
    with socket.create_server(("127.0.0.1", 0)) as free_port_socket:
        address = free_port_socket.getsockname()
    server.server.extra_statements += (
        f"edge {{\n    listen {address[0]}:{address[1]}\n    secrets {path}\n"
        "    customer acme\n}\n"
    )
    token = Tokens([secret], b"").make(DEVICE, b"tablet", int(time.time()) + 3600)
    return lambda: Device(address, token)
