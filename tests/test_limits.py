"""Limits computed from the configuration."""

import pytest

from lilacwalk.limits import Limits
from tests.conftest import SETTINGS


@pytest.mark.parametrize(
    ("memory_mb", "sockets"), [(32, 384), (64, 384), (80, 512), (192, 1024), (192, 4096)]
)
def test_full_tables_fit_into_the_configured_memory_and_proxies_may_use_half_of_the_sockets(
    memory_mb, sockets
):
    limits = Limits.from_configuration(
        {"settings": SETTINGS, "limits": {"memory_mb": memory_mb, "sockets": sockets}}
    )
    full_tables_bytes = (
        limits.connections * (24_000 + limits.send_buffer_bytes)
        + limits.max_in_flight * 9_000
        + limits.max_cache_entries * 1_500
        + limits.max_cached_result_bytes
        + limits.executor_send_buffer_bytes
    )
    # The program itself uses 16 MB.
    assert full_tables_bytes + 16_000_000 <= memory_mb * 1_000_000
    # Proxies may use half of the sockets, unless the memory is below 0.1 MB for each socket.
    assert limits.connection_high_water >= sockets // 2 or memory_mb / sockets < 0.1
