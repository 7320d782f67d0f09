"""Configuration of the membership: the operator's `fleet` block and the state machine's settings.

The field names of the block are keywords of the operator's file, which `operator/` reads and
checks. Times are in tenths of a millisecond.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Annotated, ClassVar

from msgspec import Meta, Struct

SECOND = 10_000
NAME = "^[A-Za-z0-9][A-Za-z0-9._-]{0,39}$"  # short names let several updates fit into a datagram


def unit(name: str, **limits) -> Meta:
    """Returns metadata for a field whose value is read as `name`, such as a duration.

    `limits` are further arguments of `Meta`, such as the bounds of the value.
    """
    return Meta(extra={"unit": name}, **limits)


Endpoint = Annotated[tuple[str, int], unit("endpoint")]
Name = Annotated[str, Meta(pattern=NAME)]


class Seed(Struct, frozen=True, kw_only=True):
    """An address at which this node finds the fleet. Any of the seeds may be down."""

    ARGUMENTS: ClassVar = ("address",)
    address: Endpoint


class FleetConfig(Struct, frozen=True, kw_only=True):
    """The `fleet` block of the operator's file."""

    name: Name | None = None  # default: the app server's own name
    site: Name
    listen: Endpoint
    advertise: Endpoint | None = None  # address at which others reach this member; default: listen
    # path of a file with one hexadecimal key per line: the first seals datagrams, any opens them
    key: str
    seed: tuple[Seed, ...] = ()
    probe_interval: Annotated[int, unit("duration", ge=SECOND // 20, le=60 * SECOND)] = SECOND
    # time after which a member that died or left is forgotten
    forget: Annotated[int, unit("duration", ge=60 * SECOND, le=7 * 24 * 3600 * SECOND)] = (
        3600 * SECOND
    )
    # share of the serving members that may be withdrawn as unhealthy at the same time
    withdraw_share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.34
    members: Annotated[int, Meta(ge=2, le=20_000)] = 2_000  # limit on members in the view
    socket: str | None = None  # path of the admin socket, which `lilacwalk fleet show` queries
    store: str | None = None  # path of a directory; None: nothing is stored

    def faults(self) -> list[tuple[str, str]]:
        """Returns errors that involve several fields, as pairs of field and expected value."""
        errors = [
            ("seed", f"{host}:{port} only once, not {times} times")
            for (host, port), times in Counter(seed.address for seed in self.seed).items()
            if times > 1
        ]
        if self.advertise is None and self.listen[0] in ("0.0.0.0", "::"):
            errors.append(("listen", "an advertise line together with a wildcard address"))
        return errors

    @property
    def advertised_address(self) -> tuple[str, int]:
        """The address at which other members reach this one."""
        return self.advertise or self.listen


@dataclass(frozen=True, slots=True)
class MemberConfig:
    """The settings of the membership state machine; times in tenths of a millisecond."""

    name: str
    site: str
    address: tuple[str, int]
    seeds: tuple[tuple[str, int], ...]
    probe_interval: int
    forget_after: int
    withdraw_share: float
    max_members: int


def member_config(config: FleetConfig, default_name: str) -> MemberConfig:
    """Returns the state machine's settings; `default_name` applies if the block has no name."""
    return MemberConfig(
        name=config.name or default_name,
        site=config.site,
        address=config.advertised_address,
        seeds=tuple(seed.address for seed in config.seed),
        probe_interval=config.probe_interval,
        forget_after=config.forget,
        withdraw_share=config.withdraw_share,
        max_members=config.members,
    )
