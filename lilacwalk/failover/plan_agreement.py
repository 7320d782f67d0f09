"""Detects members whose `sites` blocks differ.

Each member gossips the revision that its operator gave the block and a digest of its content. A
member whose block is outdated takes no failover traffic until the files agree, since the other
members do not expect the plan that it computes.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from lilacwalk.failover.config import FailoverConfig

FINGERPRINT_KEYWORD = "plan"
GOSSIPED_NAME = "Sites"  # name of the block's record in the digested text
DIGEST_BYTES = 6


@dataclass(frozen=True, slots=True, order=True)
class PlanFingerprint:
    """Revision and digest of a `sites` block.

    Where two blocks with the same revision differ, the one with the larger digest counts as the
    newer, so that all members decide alike.
    """

    revision: int
    digest: str

    def __str__(self) -> str:
        """Returns the text form that is gossiped."""
        return f"{FINGERPRINT_KEYWORD} {self.revision} {self.digest}"


@dataclass(frozen=True, slots=True)
class PlanAgreement:
    """The result of comparing this member's block with those of other members."""

    differing_members: tuple[str, ...] = ()
    is_outdated: bool = False


def plan_fingerprint(config: FailoverConfig) -> PlanFingerprint:
    """Returns the fingerprint of a block; equal blocks have the same one in every version.

    Members of different versions compare it. The digest covers the record's text form. The
    outermost name in that text is part of the protocol, and so are the names of the classes and
    fields within it.
    """
    text = GOSSIPED_NAME + repr(config).removeprefix(type(config).__name__)
    digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
    return PlanFingerprint(config.revision, digest)


def read_fingerprint(texts: tuple[str, ...]) -> PlanFingerprint | None:
    """Returns the fingerprint among a member's gossiped texts; None where there is none."""
    for text in texts:
        words = text.split(" ")
        if len(words) == 3 and words[0] == FINGERPRINT_KEYWORD and words[1].isdecimal():
            return PlanFingerprint(int(words[1]), words[2])
    return None


def put_fingerprint(texts: tuple[str, ...], own: PlanFingerprint) -> tuple[str, ...]:
    """Returns the gossiped texts with `own` in place of an older fingerprint."""
    others = (text for text in texts if not text.startswith(FINGERPRINT_KEYWORD + " "))
    return (str(own), *others)


def compare_fingerprints(
    own: PlanFingerprint, others: Iterable[tuple[str, tuple[str, ...]]]
) -> PlanAgreement:
    """Compares the own fingerprint with those of the members present.

    `others` holds the name and the gossiped texts of each. A member that gossips no fingerprint has
    no `sites` block and does not count as differing.
    """
    differing = {}
    for name, texts in others:
        fingerprint = read_fingerprint(texts)
        if fingerprint is not None and fingerprint != own:
            differing[name] = fingerprint
    is_outdated = any(fingerprint > own for fingerprint in differing.values())
    return PlanAgreement(tuple(sorted(differing)), is_outdated)
