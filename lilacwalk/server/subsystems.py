"""The optional subsystems of an app server: start, reload and stop by the operator's file."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from lilacwalk.limits import SECOND
from lilacwalk.overload.controller import Controller
from lilacwalk.requests.records import FinalStatus, InFlightRequest
from lilacwalk.server import subsystem_factories as factories
from lilacwalk.server.operator_config import NoOperatorConfig, OperatorConfig
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
    from lilacwalk.storage.config import StorageConfig
    from lilacwalk.storage.effect_log import RecoveredEffect

log = logging.getLogger(__name__)

# How many of a site's nodes are to announce its own services while it recovers, as the plan says.
ALL_NODES = "whole"
NO_NODES = "none"

DISK_OK = "kept"  # the state of an effect log whose records are written


class Subsystems:
    """Starts and stops the subsystems, and passes to each what it needs of the others.

    Owns the running integrations, None where a subsystem is off, and what membership and the plan
    for failed sites said last, for a BGP speaker that starts later. All methods run in the event
    loop's thread.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        """All off."""
        self._event_loop = event_loop
        self.bgp: BgpIntegration | None = None
        self.devices: DeviceFrontend | None = None
        self.failover_traffic: FailoverTrafficIntegration | None = None
        self.membership: MembershipIntegration | None = None
        self.persistence: PersistenceIntegration | None = None
        self.retry_storms: RetryStormIntegration | None = None
        self.may_withdraw = True  # for a fault, as far as the fleet needs this node
        self.failover_sites: tuple[str, ...] = ()  # whose services this node is to announce
        self.own_service_mode = ALL_NODES
        self._devices_started = False

    def apply(self, config: OperatorConfig | None) -> None:
        """Applies the operator's file, at start and after a reload; None: there is none.

        Raises:
            ConfigurationError: A block cannot be used. Those before it in the order below apply.
        """
        if config is None:
            config = NoOperatorConfig()
        self._apply_retry_storms(config.storms)
        self._apply_store(config.store)
        self._apply_edge(config.edge)
        self._apply_fleet(config.fleet, config.sites)
        self.apply_bgp(config.announce)

    def stop(self, patience: float) -> None:
        """Ends all subsystems, waiting at most `patience` seconds for each."""
        for subsystem in (
            self.bgp,
            self.devices,
            self.membership,
            self.persistence,
            self.retry_storms,
        ):
            if subsystem is not None:
                subsystem.end(patience)

    # What the event loop tells the subsystems

    def report_node_state(self) -> None:
        """Reports the state of this node after an iteration."""
        if self.bgp is None and self.membership is None:
            return
        event_loop = self._event_loop
        controller = event_loop.controller
        facts = (  # in the order of `bgp.readiness.Facts`
            controller is not None,
            event_loop.warm_up_ends_at,
            event_loop.executor.is_ready,
            event_loop.decision_applier.is_healthy,
            event_loop.drain.is_started,
        )
        if self.bgp is not None:
            self.bgp.evaluate(facts, event_loop.now)
        if self.membership is not None:
            disk = self.persistence.effect_log.state if self.persistence is not None else DISK_OK
            self.membership.evaluate(
                facts,
                event_loop.now,
                controller.admission_probability if controller is not None else 1.0,
                event_loop.executor.gauges.core_use,
                "" if disk == DISK_OK else disk,
            )

    def tick(self, controller: Controller) -> None:
        """Does the periodic work of the subsystems that follow the controller."""
        now = self._event_loop.now
        if self.persistence is not None:
            sites = self.membership.site_failover if self.membership is not None else None
            self.persistence.update_damping_and_sites(self.bgp, sites, now)
            self.persistence.persist_learned_state(controller, now)
        if self.failover_traffic is not None:
            self.failover_traffic.evaluate(
                controller, now, self._event_loop.executor.gauges.core_use
            )
        if self.retry_storms is not None:
            load_multiplier = (
                self.membership.load_multiplier if self.membership is not None else 1.0
            )
            self.retry_storms.evaluate(controller, now, load_multiplier)

    def response_sent(self, entry: InFlightRequest, status: FinalStatus) -> None:
        """Counts a final response."""
        if self.membership is not None:
            self.membership.record_outcome(entry.class_name, status)
        if status is not FinalStatus.COMPLETED:
            return
        if self.retry_storms is not None:
            self.retry_storms.request_completed(entry)
        if self.failover_traffic is not None:
            self.failover_traffic.request_completed()

    def restore_learned_state(self, controller: Controller) -> None:
        """Gives a new controller what an earlier incarnation has learned, once that is read."""
        if self.persistence is not None:
            self.persistence.restore_learned_state(controller, self._event_loop.now)

    # Retry storms

    def _apply_retry_storms(self, config: RetryStormConfig | None) -> None:
        if config is None:
            if self.retry_storms is not None:
                self.retry_storms.end(0.0)
                self.retry_storms = None
        elif self.retry_storms is not None:
            self.retry_storms.damper.config = config
        elif not self._event_loop.drain.is_started:
            self.retry_storms = factories.create_retry_storms(self._event_loop, config)
            self.retry_storms.start()

    # Store

    def _apply_store(self, config: StorageConfig | None) -> None:
        """The store starts and ends with the process."""
        if self.persistence is not None:
            if config != self.persistence.config:
                log.warning(
                    "event=reload_ignored detail='the store ends with the program, not its block'"
                )
        elif config is not None and not self._event_loop.drain.is_started:
            self.persistence = factories.create_persistence(
                self._event_loop, config, self._store_opened
            )
            self.persistence.start()

    def _store_opened(self, remembered: list[RecoveredEffect]) -> None:
        """Restores what earlier incarnations recorded; nothing if the store cannot be opened."""
        event_loop = self._event_loop
        event_loop.requests.effect_gate.restore(remembered)
        controller = event_loop.controller
        if controller is not None and event_loop.now < controller.started_at + SECOND:
            self.restore_learned_state(controller)
        if self.devices is not None and not self._devices_started:
            self._devices_started = True
            self.devices.edge.recover_sessions(self.persistence.recovered_sessions)
            self.devices.start()

    # Edge

    def _apply_edge(self, config: EdgeConfig | None) -> None:
        """Devices start and end with the process; a reload changes certificates and limits."""
        if self.devices is not None:
            if config is None:
                log.warning(
                    "event=reload_ignored detail='the edge ends with the program, not its block'"
                )
            else:
                self._reload_devices(config)
        elif config is not None and not self._event_loop.drain.is_started:
            self._start_devices(config)

    def _reload_devices(self, config: EdgeConfig) -> None:
        from lilacwalk.edge.host import EdgeError

        try:
            self.devices.reload(config)
        except EdgeError as error:
            raise ConfigurationError(str(error)) from error

    def _start_devices(self, config: EdgeConfig) -> None:
        """Starts the devices' front end, with a store once earlier sessions are read from it."""
        persist_sessions = None
        if self.persistence is not None:
            persist_sessions = self.persistence.persist_sessions
        self.devices = factories.create_devices(self._event_loop, config, persist_sessions)
        self._event_loop.frontends.append(self.devices)
        if self.persistence is None:
            self._devices_started = True
            self.devices.start()
        log.info(
            "event=edge_started listen=%s:%d sessions=%d",
            *self.devices.edge.address,
            config.sessions,
        )

    # Membership and failover

    def _apply_fleet(self, config: FleetConfig | None, failover: FailoverConfig | None) -> None:
        if config is None:
            self._stop_membership()
            return
        from lilacwalk.membership.host import FleetError

        try:
            with factories.start_errors("cannot keep a view of the fleet"):
                if self.membership is not None:
                    self._reload_membership(config, failover)
                elif not self._event_loop.drain.is_started:
                    self._start_membership(config, failover)
        except FleetError as error:
            raise ConfigurationError(str(error)) from error

    def _start_membership(self, config: FleetConfig, failover: FailoverConfig | None) -> None:
        site_failover = None
        if failover is not None:
            self._apply_failover_traffic(failover, config.site)
            site_failover = factories.create_site_failover(self._event_loop, self, failover)
            self.own_service_mode = NO_NODES  # until the fleet has been asked
        self.may_withdraw = False  # until the fleet has been asked: when in doubt, serve
        self.membership = factories.create_membership(self._event_loop, self, config, site_failover)
        self.membership.start()

    def _reload_membership(self, config: FleetConfig, failover: FailoverConfig | None) -> None:
        self.membership.reload(config)
        site_failover = self.membership.site_failover
        if failover is not None and site_failover is not None:
            site_failover.config = failover  # which the membership's thread reads each time
            self.failover_traffic.reconfigure(failover)
        elif (failover is None) != (site_failover is None):
            log.warning("event=reload_ignored detail='sites come and go with the fleet block'")

    def _stop_membership(self) -> None:
        if self.membership is None:
            return
        self.membership.end(1.0)
        self.membership = None
        self.set_may_withdraw(True)
        self.set_failover_sites(())
        self.set_own_service_mode(ALL_NODES)
        if self.failover_traffic is not None:  # its listeners stay: clients may be on their way
            self.failover_traffic.stop_taking_failover()

    def _apply_failover_traffic(self, config: FailoverConfig, own_site: str) -> None:
        """The listeners stay as long as the process: a block that comes back finds them."""
        if self.failover_traffic is not None:
            self.failover_traffic.reconfigure(config)
            return
        self.failover_traffic = factories.create_failover_traffic(
            self._event_loop, config, own_site
        )
        self._event_loop.frontends.extend(self.failover_traffic.frontends)
        self.failover_traffic.start()

    # BGP

    def apply_bgp(self, config: BgpConfig | None) -> None:
        """Starts, reloads or ends the announcements.

        Raises:
            ConfigurationError: The speaker cannot start.
        """
        if config is None:
            if self.bgp is not None:
                self.bgp.end(0.0)
                self.bgp = None
        elif self.bgp is not None:
            self.bgp.speaker.reload(config)
        elif not self._event_loop.drain.is_started:
            self.bgp = factories.create_bgp(self._event_loop, config, self._report_withdrawn)
            self.bgp.set_withdrawal_allowed(self.may_withdraw)
            self.bgp.set_own_service_mode(self.own_service_mode)
            self.set_failover_sites(self.failover_sites)
            self.bgp.start()

    def _report_withdrawn(self, is_withdrawn: bool) -> None:
        if self.membership is not None:
            self.membership.set_withdrawn(is_withdrawn)

    def set_may_withdraw(self, may_withdraw: bool) -> None:
        """Takes from the membership whether this node may withdraw for a fault."""
        self.may_withdraw = may_withdraw
        if self.bgp is not None:
            self.bgp.set_withdrawal_allowed(may_withdraw)

    def set_failover_sites(self, sites: tuple[str, ...]) -> None:
        """Takes from the plan the failed sites whose services this node is to announce, too."""
        self.failover_sites = sites
        if self.bgp is None:
            return
        site_failover = self.membership.site_failover if self.membership is not None else None
        known_sites = site_failover.config.site if site_failover is not None else ()
        prefixes = tuple(
            prefix for site in known_sites if site.name in sites for prefix in site.service
        )
        self.bgp.announce_failover_prefixes(prefixes)

    def set_own_service_mode(self, mode: str) -> None:
        """Takes from the plan how many nodes of this site are to announce its services."""
        self.own_service_mode = mode
        if self.bgp is not None:
            self.bgp.set_own_service_mode(mode)
