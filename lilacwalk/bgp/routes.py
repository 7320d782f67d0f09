"""What one peer has told us (its Adj-RIB-In, RFC 4271 section 3.2), in a trie for each family, bounded.

Prefixes that came with the same attributes share one record, so a prefix costs its node. A restart of the
peer marks nothing one by one: each record bears the number of the session that brought it, and what an older
session brought is stale until the new one has said it again, or its End-of-RIB has come (RFC 4724 section
4.2)."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lilacwalk.bgp.attributes import Attributes
from lilacwalk.bgp.policy import PeerPolicy, Refused
from lilacwalk.bgp.prefixes import Afi, Prefix
from lilacwalk.bgp.trie import Trie


@dataclass(eq=False, slots=True)
class Route:
    attributes: Attributes
    session: int  # which of the peer's sessions brought it


class PrefixLimitError(Exception):
    """The peer has told more prefixes than it may."""

    def __init__(self, afi: Afi, max_prefixes: int) -> None:
        super().__init__(f"more than {max_prefixes} prefixes")
        self.afi, self.max_prefixes = afi, max_prefixes


class AdjRibIn:
    def __init__(self, max_prefixes: int) -> None:
        self.max_prefixes = max_prefixes
        self.tries: dict[Afi, Trie[Route]] = {afi: Trie(afi) for afi in Afi}
        self.session = 0  # the one that is told now
        self.refresh_sessions: dict[
            Afi, int
        ] = {}  # a refresh under way, by the session number it counts as

    def __len__(self) -> int:
        return sum(len(trie) for trie in self.tries.values())

    def start_session(self) -> None:
        """A session has come up: what is there is stale until it is said again."""
        self.session += 1
        self.refresh_sessions.clear()

    def announce(self, attributes: Attributes, prefixes: Iterable[Prefix]) -> None:
        """Raises TooManyError; what came before in the same message is then kept, and the session's end drops
        it."""
        route = Route(attributes, self.session)
        for prefix in prefixes:
            trie = self.tries[prefix.afi]
            if (
                trie.set(prefix.bits, prefix.length, route) is None
                and len(self) > self.max_prefixes
            ):
                trie.drop(prefix.bits, prefix.length)
                raise PrefixLimitError(prefix.afi, self.max_prefixes)

    def withdraw(self, prefixes: Iterable[Prefix]) -> int:
        """How many of them stood there."""
        return sum(
            self.tries[each.afi].drop(each.bits, each.length) is not None for each in prefixes
        )

    def stale(self, afi: Afi) -> int:
        return sum(route.session != self.session for _, route in self.tries[afi].walk())

    def drop_stale(self, afi: Afi) -> int:
        """End-of-RIB, a refresh's end, or time is over."""
        trie = self.tries[afi]
        old = [prefix for prefix, route in trie.walk() if route.session != self.session]
        return self.withdraw(old)

    def drop_family(self, afi: Afi) -> int:
        trie, self.tries[afi] = self.tries[afi], Trie(afi)
        return len(trie)

    def start_refresh(self, afi: Afi) -> None:
        """RFC 7313 section 4: what is not told again by the refresh's end is gone."""
        self.session += 1
        self.refresh_sessions[afi] = self.session
        for other in Afi:
            if other is not afi:  # the other family's routes are none the older for it
                for _, route in self.tries[other].walk():
                    if route.session == self.session - 1:
                        route.session = self.session

    def end_refresh(self, afi: Afi) -> int:
        return self.drop_stale(afi) if self.refresh_sessions.pop(afi, None) is not None else 0

    def evaluate(
        self, policy: PeerPolicy, afi: Afi
    ) -> Iterator[tuple[Prefix, Attributes | Refused]]:
        """In order, each as the rules would have it."""
        for prefix, route in self.tries[afi].walk():
            yield prefix, policy.import_route(prefix, route.attributes)

    def longest_usable(
        self, policy: PeerPolicy, prefix: Prefix
    ) -> tuple[Prefix, Attributes] | None:
        """The longest usable route for it."""
        best = None
        for found, route in self.tries[prefix.afi].covering(prefix.bits, prefix.length):
            result = policy.import_route(found, route.attributes)
            if isinstance(result, Attributes):
                best = found, result
        return best
