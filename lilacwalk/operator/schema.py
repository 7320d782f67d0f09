"""The top-level blocks of the operator's file."""

from __future__ import annotations

from msgspec import Struct

from lilacwalk.bgp.config import BgpConfig
from lilacwalk.edge.config import EdgeConfig
from lilacwalk.failover.config import FailoverConfig
from lilacwalk.membership.config import FleetConfig
from lilacwalk.operator.block_reader import BlockReader
from lilacwalk.operator.syntax import Problem, Statement
from lilacwalk.retry_storms.config import RetryStormConfig
from lilacwalk.storage.config import StorageConfig


class OperatorConfig(Struct, frozen=True, kw_only=True):
    """The parsed operator's file; a subsystem whose block is missing is off."""

    announce: BgpConfig | None = None
    edge: EdgeConfig | None = None
    fleet: FleetConfig | None = None
    sites: FailoverConfig | None = None
    store: StorageConfig | None = None
    storms: RetryStormConfig | None = None

    def faults(self) -> list[tuple[str, str]]:
        """Returns errors that involve several blocks, as pairs of keyword and expected value."""
        if self.sites is None or self.fleet is None:
            return []
        known_sites = {site.name for site in self.sites.site}
        if self.fleet.site in known_sites:
            return []
        return [("sites", f"a site {self.fleet.site}, as named in the fleet block")]


def build_config(
    statements: list[Statement],
) -> tuple[OperatorConfig | None, list[Problem]]:
    """Returns the configuration that the statements of a file give, and all problems found.

    The configuration is only valid if there are no problems.
    """
    reader = BlockReader()
    config = reader.read_block(OperatorConfig, statements, None)
    return config, reader.problems  # type: ignore[return-value]
