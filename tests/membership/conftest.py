"""Fixtures and helpers: simulated fleets, claims, real processes behind a switch."""

import random

import pytest

from lilacwalk.emulator.datagrams import World
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


def names(count):
    return [f"n{at}" for at in range(count)]


def fleet(count, seed=1, sites=("recife", "natal", "caruaru"), settle=True, **more):
    """A world of so many, joined through the first, in equal parts on the sites."""
    world = World(seed, **more)
    for at, name in enumerate(names(count)):
        world.add(name, sites[at * len(sites) // count], seeds=["n0"] if at else [])
    if settle:
        assert world.run_until(world.all_settled, 60 * SECOND) is not None
        world.run(5 * SECOND)
    return world


def counted(world, what):
    return sum(node.machine.counts[what] for node in world.up())


def machine(name="n1", now=0, wall=1_000, stored=0, seeds=(("10.0.0.9", 9),), **more):
    config = MemberConfig(
        name, "recife", ("10.0.0.1", 1), tuple(seeds), SECOND, 3600 * SECOND, 0.34, 100
    )
    return Membership(config, random.Random(1), now, wall, stored, **more)


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
    **more,
):
    own_metadata = (
        MemberMetadata("recife", "10.0.0.2", port, version, NodeState.READY, **more)
        if metadata
        else None
    )
    return GossipUpdate(name, incarnation, instance, refutation, health, reported_by, own_metadata)


def datagram(
    message_type=MessageType.PING, sender="n2", incarnation=5, instance=1, refutation=0, **more
):
    return Datagram(message_type, sender, incarnation, instance, refutation, "10.0.0.2", 2, **more)


@pytest.fixture
def make_rig():
    rigs = []

    def make(count=0, sites=("recife",), seeds=1, **more):
        rig = ProcessFleet(**({"interval_ms": 100} | more))
        rigs.append(rig)
        for at, name in enumerate(names(count)):
            rig.add(name, sites[at * len(sites) // count], names(count)[:seeds])
        return rig

    yield make
    for rig in rigs:
        rig.end()


@pytest.fixture
def running(make_rig):
    """So many processes, started and settled."""

    def make(count, **more):
        rig = make_rig(count, **more)
        rig.start(*rig.processes)
        rig.wait(rig.settled, 15, "settled after the start")
        return rig

    return make
