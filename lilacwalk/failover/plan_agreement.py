"""Detects members whose `sites` blocks differ.

Each member gossips the revision that its operator gave the block and a digest of the block's
content. A member whose block is outdated takes no failover traffic until the blocks agree, since
the other members do not expect the plan that it computes.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from lilacwalk.failover.config import FailoverConfig

FINGERPRINT_KEYWORD = "plan"
GOSSIPED_NAME = "Sites"  # replaces the name of the record class in the digested `repr`
DIGEST_BYTES = 6


@dataclass(frozen=True, slots=True, order=True)
class PlanFingerprint:
    """Revision and digest of a `sites` block.

    If two blocks with the same revision differ, the one with the larger digest counts as newer, so
    that all members make the same decision.
    """

    revision: int
    digest: str

    def __str__(self) -> str:
        """Returns the metadata entry that is gossiped."""
        return f"{FINGERPRINT_KEYWORD} {self.revision} {self.digest}"


@dataclass(frozen=True, slots=True)
class PlanAgreement:
    """The result of comparing this member's block with those of other members."""

    differing_members: tuple[str, ...] = ()  # names, sorted
    is_outdated: bool = False  # whether another member's block is newer than this member's


def plan_fingerprint(config: FailoverConfig) -> PlanFingerprint:
    """Returns the fingerprint of a `sites` block.

    Equal blocks must have equal fingerprints in all software versions, because members of different
    versions compare their fingerprints. The digest covers the `repr` of the configuration. The
    outermost name in this `repr` and the names of the classes and fields within it are therefore
    part of the protocol.
    """
    text = GOSSIPED_NAME + repr(config).removeprefix(type(config).__name__)
    digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
    return PlanFingerprint(config.revision, digest)


def read_fingerprint(entries: tuple[str, ...]) -> PlanFingerprint | None:
    """Returns the fingerprint among a member's metadata entries; None if there is none."""
    for entry in entries:
        words = entry.split(" ")
        if len(words) == 3 and words[0] == FINGERPRINT_KEYWORD and words[1].isdecimal():
            return PlanFingerprint(int(words[1]), words[2])
    return None


def put_fingerprint(entries: tuple[str, ...], own: PlanFingerprint) -> tuple[str, ...]:
    """Returns this member's metadata entries with `own` in place of an older fingerprint."""
    others = (entry for entry in entries if not entry.startswith(FINGERPRINT_KEYWORD + " "))
    return (str(own), *others)


def compare_fingerprints(
    own: PlanFingerprint, others: Iterable[tuple[str, tuple[str, ...]]]
) -> PlanAgreement:
    """Compares this member's fingerprint with those of the members present.

    `others` holds the name and the metadata entries of each present member. A member that gossips
    no fingerprint has no `sites` block and does not count as differing.
    """
    differing = {}
    for name, entries in others:
        fingerprint = read_fingerprint(entries)
        if fingerprint is not None and fingerprint != own:
            differing[name] = fingerprint
    is_outdated = any(fingerprint > own for fingerprint in differing.values())
    return PlanAgreement(tuple(sorted(differing)), is_outdated)
