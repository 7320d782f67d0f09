"""Limits computed from the configuration."""

import pytest

from lilacwalk.limits import Limits
from tests.conftest import SETTINGS


@pytest.mark.parametrize(
    ("memory_mb", "sockets"), [(32, 384), (64, 384), (80, 512), (192, 1024), (192, 4096)]
)
def test_full_tables_and_buffers_stay_within_the_configured_memory(memory_mb, sockets):
    limits = Limits.from_configuration(
        {"settings": SETTINGS, "limits": {"memory_mb": memory_mb, "sockets": sockets}}
    )
    filled = (
        limits.connections * (24_000 + limits.send_buffer_bytes)
        + limits.max_in_flight * 9_000
        + limits.max_cache_entries * 1_500
        + limits.max_cached_result_bytes
        + limits.executor_send_buffer_bytes
    )
    assert filled + 16_000_000 <= memory_mb * 1_000_000
    assert (
        limits.connection_high_water >= sockets // 2 or memory_mb / sockets < 0.1
    )  # proxies may use half of the sockets
