"""Helpers for the failover tests: an operator file with three sites, and node views."""

import pytest

from lilacwalk.failover.detector import MemberStatus
from lilacwalk.failover.node_selection import NodeView
from lilacwalk.membership.messages import Health, NodeState
from lilacwalk.operator.loader import parse_operator_file

SECOND = 10_000
OPERATOR_FILE_TEMPLATE = """sites {{
    site recife {{
        cores {cores}
        load {load}
        stand-in caruaru 5ms
        stand-in natal 12ms
        service 192.0.2.10/32
    }}
    site caruaru {{
        cores 24
        load 14
        stand-in recife 5ms
        stand-in natal 9ms
    }}
    site natal {{
        cores 24
        load 14
        stand-in caruaru 9ms
        stand-in recife 12ms
    }}
    shared index {index}
    class swap-confirm {{
        benefit 6
        share 0.25
        calls 1
        effect mutating
    }}
    class stock-check {{
        benefit 2
        share 0.35
    }}
    class eligibility {{
        share 0.4
    }}
    bear {bear}
    headroom 0.1
    least-share 0.2
}}
"""


def operator_file_text(**values):
    return OPERATOR_FILE_TEMPLATE.format(
        **({"cores": 24, "load": 14, "index": 10_000, "bear": "any-one"} | values)
    )


def failover_config(**values):
    return parse_operator_file(operator_file_text(**values), "file").sites


def node_view(
    name,
    site,
    health=Health.ALIVE,
    state=NodeState.READY,
    utilisation=0.6,
    completed_per_second=100,
    cores=6,
):
    return NodeView(
        name, MemberStatus(site, health, state, cores, utilisation, completed_per_second)
    )


def node_views(failed_sites=(), states=None, count=4):
    """Returns `count` members of each site; those of failed sites are dead."""
    return [
        node_view(
            f"{site[0]}{index}",
            site,
            Health.DEAD if site in failed_sites else Health.ALIVE,
            (states or {}).get(site, NodeState.READY),
        )
        for site in ("recife", "caruaru", "natal")
        for index in range(count)
    ]


@pytest.fixture
def operator_file(tmp_path):
    def make(**values):
        path = tmp_path / "operator-file"
        path.write_text(operator_file_text(**values))
        return str(path)

    return make
