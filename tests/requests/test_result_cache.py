"""The cache of request keys and results."""

from lilacwalk.overload.model import Request, RequestClass
from lilacwalk.requests.result_cache import MAX_READ_DELAY, ResultCache


def make_request():
    return Request(RequestClass("once", 1.0, 1, 1), 0, 0, 0, 1.0)


def test_entries_bytes_and_lifetime_are_limited_and_a_result_that_does_not_fit_is_not_stored():
    cache, requests = ResultCache(2, 10), [make_request(), make_request()]
    for name, request in zip("ab", requests, strict=True):
        cache.put((name,), request, 100)
        cache.record_result((name,), request, b"7 bytes")
    assert cache.is_full
    assert cache.bytes == 7
    assert cache.find(("a",), 50).result == b"7 bytes"
    # The second result does not fit into 10 bytes; its entry has no result.
    assert cache.find(("b",), 50).result is None
    assert cache.find(("a",), 100) is None
    cache.evict_expired(100)  # a duplicate that arrived at 99 may still be unread
    assert cache.find(("a",), 99).result == b"7 bytes"
    assert not cache.evicted_until
    cache.evict_expired(100 + MAX_READ_DELAY)
    assert not cache.entries
    assert cache.bytes == 0
    assert cache.evicted_until == 100
