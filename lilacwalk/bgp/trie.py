"""A path-compressed binary trie of the prefixes of one family (a Patricia tree).

Good for: the longest match of an address, all that covers a prefix, all that a prefix covers, and a walk in
the order of addresses, each without touching the rest of the table. Cost: one node of four slots a prefix,
and at most as many again where two branches part; a look-up passes one node for each place where the table's
prefixes part, about log2 of the table's size, however long the prefixes are. Why not the plain ones: a dict
finds a prefix faster but must be asked once a length for a longest match and cannot say what lies under a
prefix at all; a sorted list does both but moves half of itself with each insertion. `benchmarks/bgp.py` has
the figures.

Nothing here recurses: a hostile table can be as deep as its addresses are long."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

from lilacwalk.bgp.prefixes import Afi, Prefix, WIDTH

V = TypeVar("V")


class Node:
    __slots__ = ("bits", "length", "value", "zero", "one")

    def __init__(self, bits: int, length: int, value: object) -> None:
        self.bits, self.length, self.value = bits, length, value
        self.zero: Node | None = None
        self.one: Node | None = None


BRANCH = object()  # the value of a node that only parts two branches


class Trie(Generic[V]):
    def __init__(self, afi: Afi) -> None:
        self.afi, self.width = afi, WIDTH[afi]
        self.root: Node | None = None
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def _shared(self, left: int, right: int, most: int) -> int:
        """How many leading bits both have, `most` at most."""
        return min(most, self.width - (left ^ right).bit_length())

    def set(self, bits: int, length: int, value: V) -> V | None:
        """The value that stood there before."""
        width, above, side, node = self.width, None, 0, self.root
        while node is not None:
            common = self._shared(bits, node.bits, min(length, node.length))
            if common < node.length:
                break
            if node.length == length:
                before, node.value = node.value, value
                if before is not BRANCH:
                    return before  # type: ignore[return-value]
                self.count += 1
                return None
            above, side = node, bits >> (width - 1 - node.length) & 1
            node = node.one if side else node.zero
        new = Node(bits, length, value)
        self.count += 1
        if node is None:
            self._hang(above, side, new)
        elif common == length:  # the new one covers what stands here
            self._under(new, node)
            self._hang(above, side, new)
        else:
            fork = Node(bits >> (width - common) << (width - common) if common else 0, common, BRANCH)
            self._under(fork, node)
            self._under(fork, new)
            self._hang(above, side, fork)
        return None

    def _hang(self, above: Node | None, side: int, node: Node | None) -> None:
        if above is None:
            self.root = node
        elif side:
            above.one = node
        else:
            above.zero = node

    def _under(self, above: Node, node: Node) -> None:
        if node.bits >> (self.width - 1 - above.length) & 1:
            above.one = node
        else:
            above.zero = node

    def get(self, bits: int, length: int) -> V | None:
        node, width = self.root, self.width
        while node is not None and node.length < length:
            node = node.one if bits >> (width - 1 - node.length) & 1 else node.zero
        if node is None or node.length != length or node.bits != bits or node.value is BRANCH:
            return None
        return node.value  # type: ignore[return-value]

    def drop(self, bits: int, length: int) -> V | None:
        """The value that stood there; a fork that parts nothing any more goes with it."""
        above, side, node = None, 0, self.root
        over, over_side = None, 0  # what `above` hangs on
        while node is not None and node.length < length:
            over, over_side = above, side
            above, side = node, bits >> (self.width - 1 - node.length) & 1
            node = node.one if side else node.zero
        if node is None or node.length != length or node.bits != bits or node.value is BRANCH:
            return None
        value = node.value
        self.count -= 1
        if node.zero is not None and node.one is not None:
            node.value = BRANCH
            return value  # type: ignore[return-value]
        self._hang(above, side, node.zero or node.one)
        if above is not None and above.value is BRANCH and (above.zero is None or above.one is None):
            self._hang(over, over_side, above.zero or above.one)
        return value  # type: ignore[return-value]

    def covering(self, bits: int, length: int) -> Iterator[tuple[Prefix, V]]:
        """All prefixes that hold this one, itself among them, the shortest first."""
        node, width = self.root, self.width
        while node is not None and node.length <= length:
            if (bits ^ node.bits) >> (width - node.length):
                return
            if node.value is not BRANCH:
                yield Prefix(self.afi, node.bits, node.length), node.value  # type: ignore[misc]
            if node.length == width:
                return
            node = node.one if bits >> (width - 1 - node.length) & 1 else node.zero

    def longest(self, bits: int, length: int | None = None) -> tuple[Prefix, V] | None:
        """The longest prefix that holds this address, or this prefix."""
        best, node, width = None, self.root, self.width
        most = width if length is None else length
        while node is not None and node.length <= most:
            if (bits ^ node.bits) >> (width - node.length):
                break
            if node.value is not BRANCH:
                best = node
            if node.length == width:
                break
            node = node.one if bits >> (width - 1 - node.length) & 1 else node.zero
        return None if best is None else (Prefix(self.afi, best.bits, best.length), best.value)  # type: ignore

    def covered(self, bits: int, length: int) -> Iterator[tuple[Prefix, V]]:
        """All prefixes that this one holds, itself among them, in order."""
        node, width = self.root, self.width
        while node is not None and node.length < length:
            node = node.one if bits >> (width - 1 - node.length) & 1 else node.zero
        if node is not None and not (bits ^ node.bits) >> (width - length):
            yield from self._walk(node)

    def walk(self) -> Iterator[tuple[Prefix, V]]:
        """All of it, by address and then by length. The table must not change meanwhile."""
        if self.root is not None:
            yield from self._walk(self.root)

    def _walk(self, start: Node) -> Iterator[tuple[Prefix, V]]:
        stack = [start]
        while stack:
            node = stack.pop()
            if node.value is not BRANCH:
                yield Prefix(self.afi, node.bits, node.length), node.value  # type: ignore[misc]
            if node.one is not None:
                stack.append(node.one)
            if node.zero is not None:
                stack.append(node.zero)
