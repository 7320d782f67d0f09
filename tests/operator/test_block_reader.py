"""The block reader turns statements into configuration records or reports problems."""

import pytest

from lilacwalk.operator.loader import parse_operator_file


def test_units_quotes_nested_blocks_and_repeated_statements_are_parsed(operator_file):
    config = parse_operator_file(operator_file, "f").announce
    assert (config.as_, config.ready_for, config.hold_time, config.damping.longest) == (
        65010,
        2000,
        90_000,
        900_000,
    )
    assert config.shutdown_text == 'back at "noon"'
    assert config.propagation == 3000
    assert [str(service.prefix) for service in config.service] == [
        "192.0.2.10/32",
        "2001:db8::10/128",
    ]
    assert config.service[1].communities == (
        65010 << 16 | 7,
        0xFFFFFF01,
        1 << 96 | 65010 << 64 | 1 << 32 | 2,
    )
    assert [peer.address for peer in config.peer] == [("127.0.0.1", 1790), ("::1", 1791)]
    assert [permit for permit, _ in config.prefix_list[0].lines] == [True, False]
    assert config.policy[0].term[0].set_med == 5
    assert config.peer[0].import_ == "in"


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        (
            "ready-for 200ms",
            "ready-for 200",
            "@ 200: expected a number with a unit (ms, s, m, h), such as 200ms",
        ),
        ("ready-for 200ms", "ready-for 200KB", "@ 200KB: expected a number with a unit"),
        (
            "ready-for 200ms",
            "ready-for 0.01ms",
            "@ 0.01ms: expected a multiple of 0.1 ms",
        ),
        ("ready-for 200ms", "ready-fro 200ms", "@ ready-fro: expected one of as, router-id"),
        ("ready-for 200ms", "ready-for", "@ ready-for: expected a value after the keyword"),
        ("ready-for 200ms", "ready-for 1s 2s", "@ 2s: expected the end of the line"),
        ("ready-for 200ms", "ready-for 25h", "@ 25h: expected "),
        (
            "hold-time 9s",
            "hold-time 9s\n    hold-time 9s",
            "hold-time: expected once, but line 13 has this keyword too",
        ),
        ("hold-time 9s", "hold-time 2s", "@ hold-time: expected 0s, or whole seconds from 3s on"),
        ("as 65010 ", "as 0 ", "@ 0: expected "),
        ("as 65010 ", "as x1 ", "@ x1: expected a whole number of at most 18 digits"),
        ("    as 65010            # ours\n", "", "f:2: announce: expected as in this block"),
        (
            "192.0.2.10/32",
            "192.0.2.10/24",
            "@ 192.0.2.10/24: expected no host bits set after the prefix length",
        ),
        ("192.0.2.10/32", "example", "@ example: expected a prefix"),
        ("service 192.0.2.10/32", "service", "@ service: expected an argument (prefix)"),
        (
            "service 192.0.2.10/32",
            "service 2001:db8::10/128",
            "service: expected 2001:db8::10/128 once",
        ),
        ("        next-hop ::1\n", "", "expected a next-hop of 2001:db8::10/128's own family"),
        ("suppress 3000", "suppress 700", "reuse: expected less than suppress, which is 700"),
        ("damping {", "damping 5 {", "@ 5: expected no further word before {"),
        ("ge 16", "ge 4", "ge: expected 8 to 32"),
        ("import in", "import out", "expected a policy out, which is not in the file"),
        ("term accept", "term maybe", "@ maybe: expected one of accept, reject"),
        (
            "[::1]:1791",
            "router.example:179",
            "@ router.example:179: expected an address and a port",
        ),
        ("as 4200000000", "as 65030\n mode passive", "expected an address to listen on"),
        ("65010:7", "65010:70000", "@ 65010:70000: expected a community"),
        (
            "    peer [::1]",
            "    peer 127.0.0.1:1790 {\n  as 65020\n }\n    peer [::1]",
            "127.0.0.1 once, not",
        ),
        ("half-life 5s", "half-life 5s {", "@ half-life: expected a value without a block"),
        ('noon\\""', 'noon\\"', '@ shutdown-text: expected a closing "'),
    ],
)
def test_a_problem_states_the_line_the_word_and_what_was_expected(
    old, new, message, operator_file, problems_of
):
    assert operator_file.count(old) == 1
    text = operator_file.replace(old, new, 1)
    line = text[: text.index(new.split("\n")[0])].count("\n") + 1 if new else 0
    expected = message.replace("@", f"f:{line}:")
    problems = problems_of(text)
    assert any(expected in problem for problem in problems), (expected, problems)


def test_several_problems_are_reported_together_in_line_order(operator_file, problems_of):
    text = (
        operator_file.replace("200ms", "soon")
        .replace("as 65020", "as none")
        .replace("suppress 3000", "supress 1")
    )
    lines = [line.split(":")[1] for line in problems_of(text)]
    assert lines == ["12", "16", "31", "32"]
