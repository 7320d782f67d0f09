"""A path-compressed binary trie (Patricia tree) of the prefixes of one address family.

Supports the longest match of an address, all prefixes that cover a prefix, all that a prefix
covers, and iteration in address order, each without visiting the rest of the table. A prefix costs
one node of six slots, plus at most one node for a fork. A lookup visits one node per fork on
its path, about log2 of the table's size regardless of prefix lengths.

A dict finds an exact prefix faster, but needs one lookup per length for a longest match and cannot
list the prefixes under another. A sorted list supports both, but each insertion moves half of it.
`benchmarks/bgp.py` compares them.

No method is recursive, as a hostile table can be as deep as its addresses have bits.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

from lilacwalk.bgp.prefixes import WIDTH, Afi, Prefix

V = TypeVar("V")


class Node:
    """A prefix or a fork.

    `shift` is the number of host bits, and `head` the network bits: an address lies under the node
    if `address >> shift == head`. `branch_bit` is the position of the bit that selects the child
    `zero` or `one`, counted from the lowest bit.
    """

    __slots__ = ("head", "shift", "branch_bit", "value", "zero", "one")

    def __init__(self, bits: int, shift: int, value: object) -> None:
        self.head, self.shift, self.value = bits >> shift, shift, value
        # A full-length prefix has no children, so any bit will do.
        self.branch_bit = max(0, shift - 1)
        self.zero: Node | None = None
        self.one: Node | None = None


BRANCH = object()  # the value of a fork, which is not a prefix of the table


class Trie(Generic[V]):
    """A map from prefixes to values.

    Prefixes are given by `bits` and `length`, as in `Prefix`.
    """

    def __init__(self, afi: Afi) -> None:
        self.afi, self.width = afi, WIDTH[afi]
        self.root: Node | None = None
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def set(self, bits: int, length: int, value: V) -> V | None:
        """Stores the value of a prefix; returns the previous value, or None."""
        shift, parent, side, node = self.width - length, None, 0, self.root
        while node is not None and node.shift > shift and bits >> node.shift == node.head:
            parent, side = node, bits >> node.branch_bit & 1
            node = node.one if side else node.zero
        if node is not None and node.shift == shift and node.head == bits >> shift:
            previous, node.value = node.value, value
            if previous is not BRANCH:
                return previous  # type: ignore[return-value]
            self.count += 1
            return None
        new = Node(bits, shift, value)
        self.count += 1
        if node is None:
            self._attach(parent, side, new)
            return None
        node_bits = node.head << node.shift
        # Number of bits that follow the common part of both prefixes.
        common = max(shift, node.shift, (bits ^ node_bits).bit_length())
        if common == shift:  # the new prefix covers the node
            self._attach_child(new, node)
            self._attach(parent, side, new)
        else:
            fork = Node(bits, common, BRANCH)
            self._attach_child(fork, node)
            self._attach_child(fork, new)
            self._attach(parent, side, fork)
        return None

    def _attach(self, parent: Node | None, side: int, node: Node | None) -> None:
        """Makes `node` the child of `parent` on side 0 or 1, or the root if there is no parent."""
        if parent is None:
            self.root = node
        elif side:
            parent.one = node
        else:
            parent.zero = node

    @staticmethod
    def _attach_child(parent: Node, node: Node) -> None:
        """Makes `node` the child of `parent` on the side that its bits select."""
        if node.head >> (parent.branch_bit - node.shift) & 1:
            parent.one = node
        else:
            parent.zero = node

    def _find(self, bits: int, length: int) -> Node | None:
        """Returns the node of exactly this prefix, or None."""
        shift, node = self.width - length, self.root
        while node is not None and node.shift > shift:
            node = node.one if bits >> node.branch_bit & 1 else node.zero
        if (
            node is None
            or node.shift != shift
            or node.head != bits >> shift
            or node.value is BRANCH
        ):
            return None
        return node

    def get(self, bits: int, length: int) -> V | None:
        """Returns the value of exactly this prefix, or None."""
        node = self._find(bits, length)
        return None if node is None else node.value  # type: ignore[return-value]

    def drop(self, bits: int, length: int) -> V | None:
        """Removes a prefix and returns its value, or None if it is not in the table.

        A fork left with one child is removed too.
        """
        parent, side, node = None, 0, self.root
        # The parent of `parent`, and the side on which `parent` is attached.
        grandparent, parent_side = (
            None,
            0,
        )
        shift = self.width - length
        while node is not None and node.shift > shift:
            grandparent, parent_side = parent, side
            parent, side = node, bits >> node.branch_bit & 1
            node = node.one if side else node.zero
        if (
            node is None
            or node.shift != shift
            or node.head != bits >> shift
            or node.value is BRANCH
        ):
            return None
        value = node.value
        self.count -= 1
        if node.zero is not None and node.one is not None:
            node.value = BRANCH
            return value  # type: ignore[return-value]
        self._attach(parent, side, node.zero or node.one)
        if (
            parent is not None
            and parent.value is BRANCH
            and (parent.zero is None or parent.one is None)
        ):
            self._attach(grandparent, parent_side, parent.zero or parent.one)
        return value  # type: ignore[return-value]

    def _prefix(self, node: Node) -> Prefix:
        return Prefix(self.afi, node.head << node.shift, self.width - node.shift)

    def covering(self, bits: int, length: int) -> Iterator[tuple[Prefix, V]]:
        """Yields all stored prefixes that cover or equal the given prefix, shortest first."""
        shift, node = self.width - length, self.root
        while node is not None and node.shift >= shift and bits >> node.shift == node.head:
            if node.value is not BRANCH:
                yield self._prefix(node), node.value  # type: ignore[misc]
            node = node.one if bits >> node.branch_bit & 1 else node.zero

    def longest(self, bits: int, length: int | None = None) -> tuple[Prefix, V] | None:
        """Returns the longest stored prefix that covers an address, with its value, or None.

        With `length`, the stored prefix must cover the prefix of `bits` and `length` instead.
        """
        best, node = None, self.root
        least = 0 if length is None else self.width - length
        while node is not None and bits >> node.shift == node.head and node.shift >= least:
            if node.value is not BRANCH:
                best = node
            node = node.one if bits >> node.branch_bit & 1 else node.zero
        return None if best is None else (self._prefix(best), best.value)  # type: ignore[return-value]

    def covered(self, bits: int, length: int) -> Iterator[tuple[Prefix, V]]:
        """Yields all stored prefixes that the given prefix covers or equals, in order."""
        shift, node = self.width - length, self.root
        while node is not None and node.shift > shift:
            node = node.one if bits >> node.branch_bit & 1 else node.zero
        if node is not None and node.head >> (shift - node.shift) == bits >> shift:
            yield from self._walk(node)

    def walk(self) -> Iterator[tuple[Prefix, V]]:
        """Yields all prefixes by address, then by length; the trie must not change during the
        iteration.
        """
        if self.root is not None:
            yield from self._walk(self.root)

    def _walk(self, start: Node) -> Iterator[tuple[Prefix, V]]:
        stack = [start]
        while stack:
            node = stack.pop()
            if node.value is not BRANCH:
                yield self._prefix(node), node.value  # type: ignore[misc]
            if node.one is not None:
                stack.append(node.one)
            if node.zero is not None:
                stack.append(node.zero)
