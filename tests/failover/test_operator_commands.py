"""Operator commands in member metadata: the newest applies, and each expires."""

from lilacwalk.failover.operator_commands import (
    OperatorCommand,
    newest_commands,
    put_command,
    read_command,
)


def test_the_newest_command_for_a_site_applies_until_it_expires():
    first = OperatorCommand("hold", "recife", 1_000, 61_000)
    second = OperatorCommand("release", "recife", 2_000, 62_000)
    gossiped = [(str(first),), (str(second),), ("nonsense",), ("hold recife 1 99999999999",)]
    assert newest_commands(gossiped, 3_000) == {"recife": second}
    assert newest_commands(reversed(gossiped), 3_000) == {"recife": second}
    assert newest_commands(gossiped, 62_000) == {}
    assert read_command(str(first)) == first


def test_metadata_holds_a_bounded_number_of_commands_one_for_each_site():
    texts = ()
    for index in range(9):
        texts = put_command(texts, OperatorCommand("hold", f"s{index}", index, 1_000), 10)
    texts = put_command(texts, OperatorCommand("release", "s8", 20, 1_000), 10)
    assert len(texts) == 4
    assert sum(" s8 " in each for each in texts) == 1
