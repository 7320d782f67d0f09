"""Fixture for scenarios of a small fleet with two request classes, one of them deduplicated."""

import pytest

from lilacwalk.emulator.simulation import SECOND, RequestClassSpec, Scenario

REQUEST_CLASSES = (
    RequestClassSpec("look", 0.6, 200, 2_000, 20_000),
    RequestClassSpec("swap", 0.4, 400, 4_000, 40_000, 4.0, "deduplicated"),
)


@pytest.fixture
def scenario():
    def make(**more):
        return Scenario(
            **(
                {
                    "request_classes": REQUEST_CLASSES,
                    "servers": 4,
                    "routers": 3,
                    "cores": 2,
                    "load": 0.7,
                    "length": 8 * SECOND,
                }
                | more
            )
        )

    return make
