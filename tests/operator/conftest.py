"""Fixtures: an operator's file with an announce block, and the problems reported for a text."""

import pytest

from lilacwalk.operator.loader import UnusableFileError, parse_operator_file

OPERATOR_FILE = """
announce {
    as 65010            # ours
    router-id 127.0.0.1
    next-hop 127.0.0.1
    shutdown-text "back at \\"noon\\""
    service 192.0.2.10/32
    service 2001:db8::10/128 {
        next-hop ::1
        communities 65010:7 no-export 65010:1:2
    }
    ready-for 200ms
    hold-time 9s
    damping {
        half-life 5s
        suppress 3000
        reuse 750
        longest 1.5m
    }
    prefix-list ours {
        permit 10.0.0.0/8 ge 16 le 24
        deny 0.0.0.0/0 le 32
    }
    policy in {
        term accept {
            prefix-list ours
            set-med 5
        }
    }
    peer 127.0.0.1:1790 {
        as 65020
        connect-retry 200ms
        import in
    }
    peer [::1]:1791 {
        as 4200000000
    }
}
"""


@pytest.fixture
def operator_file():
    return OPERATOR_FILE


@pytest.fixture
def problems_of():
    def problem_lines(text):
        with pytest.raises(UnusableFileError) as error:
            parse_operator_file(text, "f")
        return str(error.value).splitlines()

    return problem_lines
