"""The trie against a dict, after any insertions and removals."""

from hypothesis import given
from hypothesis import strategies as st

from lilacwalk.bgp.prefixes import Afi, Prefix
from lilacwalk.bgp.trie import Trie


def clear_host_bits(bits, length):
    return bits >> (32 - length) << (32 - length)


# Only a few bits vary, so that prefixes nest and fork often
keys = st.tuples(
    st.integers(0, 31).map(lambda each: each << 27 | each << 2), st.integers(0, 32)
).map(lambda pair: (clear_host_bits(*pair), pair[1]))


def covers(outer, inner):
    return outer[1] <= inner[1] and clear_host_bits(inner[0], outer[1]) == outer[0]


@given(st.lists(st.tuples(keys, st.booleans()), max_size=60), keys)
def test_trie_agrees_with_a_dict_after_any_insertions_and_removals(operations, queried):
    trie, reference = Trie(Afi.IPV4), {}
    for value, (key, inserts) in enumerate(operations):
        if inserts:
            assert trie.set(*key, value) == reference.get(key)
            reference[key] = value
        else:
            assert trie.drop(*key) == reference.pop(key, None)
        assert len(trie) == len(reference)

    def entries(found):
        return [((prefix.bits, prefix.length), value) for prefix, value in found]

    assert entries(trie.walk()) == sorted(reference.items())
    assert entries(trie.covering(*queried)) == sorted(
        (each for each in reference.items() if covers(each[0], queried)),
        key=lambda each: each[0][1],
    )
    assert entries(trie.covered(*queried)) == sorted(
        each for each in reference.items() if covers(queried, each[0])
    )
    assert trie.get(*queried) == reference.get(queried)
    best = max(
        (key for key in reference if covers(key, (queried[0], 32))),
        key=lambda key: key[1],
        default=None,
    )
    found = trie.longest(queried[0])
    assert (None if found is None else (found[0].bits, found[0].length)) == best


@given(st.lists(keys, max_size=60, unique=True))
def test_emptied_trie_has_no_nodes(rows):
    trie = Trie(Afi.IPV4)
    for key in rows:
        trie.set(*key, 1)
    for key in reversed(rows):
        trie.drop(*key)
    assert trie.root is None and len(trie) == 0


def test_nested_ipv6_prefixes_of_every_length_are_found():
    trie = Trie(Afi.IPV6)
    bits = int("20010db8" + "f" * 24, 16)
    for length in range(129):
        trie.set(bits >> (128 - length) << (128 - length), length, length)
    assert [value for _, value in trie.covering(bits, 128)] == list(range(129))
    assert trie.longest(bits, 64)[0] == Prefix(Afi.IPV6, bits >> 64 << 64, 64)
