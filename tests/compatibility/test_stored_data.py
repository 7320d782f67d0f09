"""Stores written by an earlier version (revision ef429c2) are read without loss.

A changed table number, field order or key would lose the effects, sessions and learned state at an
upgrade. `data/app-server-store` contains the owner file, a snapshot, a log written before the
snapshot and one written after it; `data/membership-store` contains the log of the membership
subsystem. The files were generated with the earlier version; the expected values are in this file.
"""

import shutil
from pathlib import Path

import msgspec
import pytest

from lilacwalk.edge import session_codec
from lilacwalk.edge.link import Link
from lilacwalk.event_queue import EventQueue
from lilacwalk.membership.persistence import decode_incarnation, decode_members
from lilacwalk.server.integrations.persistence import PersistenceIntegration
from lilacwalk.storage.config import StorageConfig
from lilacwalk.storage.disk import Directory
from lilacwalk.storage.recovery import recover

DATA = Path(__file__).parent / "data"
WRITTEN_AT = 17_000_000_000_000  # Unix time in tenths of a millisecond, like all times of a store
EXPIRES_AT = 41_000_000_000_000

# (sequence number, table, key, value decoded from MessagePack, expiry, time written)
APP_SERVER_ROWS = [
    (
        2,
        2,
        bytes.fromhex("6a343083a3aad21251aa7f626280b81a"),
        ["swap", "acme", "id", "id-4"],
        EXPIRES_AT,
        WRITTEN_AT,
    ),
    (
        5,
        3,
        bytes.fromhex("56d7e3a4dc7332f654e005fa9a493513"),
        [["swap", "acme", "key", "order-17"], b"did order-17"],
        EXPIRES_AT + 1,
        WRITTEN_AT,
    ),
    (
        8,
        3,
        b"over",
        [["swap", "acme", "key", "old"], b"gone"],
        WRITTEN_AT + 10,
        WRITTEN_AT,
    ),
    (
        9,
        5,
        b"controller",
        [0.625, -0.125, 412.5, {"swap": 40.0, "look": 250.25}, 31.5, 20.25],
        EXPIRES_AT,
        WRITTEN_AT + 1,
    ),
    (10, 7, b"standing", [1812.5, True, False], EXPIRES_AT, WRITTEN_AT + 2),
    (11, 9, b"standing", {"east": [3, 600_000], "west": [1, 0]}, EXPIRES_AT, WRITTEN_AT + 3),
    (
        12,
        4,
        b"ident-0123456789",
        [
            b"meter-1",
            True,
            8,
            5,
            3,
            [[4, 1, "swap", "acme", "order-17"], [5, 0, "look", "acme", ""]],
            [[3, 3, 1, b"did order-99", 250, 2]],
        ],
        EXPIRES_AT,
        WRITTEN_AT + 4,
    ),
    (
        13,
        3,
        bytes.fromhex("4a20b29d50bb6663d41ea6c877a2953c"),
        [["swap", "globex", "key", "order-99"], b"did order-99"],
        EXPIRES_AT + 2,
        WRITTEN_AT + 5,
    ),
]
MEMBERS = [
    [
        "n1",
        31,
        5,
        2,
        0,
        "",
        ["east", "10.0.0.1", 7001, 12, 2, False, 8, 950, 640, 875, [], "", [], [], ""],
    ],
    [
        "n2",
        32,
        5,
        2,
        1,
        "n1",
        ["east", "10.0.0.2", 7001, 12, 2, False, 8, 950, 640, 875, [], "", [], [], "slow"],
    ],
]


@pytest.fixture
def copy_store(tmp_path):
    def copy(name):
        return Path(shutil.copytree(DATA / name, tmp_path / name))

    return copy


def recover_store(path):
    disk = Directory(str(path))
    return recover(disk.list_files(), disk.read)


def test_rows_of_an_app_server_store_equal_those_written(copy_store):
    recovery = recover_store(copy_store("app-server-store"))
    rows = [
        (
            row.sequence,
            int(row.table),
            row.key,
            msgspec.msgpack.decode(row.value),
            row.expires_at,
            row.written_at,
        )
        for row in recovery.state.rows.values()
    ]
    assert sorted(rows, key=lambda row: row[0]) == APP_SERVER_ROWS
    assert recovery.snapshot == "snap-00000000000000000008"
    assert recovery.next_sequence == 15
    assert recovery.is_complete
    assert recovery.warnings == []


def test_app_server_restores_the_state_that_the_earlier_version_stored(copy_store):
    queue = EventQueue()
    effects = []
    classes = {"swap": object(), "look": object()}
    persistence = PersistenceIntegration(
        StorageConfig(directory=str(copy_store("app-server-store"))),
        "n7",
        queue,
        classes,
        effects.extend,
        lambda _token, _persisted: None,
    )
    persistence.start()
    try:
        callback = queue.get(timeout=10)
        callback.handler(*callback.arguments)
    finally:
        persistence.end(10)
    assert {(each.cache_key, each.result, each.expires_at) for each in effects} == {
        (("swap", "acme", "id", "id-4"), None, EXPIRES_AT),
        (("swap", "acme", "key", "order-17"), b"did order-17", EXPIRES_AT + 1),
        (("swap", "globex", "key", "order-99"), b"did order-99", EXPIRES_AT + 2),
    }
    learned = persistence.learned.state
    assert persistence.learned.written_at == WRITTEN_AT + 1
    assert learned.admission_probability == 0.625
    assert learned.last_error == -0.125
    assert learned.mean_execution_time == 412.5
    assert learned.execution_times == {classes["swap"]: 40.0, classes["look"]: 250.25}
    assert learned.call_time == 31.5
    assert learned.baseline_call_time == 20.25
    damping = persistence.subsystems.recovered_damping.value
    assert persistence.subsystems.recovered_damping.written_at == WRITTEN_AT + 2
    assert (damping.penalty, damping.suppressed, damping.announced) == (1812.5, True, False)
    sites = persistence.subsystems.recovered_sites
    assert sites.value == {"east": (3, 600_000), "west": (1, 0)}
    assert sites.written_at == WRITTEN_AT + 3
    assert list(persistence.recovered_sessions) == [b"ident-0123456789"]


def test_device_session_is_restored_with_requests_and_unacknowledged_answers(copy_store):
    rows = recover_store(copy_store("app-server-store")).state.rows
    value = rows[4, b"ident-0123456789"].value
    session = session_codec.decode_session(b"ident-0123456789", value, Link(), 0)
    reencoded = msgspec.msgpack.decode(session_codec.encode_session(session))
    expected = list(APP_SERVER_ROWS[6][3])
    # The numbers of answers that were lost between two rows must not be reused.
    expected[4] += session_codec.ORDER_INCREMENT
    assert reencoded == expected


def test_rows_of_a_membership_store_equal_those_written(copy_store):
    recovery = recover_store(copy_store("membership-store"))
    rows = [
        (row.sequence, int(row.table), row.key, row.expires_at, row.written_at)
        for row in recovery.state.rows.values()
    ]
    assert rows == [
        (1, 8, b"life", 0, WRITTEN_AT + 6),
        (2, 8, b"members", 0, WRITTEN_AT + 6),
    ]
    assert recovery.is_complete
    incarnation, members = [row.value for row in recovery.state.rows.values()]
    assert decode_incarnation(incarnation) == 42
    assert msgspec.msgpack.decode(members) == MEMBERS
    assert msgspec.msgpack.encode(decode_members(members)) == members
