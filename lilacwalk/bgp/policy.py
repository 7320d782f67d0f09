"""Import and export policy of a peer.

Prefix lists and policies of the operator's file are compiled once. The built-in rules on AS loops
and BGP roles and the default deny of RFC 8212 always apply.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from lilacwalk.bgp.attributes import SEQUENCE, Attributes, Path
from lilacwalk.bgp.capabilities import ROLES
from lilacwalk.bgp.config import BgpConfig, Match, Peer, Policy, PrefixList, Term
from lilacwalk.bgp.prefixes import Afi, Prefix
from lilacwalk.bgp.trie import Trie

LARGE_COMMUNITY_FLAG = 1 << 96  # marks a large community in the integers of the operator's file
MAX_AS_NUMBERS = 255  # in an AS path; routes with longer paths are refused as implausible


class CompiledPrefixList:
    """A prefix list; the first matching entry decides, and no match means deny.

    Entries are stored in a trie, so that a lookup in a list of thousands visits only the entries
    that cover the prefix.
    """

    def __init__(self, config: PrefixList) -> None:
        self.tries: dict[Afi, Trie[list[tuple[int, bool, Match]]]] = {afi: Trie(afi) for afi in Afi}
        for index, (permit, entry) in enumerate(config.lines):
            prefix = entry.prefix
            assert isinstance(prefix, Prefix)
            trie = self.tries[prefix.afi]
            entries = trie.get(prefix.bits, prefix.length)
            if entries is None:
                trie.set(prefix.bits, prefix.length, entries := [])
            entries.append((index, permit, entry))

    def permits(self, prefix: Prefix) -> bool:
        """Returns whether the first entry that matches the prefix permits it."""
        best = None
        for _, entries in self.tries[prefix.afi].covering(prefix.bits, prefix.length):
            for index, permit, entry in entries:
                if (best is None or index < best[0]) and matches(entry, prefix.length):
                    best = index, permit
        return best is not None and best[1]


def matches(entry: Match, length: int) -> bool:
    """Returns whether an entry accepts a prefix length; the entry must cover the prefix.

    Accepted lengths: without `ge` and `le`, only the entry's own length; with `ge` alone, `ge` to
    the address family's width; with `le` alone, the entry's length to `le`; with both, `ge` to
    `le`.
    """
    assert isinstance(entry.prefix, Prefix)
    if entry.ge is None and entry.le is None:
        return length == entry.prefix.length
    return (entry.ge or entry.prefix.length) <= length and (entry.le is None or length <= entry.le)


def has_community(attributes: Attributes, community: int) -> bool:
    """Returns whether a route carries a community, given as in the operator's configuration."""
    if community >= LARGE_COMMUNITY_FLAG:
        return split_large_community(community) in attributes.large
    return community in attributes.communities


def split_large_community(community: int) -> tuple[int, int, int]:
    """Returns the three 32-bit fields of a large community."""
    return community >> 64 & 0xFFFFFFFF, community >> 32 & 0xFFFFFFFF, community & 0xFFFFFFFF


def with_communities(
    attributes: Attributes, add: tuple[int, ...], remove: tuple[int, ...] = ()
) -> Attributes:
    """Returns the attributes without the communities `remove` and then with the communities `add`.

    A large community is marked by `LARGE_COMMUNITY_FLAG`.
    """
    standard = [each for each in attributes.communities if each not in remove]
    removed_large = [split_large_community(each) for each in remove if each >= LARGE_COMMUNITY_FLAG]
    large_values = [each for each in attributes.large if each not in removed_large]
    standard += [each for each in add if each < LARGE_COMMUNITY_FLAG and each not in standard]
    large_values += [
        split_large_community(each)
        for each in add
        if each >= LARGE_COMMUNITY_FLAG and split_large_community(each) not in large_values
    ]
    return replace(
        attributes, communities=tuple(sorted(standard)), large=tuple(sorted(large_values))
    )


def prepended(path: Path, number: int, times: int) -> Path:
    """Returns the AS path with an AS number prepended `times` times."""
    if not times:
        return path
    head = (number,) * times
    if path and path[0][0] == SEQUENCE:
        return (SEQUENCE, head + path[0][1]), *path[1:]
    return (SEQUENCE, head), *path


