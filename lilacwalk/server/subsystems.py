"""Starts, reloads and stops the optional subsystems according to the operator's file."""

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

# Values of the service mode: how many nodes of a site announce the site's own services. The
# failover plan sets the mode while the site recovers.
ALL_NODES = "whole"
NO_NODES = "none"

EFFECTS_PERSISTED = "kept"  # the state of an effect log whose records are written


class Subsystems:
    """Starts and stops the subsystems, and passes state between them.

    Owns the running integrations (None if a subsystem is disabled) and the last state from the
    membership and the failover plan, which a BGP speaker that starts later needs. All methods run
    in the event loop's thread.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        """Creates the registry of subsystems, of which none is running."""
        self._event_loop = event_loop
        self.bgp: BgpIntegration | None = None
        self.devices: DeviceFrontend | None = None
        self.failover_traffic: FailoverTrafficIntegration | None = None
        self.membership: MembershipIntegration | None = None
        self.persistence: PersistenceIntegration | None = None
        self.retry_storms: RetryStormIntegration | None = None
        # Whether this node may withdraw its announcements when unhealthy. The membership forbids it
        # if too few members would be left.
        self.may_withdraw = True
        self.failover_sites: tuple[str, ...] = ()  # failed sites whose services this node announces
        self.own_service_mode = ALL_NODES
        self._devices_started = False
        self._is_store_read = False  # whether the store has been read, or cannot be opened

    def apply(self, config: OperatorConfig | None) -> None:
        """Applies the operator's file, at start and after a reload.

        If `config` is None, there is no operator's file.

        Raises:
            ConfigurationError: A block cannot be used. The blocks before it, in the order of the
                calls below, have been applied.
        """
        if config is None:
            config = NoOperatorConfig()
        self._apply_retry_storms(config.storms)
        self._apply_store(config.store)
        self._apply_edge(config.edge)
        self._apply_fleet(config.fleet, config.sites)
        self.apply_bgp(config.announce)

    def stop(self, timeout: float) -> None:
        """Stops all subsystems, waiting at most `timeout` seconds for each."""
        for subsystem in (
            self.bgp,
            self.devices,
            self.membership,
            self.persistence,
            self.retry_storms,
        ):
            if subsystem is not None:
                subsystem.end(timeout)

    # Calls from the event loop

    def report_node_state(self) -> None:
        """Passes the state of this node to BGP and the membership; called in each iteration."""
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
            effect_log_state = (
                self.persistence.effect_log.state
                if self.persistence is not None
                else EFFECTS_PERSISTED
            )
            self.membership.evaluate(
                facts,
                event_loop.now,
                controller.admission_probability if controller is not None else 1.0,
                event_loop.executor.gauges.core_use,
                "" if effect_log_state == EFFECTS_PERSISTED else effect_log_state,
            )

    def tick(self, controller: Controller) -> None:
        """Does the periodic work of the subsystems that use the controller's state."""
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
        """Restores the learned state of an earlier incarnation, if the store contained any.

        Has no effect while the store has not been read.
        """
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
        """Starts the store; once started, it runs until the process ends."""
        if self.persistence is not None:
            if config != self.persistence.config:
                log.warning(
                    "event=reload_ignored detail='a changed store block applies after a restart'"
                )
        elif config is not None and not self._event_loop.drain.is_started:
            self.persistence = factories.create_persistence(
                self._event_loop, config, self._store_opened
            )
            self.persistence.start()

    def _store_opened(self, recovered_effects: list[RecoveredEffect]) -> None:
        """Restores the state of earlier incarnations, which is empty if the store did not open.

        The learned state is restored only into a controller that started less than a second ago
        or that starts later.
        """
        event_loop = self._event_loop
        self._is_store_read = True
        event_loop.requests.effect_gate.restore(recovered_effects)
        controller = event_loop.controller
        if controller is not None and event_loop.now < controller.started_at + SECOND:
            self.restore_learned_state(controller)
        if self.devices is not None and not self._devices_started:
            self._recover_and_start_devices()

    def _recover_and_start_devices(self) -> None:
        """Starts the frontend for devices with the sessions that the store contained."""
        self._devices_started = True
        self.devices.edge.recover_sessions(self.persistence.recovered_sessions)
        self.devices.start()

    # Edge

    def _apply_edge(self, config: EdgeConfig | None) -> None:
        """Starts the frontend for devices, or reloads its certificates and limits.

        Once started, it runs until the process ends.
        """
        if self.devices is not None:
            if config is None:
                log.warning(
                    "event=reload_ignored detail='removing the edge block requires a restart'"
                )
            else:
                self._reload_devices(config)
        elif config is not None and not self._event_loop.drain.is_started:
            self._start_devices(config)

    def _reload_devices(self, config: EdgeConfig) -> None:
        from lilacwalk.edge.credentials import EdgeError

        try:
            self.devices.reload(config)
        except EdgeError as error:
            raise ConfigurationError(str(error)) from error

    def _start_devices(self, config: EdgeConfig) -> None:
        """Creates the frontend for devices and starts it.

        If there is a store, the frontend starts only when the store has been read or cannot be
        opened.
        """
        persist_sessions = None
        if self.persistence is not None:
            persist_sessions = self.persistence.persist_sessions
        self.devices = factories.create_devices(self._event_loop, config, persist_sessions)
        self._event_loop.frontends.append(self.devices)
        if self.persistence is None:
            self._devices_started = True
            self.devices.start()
        elif self._is_store_read:  # a reload has added the block
            self._recover_and_start_devices()
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
            with factories.start_errors("cannot start the fleet membership"):
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
            self.own_service_mode = NO_NODES  # until the failover plan decides
        # Until the membership decides, this node keeps its announcements even if unhealthy.
        self.may_withdraw = False
        self.membership = factories.create_membership(self._event_loop, self, config, site_failover)
        self.membership.start()

    def _reload_membership(self, config: FleetConfig, failover: FailoverConfig | None) -> None:
        self.membership.reload(config)
        site_failover = self.membership.site_failover
        if failover is not None and site_failover is not None:
            site_failover.config = failover  # the membership thread reads it at each evaluation
            self.failover_traffic.reconfigure(failover)
        elif (failover is None) != (site_failover is None):
            log.warning(
                "event=reload_ignored "
                "detail='the sites block can only be added or removed with the fleet block'"
            )

    def _stop_membership(self) -> None:
        if self.membership is None:
            return
        self.membership.end(1.0)
        self.membership = None
        self.set_may_withdraw(True)
        self.set_failover_sites(())
        self.set_own_service_mode(ALL_NODES)
        if self.failover_traffic is not None:  # its listeners stay open: clients may still connect
            self.failover_traffic.clear_traffic_plan()

    def _apply_failover_traffic(self, config: FailoverConfig, own_site: str) -> None:
        """Opens the listeners for failover traffic, or applies a changed block to them.

        The listeners remain open if the block is removed, and are used again if the block is added
        again.
        """
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
        """Starts, reloads or stops the BGP speaker.

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
        """Sets whether this node may withdraw its announcements when unhealthy."""
        self.may_withdraw = may_withdraw
        if self.bgp is not None:
            self.bgp.set_withdrawal_allowed(may_withdraw)

    def set_failover_sites(self, sites: tuple[str, ...]) -> None:
        """Sets the failed sites whose services this node announces too, by the failover plan."""
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
        """Sets how many nodes of this site announce its own services, by the failover plan.

        `mode` is `whole`, `part` or `none`.
        """
        self.own_service_mode = mode
        if self.bgp is not None:
            self.bgp.set_own_service_mode(mode)
