"""Operator commands in member metadata: the newest applies, and each expires."""

from lilacwalk.failover.operator_commands import (
    OperatorCommand,
    newest_commands,
    put_command,
    read_command,
)


def test_the_newest_command_for_a_site_applies_until_it_expires():
    earlier = OperatorCommand("hold", "recife", 1_000, 61_000)
    newest = OperatorCommand("release", "recife", 2_000, 62_000)
    gossiped = [(str(earlier),), (str(newest),), ("nonsense",), ("hold recife 1 99999999999",)]
    assert newest_commands(gossiped, 3_000) == {"recife": newest}
    assert newest_commands(reversed(gossiped), 3_000) == {"recife": newest}
    assert newest_commands(gossiped, 62_000) == {}
    assert read_command(str(earlier)) == earlier


def test_metadata_holds_at_most_four_commands_and_only_the_newest_for_a_site():
    entries = ()
    for index in range(9):
        entries = put_command(entries, OperatorCommand("hold", f"s{index}", index, 1_000), 10)
    entries = put_command(entries, OperatorCommand("release", "s8", 20, 1_000), 10)
    assert len(entries) == 4
    assert sum(" s8 " in entry for entry in entries) == 1
