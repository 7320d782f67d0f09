"""Routes received from one peer (its Adj-RIB-In, RFC 4271 section 3.2): one trie per address
family, limited in size.

Prefixes announced together with the same attributes share one `Route`, so that a prefix costs only
its trie node. Each route carries the number of the session in which it was announced. Routes of an
older session are stale until they are announced again in the current session, or removed at its
End-of-RIB (RFC 4724 section 4.2). A restart of the peer thus makes all routes stale without
visiting them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lilacwalk.bgp.attributes import Attributes
from lilacwalk.bgp.policy import PeerPolicy, Refused
from lilacwalk.bgp.prefixes import Afi, Prefix
from lilacwalk.bgp.trie import Trie


@dataclass(eq=False, slots=True)
class Route:
    """A received route, shared by the prefixes that were announced together."""

    attributes: Attributes
    session: int  # number of the peer's session in which it was announced


class PrefixLimitError(Exception):
    """The peer announced more prefixes than `max-prefixes`."""

    def __init__(self, afi: Afi, max_prefixes: int) -> None:
        super().__init__(f"more than {max_prefixes} prefixes")
        self.afi, self.max_prefixes = afi, max_prefixes


class AdjRibIn:
    """The routes received from one peer."""

    def __init__(self, max_prefixes: int) -> None:
        self.max_prefixes = max_prefixes
        self.tries: dict[Afi, Trie[Route]] = {afi: Trie(afi) for afi in Afi}
        self.session = 0  # number of the current session; a route refresh counts as a session
        # Session number of the route refresh in progress, by family.
        self.refresh_sessions: dict[Afi, int] = {}

    def __len__(self) -> int:
        return sum(len(trie) for trie in self.tries.values())

    def start_session(self) -> None:
        """Starts a session: all routes become stale until they are announced again."""
        self.session += 1
        self.refresh_sessions.clear()

    def announce(self, attributes: Attributes, prefixes: Iterable[Prefix]) -> None:
        """Stores the prefixes with their attributes.

        Raises:
            PrefixLimitError: There would be more than `max_prefixes`. The prefixes stored so far
                remain until the session ends.
        """
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
        """Removes the prefixes; returns how many of them were present."""
        return sum(
            self.tries[each.afi].drop(each.bits, each.length) is not None for each in prefixes
        )

    def stale(self, afi: Afi) -> int:
        """Returns the number of stale prefixes of a family."""
        return sum(route.session != self.session for _, route in self.tries[afi].walk())

    def drop_stale(self, afi: Afi) -> int:
        """Removes the stale routes of a family after End-of-RIB, the end of a refresh or a
        time-out; returns how many.
        """
        trie = self.tries[afi]
        old = [prefix for prefix, route in trie.walk() if route.session != self.session]
        return self.withdraw(old)

    def drop_family(self, afi: Afi) -> int:
        """Removes all routes of a family; returns how many."""
        trie, self.tries[afi] = self.tries[afi], Trie(afi)
        return len(trie)

    def start_refresh(self, afi: Afi) -> None:
        """Starts a route refresh (RFC 7313 section 4): routes not announced again by its end are
        removed.
        """
        self.session += 1
        self.refresh_sessions[afi] = self.session
        for other in Afi:
            if other is not afi:  # routes of the other family must not become stale
                for _, route in self.tries[other].walk():
                    if route.session == self.session - 1:
                        route.session = self.session

    def end_refresh(self, afi: Afi) -> int:
        """Ends a route refresh and removes the stale routes; returns how many."""
        return self.drop_stale(afi) if self.refresh_sessions.pop(afi, None) is not None else 0

    def evaluate(
        self, policy: PeerPolicy, afi: Afi
    ) -> Iterator[tuple[Prefix, Attributes | Refused]]:
        """Yields the prefixes of a family in order, each with the result of the import policy."""
        for prefix, route in self.tries[afi].walk():
            yield prefix, policy.import_route(prefix, route.attributes)

    def longest_usable(
        self, policy: PeerPolicy, prefix: Prefix
    ) -> tuple[Prefix, Attributes] | None:
        """Returns the longest route covering `prefix` that the import policy accepts, or None."""
        best = None
        for found, route in self.tries[prefix.afi].covering(prefix.bits, prefix.length):
            result = policy.import_route(found, route.attributes)
            if isinstance(result, Attributes):
                best = found, result
        return best
