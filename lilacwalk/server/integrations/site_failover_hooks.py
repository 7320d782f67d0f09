"""Callbacks through which the site failover integration reports to the app server."""

from __future__ import annotations

from typing import Protocol

from lilacwalk.failover.local_priority import TrafficPlan


class FailoverSitesListener(Protocol):
    """Called in the membership thread when the failed sites whose load this node takes change."""

    def __call__(self, sites: tuple[str, ...], /) -> None:
        """Handles the names of all failed sites whose load this node takes now."""


class OwnServiceModeListener(Protocol):
    """Called in the membership thread when the service mode of this node's own site changes."""

    def __call__(self, mode: str, /) -> None:
        """Handles the new mode: `whole`, `part` or `none`.

        The mode states how many nodes of the site announce the site's own services.
        """


class TrafficPlanListener(Protocol):
    """Called in the membership thread when the traffic plan of this node changes."""

    def __call__(self, traffic_plan: TrafficPlan, /) -> None:
        """Handles the new plan."""


class FailoverTrafficDescriber(Protocol):
    """Describes the failover traffic on this node for the admin socket; safe from any thread."""

    def __call__(self) -> dict:
        """Returns the description as of the last `LocalPriority.step`."""
