"""Fixtures and helpers: simulated fleets, claims, and real processes behind a datagram switch."""

import random

import pytest

from lilacwalk.emulator.datagrams import SimulatedFleet
from lilacwalk.membership.config import MemberConfig
from lilacwalk.membership.messages import (
    Datagram,
    GossipUpdate,
    Health,
    MemberMetadata,
    MessageType,
    NodeState,
)
from lilacwalk.membership.swim import Membership
from lilacwalk.testing.fleet import ProcessFleet

SECOND = 10_000
KEY = bytes(range(32))


def member_names(count):
    return [f"n{index}" for index in range(count)]


def make_simulated_fleet(
    count, seed=1, sites=("recife", "natal", "caruaru"), settle=True, **options
):
    """Returns a simulated fleet, distributed evenly over the sites and joined through n0."""
    fleet = SimulatedFleet(seed, **options)
    for index, name in enumerate(member_names(count)):
        fleet.add(name, sites[index * len(sites) // count], seeds=["n0"] if index else [])
    if settle:
        assert fleet.run_until(fleet.all_settled, 60 * SECOND) is not None
        fleet.run(5 * SECOND)
    return fleet


def total_count(fleet, key):
    """Returns the sum of one counter over all running members."""
    return sum(node.membership.counts[key] for node in fleet.running_nodes())


def make_membership(
    name="n1", now=0, wall_ms=1_000, stored_incarnation=0, seeds=(("10.0.0.9", 9),), **options
):
    config = MemberConfig(
        name, "recife", ("10.0.0.1", 1), tuple(seeds), SECOND, 3600 * SECOND, 0.34, 100
    )
    return Membership(config, random.Random(1), now, wall_ms, stored_incarnation, **options)


def gossip_update(
    name="n2",
    incarnation=5,
    refutation=0,
    health=Health.ALIVE,
    instance=1,
    reported_by="n2",
    version=1,
    metadata=True,
    port=2,
    **fields,
):
    own_metadata = (
        MemberMetadata("recife", "10.0.0.2", port, version, NodeState.READY, **fields)
        if metadata
        else None
    )
    return GossipUpdate(name, incarnation, instance, refutation, health, reported_by, own_metadata)


def datagram(
    message_type=MessageType.PING, sender="n2", incarnation=5, instance=1, refutation=0, **fields
):
    return Datagram(
        message_type, sender, incarnation, instance, refutation, "10.0.0.2", 2, **fields
    )


@pytest.fixture
def make_process_fleet():
    """Makes fleets of processes that the test starts itself."""
    fleets = []

    def make(count=0, sites=("recife",), seeds=1, **options):
        fleet = ProcessFleet(**({"interval_ms": 100} | options))
        fleets.append(fleet)
        for index, name in enumerate(member_names(count)):
            fleet.add(name, sites[index * len(sites) // count], member_names(count)[:seeds])
        return fleet

    yield make
    for fleet in fleets:
        fleet.end()


@pytest.fixture
def running_fleet(make_process_fleet):
    """Makes fleets of processes, started and with settled views."""

    def make(count, **options):
        fleet = make_process_fleet(count, **options)
        fleet.start(*fleet.processes)
        fleet.wait(fleet.settled, 15, "settled after the start")
        return fleet

    return make
