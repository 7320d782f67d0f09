"""The interface through which the app server gets the operator's parsed file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from lilacwalk.bgp.config import BgpConfig
    from lilacwalk.edge.config import EdgeConfig
    from lilacwalk.failover.config import FailoverConfig
    from lilacwalk.membership.config import FleetConfig
    from lilacwalk.retry_storms.config import RetryStormConfig
    from lilacwalk.storage.config import StorageConfig


class OperatorConfig(Protocol):
    """The parsed blocks of the operator's file; a subsystem without a block is disabled."""

    announce: BgpConfig | None
    edge: EdgeConfig | None
    fleet: FleetConfig | None
    sites: FailoverConfig | None
    store: StorageConfig | None
    storms: RetryStormConfig | None


class NoOperatorConfig:
    """The `OperatorConfig` of a server without an operator's file: no subsystem is enabled."""

    announce = None
    edge = None
    fleet = None
    sites = None
    store = None
    storms = None


class OperatorConfigReader(Protocol):
    """Reads the operator's file again at each call."""

    def __call__(self) -> OperatorConfig:
        """Returns the parsed file; raises `OperatorFileError` if the file is invalid."""