class CompiledPolicy:
    """A policy with the prefix lists that it refers to."""

    def __init__(self, config: Policy, lists: dict[str, CompiledPrefixList], our_as: int) -> None:
        self.name, self.our_as = config.name, our_as
        self.terms = [
            (term, lists[term.prefix_list] if term.prefix_list else None) for term in config.term
        ]

    def apply(self, prefix: Prefix, attributes: Attributes) -> Attributes | None:
        """Returns the attributes as changed by the first term that applies to the route.

        Returns None if that term rejects the route, or if no term applies.
        """
        for term, prefix_list in self.terms:
            if self._matches(term, prefix_list, prefix, attributes):
                return self._apply_changes(term, attributes) if term.verdict == "accept" else None
        return None

    @staticmethod
    def _matches(
        term: Term, prefix_list: CompiledPrefixList | None, prefix: Prefix, attributes: Attributes
    ) -> bool:
        return (
            (prefix_list is None or prefix_list.permits(prefix))
            and (term.community is None or has_community(attributes, term.community))
            and (term.as_in_path is None or attributes.in_path(term.as_in_path))
            and (term.longest_path is None or attributes.path_length <= term.longest_path)
        )

    def _apply_changes(self, term: Term, attributes: Attributes) -> Attributes:
        if term.add_communities or term.remove_communities:
            attributes = with_communities(attributes, term.add_communities, term.remove_communities)
        if term.set_med is not None:
            attributes = replace(attributes, med=term.set_med)
        if term.set_local_preference is not None:
            attributes = replace(attributes, local_pref=term.set_local_preference)
        if term.prepend:
            attributes = replace(
                attributes, as_path=prepended(attributes.as_path, self.our_as, term.prepend)
            )
        return attributes


@dataclass(frozen=True, slots=True)
class Refused:
    """Why a received route is not used."""

    reason: str


class PeerPolicy:
    """The import and export rules of one peer."""

    def __init__(self, config: BgpConfig, peer: Peer) -> None:
        lists = {each.name: CompiledPrefixList(each) for each in config.prefix_list}
        policies = {each.name: CompiledPolicy(each, lists, config.as_) for each in config.policy}
        self.our_as, self.peer = config.as_, peer
        self.internal = config.as_ == peer.as_
        self.import_policy = policies[peer.import_] if peer.import_ else None
        self.export_policy = policies[peer.export] if peer.export else None

    def import_route(self, prefix: Prefix, attributes: Attributes) -> Attributes | Refused:
        """Applies the built-in rules and the import policy to a received route.

        Returns the attributes to use, or why the route is refused (RFC 4271 sections 6.3 and 9.1.2;
        RFC 8212; RFC 9234 section 5).
        """
        if attributes.in_path(self.our_as):
            return Refused("our own AS in the path")
        if not self.internal and attributes.first_as != self.peer.as_:
            return Refused("the path does not begin with the peer's AS")
        if sum(len(numbers) for _, numbers in attributes.as_path) > MAX_AS_NUMBERS:
            return Refused(f"more than {MAX_AS_NUMBERS} AS numbers in the path")
        attributes, is_leak = self._check_only_to_customer(attributes)
        if is_leak:
            return Refused("a route leak according to its Only-to-Customer attribute")
        if self.import_policy is None:
            return attributes if self.internal else Refused("no import policy")
        return self.import_policy.apply(prefix, attributes) or Refused(
            f"policy {self.import_policy.name}"
        )

    def _check_only_to_customer(self, attributes: Attributes) -> tuple[Attributes, bool]:
        """Checks the Only-to-Customer attribute of a received route (RFC 9234 section 5).

        Returns the attributes, with Only-to-Customer added if it is required and missing, and
        whether the route is a leak.
        """
        # `role` is our own role towards the peer.
        role, customer_as = self.peer.role, attributes.only_to_customer
        if role is None or self.internal:
            return attributes, False
        # A route with the attribute is a leak if it was received from a customer or RS client (our
        # role is provider or rs), or from a lateral peer whose AS number the attribute does not
        # contain.
        if customer_as is not None:
            return attributes, role in (
                "provider",
                "rs",
            ) or role == "peer" and customer_as != self.peer.as_
        if role in ("customer", "peer", "rs-client"):
            return replace(attributes, only_to_customer=self.peer.as_), False
        return attributes, False

    def export_route(self, prefix: Prefix, attributes: Attributes) -> Attributes | None:
        """Applies the export policy to one of our services.

        Returns the attributes to announce, or None if the policy rejects the service. A service in
        the operator's file counts as the explicit export policy that RFC 8212 requires; the peer's
        policy can only restrict it.
        """
        if self.export_policy is not None:
            accepted = self.export_policy.apply(prefix, attributes)
            if accepted is None:
                return None
            attributes = accepted
        if not self.internal:
            attributes = replace(attributes, local_pref=None)
            if self.peer.role in ("provider", "peer", "rs"):
                attributes = replace(attributes, only_to_customer=self.our_as)
        return attributes


def role_code(peer: Peer) -> int | None:
    """Returns the code of our configured role (RFC 9234 section 4.1); None if there is none."""
    return None if peer.role is None else ROLES[peer.role]
