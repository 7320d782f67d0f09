"""Creates the optional subsystems, each from its block of the operator's file.

The modules of a subsystem are imported only if its block is present. If a subsystem cannot start,
its factory raises `ConfigurationError`, and no socket of the subsystem remains open.
`create_membership` raises errors of its own, which its caller converts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from lilacwalk.server.clock import Clock
from lilacwalk.server.process_config import ConfigurationError

if TYPE_CHECKING:
    from lilacwalk.bgp.config import BgpConfig
    from lilacwalk.edge.config import EdgeConfig
    from lilacwalk.failover.config import FailoverConfig
    from lilacwalk.frontends.devices import DeviceFrontend
    from lilacwalk.membership.config import FleetConfig
    from lilacwalk.retry_storms.config import RetryStormConfig
    from lilacwalk.server.event_loop import EventLoop
    from lilacwalk.server.integrations.bgp import BgpIntegration
    from lilacwalk.server.integrations.failover_traffic import FailoverTrafficIntegration
    from lilacwalk.server.integrations.membership import MembershipIntegration
    from lilacwalk.server.integrations.persistence import PersistenceIntegration
    from lilacwalk.server.integrations.retry_storms import RetryStormIntegration
    from lilacwalk.server.integrations.site_failover import SiteFailoverIntegration
    from lilacwalk.server.subsystems import Subsystems
    from lilacwalk.storage.config import StorageConfig
    from lilacwalk.storage.effect_log import RecoveredEffect


class SubsystemStartError(ConfigurationError):
    """A system call that a subsystem needs at its start failed, such as opening a socket."""

    def __init__(self, failure: str, cause: OSError) -> None:
        """`failure` states what failed, such as "cannot start the store"."""
        super().__init__(f"{failure}: {cause.strerror or cause}")
        self.failure = failure


class SubsystemConfigError(ConfigurationError):
    """A subsystem rejects its block, or a package that it needs is not installed."""

    def __init__(self, subsystem: str, cause: Exception, hint: str = "") -> None:
        """`hint` follows the message of `cause` and states how to fix the problem."""
        super().__init__(f"{subsystem}: {cause}{hint}")
        self.subsystem = subsystem


@contextmanager
def start_errors(failure: str) -> Iterator[None]:
    """Converts an OSError in the body to a `SubsystemStartError`."""
    try:
        yield
    except OSError as error:
        raise SubsystemStartError(failure, error) from error


def create_retry_storms(event_loop: EventLoop, config: RetryStormConfig) -> RetryStormIntegration:
    """Creates the integration that damps retry storms."""
    from lilacwalk.server.integrations.retry_storms import RetryStormIntegration

    server = event_loop.server
    with start_errors("cannot start the damping of retry storms"):
        return RetryStormIntegration(
            config, server.max_retry_after, server.seed, event_loop.event_queue, event_loop.now
        )


def create_persistence(
    event_loop: EventLoop,
    config: StorageConfig,
    on_opened: Callable[[list[RecoveredEffect]], None],
) -> PersistenceIntegration:
    """Creates the integration of the store.

    `on_opened` is called with the effects that earlier incarnations recorded, once the store has
    been read or cannot be opened.
    """
    from lilacwalk.server.integrations.persistence import PersistenceIntegration

    with start_errors("cannot start the store"):
        return PersistenceIntegration(
            config,
            event_loop.registry.name,
            event_loop.event_queue,
            event_loop.requests.request_classes,
            on_opened,
            event_loop.requests.effect_gate.record_written,
        )


def create_devices(
    event_loop: EventLoop,
    config: EdgeConfig,
    persist_sessions: Callable[[dict[bytes, bytes | None]], None] | None,
) -> DeviceFrontend:
    """Creates the frontend for devices.

    `persist_sessions` persists sessions by device id, or removes those with the value None; if it
    is None, sessions are not persisted.
    """
    try:
        from lilacwalk.edge.credentials import EdgeError
        from lilacwalk.edge.device_service import DeviceRequestClass
        from lilacwalk.frontends.devices import DeviceFrontend
    except ImportError as error:
        hint = ": install the packages in requirements-edge.txt"
        raise SubsystemConfigError("edge", error, hint) from error
    server = event_loop.server
    device_classes = {
        each.name: DeviceRequestClass(each.effect, each.timeout) for each in server.request_classes
    }
    try:
        return DeviceFrontend(
            event_loop.requests,
            config,
            device_classes,
            event_loop.registry.name,
            server.seed,
            event_loop.event_queue,
            Clock().now,
            persist_sessions,
        )
    except (EdgeError, OSError) as error:
        raise SubsystemConfigError("edge", error) from error


def create_failover_traffic(
    event_loop: EventLoop, config: FailoverConfig, own_site: str
) -> FailoverTrafficIntegration:
    """Creates the integration that receives the traffic of failed sites, with its listeners."""
    from lilacwalk.server.integrations.failover_traffic import FailoverTrafficIntegration

    with start_errors("cannot listen for failover traffic"):
        return FailoverTrafficIntegration(
            event_loop.requests,
            config,
            own_site,
            event_loop.server,
            event_loop.limits,
            event_loop.event_queue,
            event_loop.listener,
        )


def create_site_failover(
    event_loop: EventLoop, subsystems: Subsystems, config: FailoverConfig
) -> SiteFailoverIntegration:
    """Creates the integration of the failover planner, which runs in the membership thread."""
    from lilacwalk.server.integrations.site_failover import SiteFailoverIntegration

    post = event_loop.event_queue.post
    return SiteFailoverIntegration(
        config,
        lambda sites: post(subsystems.set_failover_sites, sites),
        lambda mode: post(subsystems.set_own_service_mode, mode),
        lambda traffic_plan: post(subsystems.failover_traffic.set_traffic_plan, traffic_plan),
        lambda: subsystems.failover_traffic.last_description,
    )


def create_membership(
    event_loop: EventLoop,
    subsystems: Subsystems,
    config: FleetConfig,
    site_failover: SiteFailoverIntegration | None,
) -> MembershipIntegration:
    """Creates this node's membership of the fleet.

    Raises:
        FleetError: The fleet block cannot be used on this node.
        OSError: A socket cannot be opened.
    """
    from lilacwalk import __version__
    from lilacwalk.server.integrations.membership import MembershipIntegration

    post = event_loop.event_queue.post
    return MembershipIntegration(
        config,
        event_loop.registry.name,
        event_loop.server.cores,
        __version__,
        lambda may_withdraw, _: post(subsystems.set_may_withdraw, may_withdraw),
        site_failover,
    )


def create_bgp(
    event_loop: EventLoop, config: BgpConfig, on_withdrawn: Callable[[bool], None]
) -> BgpIntegration:
    """Creates the integration of the BGP speaker.

    `on_withdrawn` is called when the announcements change; its argument is true if they are
    withdrawn because this node is unhealthy.
    """
    from lilacwalk.server.integrations.bgp import BgpIntegration

    with start_errors("cannot start the BGP speaker"):
        return BgpIntegration(
            config,
            event_loop.server.seed,
            event_loop.event_queue,
            lambda: event_loop.now,
            on_withdrawn,
        )
