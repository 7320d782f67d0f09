"""Traffic of failed sites on this node: its own listeners, and what is rejected under overload.

Loaded only where the operator's file has a sites block. Runs in the event loop's thread.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable
from dataclasses import replace

from lilacwalk.event_queue import EventQueue
from lilacwalk.failover.config import FailoverConfig, Site
from lilacwalk.failover.local_priority import (
    LocalPriority,
    LocalRejection,
    TrafficPlan,
    as_failover_class,
    plan_class,
)
from lilacwalk.frontends.interface import RequestHandler
from lilacwalk.frontends.proxy_resp2 import ProxyFrontend
from lilacwalk.limits import Limits
from lilacwalk.overload.controller import Controller
from lilacwalk.overload.model import RequestClass, ServerSettings
from lilacwalk.protocols.proxy_listener import ProxyListener

log = logging.getLogger(__name__)
MAX_FAILOVER_FRACTION = 4  # failover frontends have one in so many connections and requests
SEED_MASK = 0x517E  # keeps these random draws apart from the controller's


class FailoverTrafficIntegration:
    """Owns the listeners for failover traffic, their frontends and the local priorities."""

    def __init__(
        self,
        host: RequestHandler,
        config: FailoverConfig,
        site: str,
        server: ServerSettings,
        limits: Limits,
        event_queue: EventQueue,
        listener: ProxyListener,
    ) -> None:
        """Opens the listeners.

        Args:
            host: takes the requests.
            config: the operator's block.
            site: this node's own.
            server: the server's settings.
            limits: of the whole process.
            event_queue: the event loop's.
            listener: the platform's, among whose connections those of failover traffic count.

        Raises:
            OSError: an address cannot be had; then nothing is left open.
        """
        self.config = config
        self.site = site
        self.server = server
        self.core_use_samples: list[float] = []  # since the last step
        self.completed_requests = 0  # since the last step
        # As of the last step, replaced whole: any thread may read it.
        self.last_description: dict = {}
        self.frontends: list[ProxyFrontend] = []
        self.listeners: list[ProxyListener] = []
        self.failover_classes: dict[tuple[str, str], RequestClass] = {}  # by site and class
        try:
            self._listen(host, limits, event_queue, listener)
        except OSError:
            self.close()
            raise
        self.local_priority = LocalPriority(
            config=config,
            site=site,
            cores=float(server.cores),
            classes={},
            path_costs={},
            max_retry_after=server.max_retry_after,
            rng=random.Random(server.seed ^ SEED_MASK),
            next_step_at=0,
        )
        self.reconfigure(config)

    def _listen(
        self,
        host: RequestHandler,
        limits: Limits,
        event_queue: EventQueue,
        listener: ProxyListener,
    ) -> None:
        sites = [each for each in self.config.site if self._has_listener(each)]
        listener_count = max(1, len(sites))
        connections = max(1, limits.connections // MAX_FAILOVER_FRACTION // listener_count)
        max_in_flight = max(1, limits.max_in_flight // MAX_FAILOVER_FRACTION // listener_count)
        own_limits = replace(limits, connections=connections, connection_high_water=connections)
        for each in sites:
            opened = ProxyListener(each.guests, own_limits, event_queue, listener.connection_slots)
            self.listeners.append(opened)
            self.frontends.append(ProxyFrontend(host, opened, max_in_flight, own_limits, each.name))

    def _has_listener(self, site: Site) -> bool:
        return site.guests is not None and site.name != self.site

    def reconfigure(self, config: FailoverConfig) -> None:
        """Takes a block, at start and after a reload. Listeners last as long as the process."""
        if _listening_addresses(config) != _listening_addresses(self.config):
            log.warning("event=reload_ignored detail='listeners for guests end with the program'")
        self.config = config
        path_costs = {
            each.name: target.cost
            for each in config.site
            for target in each.stand_in
            if target.site == self.site
        }
        self.failover_classes = {
            (each.name, request_class.name): as_failover_class(
                request_class, path_costs.get(each.name, 0), config.guest_worth
            )
            for each in config.site
            for request_class in self.server.request_classes
            if each.name != self.site
        }
        self.local_priority.config = config
        self.local_priority.path_costs = path_costs
        self.local_priority.classes = {
            each.name: plan_class(each, config) for each in self.server.request_classes
        }

    def start(self) -> None:
        """Starts the listeners' threads."""
        for frontend, listener in zip(self.frontends, self.listeners, strict=True):
            listener.start()
            log.info(
                "event=failover_listener_started site=%s listen=%s:%d",
                frontend.source_site,
                *listener.address,
            )

    def close(self) -> None:
        """Closes the listeners."""
        for listener in self.listeners:
            listener.close()

    def stop_taking_failover(self) -> None:
        """The block is gone: what still comes in is local traffic by weight, until it is over."""
        self.set_traffic_plan(TrafficPlan())

    def set_traffic_plan(self, traffic_plan: TrafficPlan) -> None:
        """Takes what the node plan says now."""
        self.local_priority.traffic_plan = traffic_plan

    def class_for(self, source: str, request_class: RequestClass) -> RequestClass:
        """The class as the controller is to know it for a request of this site's clients."""
        return self.failover_classes.get((source, request_class.name), request_class)

    def reject_if_overloaded(
        self, class_name: str, source: str, controller: Controller
    ) -> LocalRejection | None:
        """Whether a request is rejected before the controller sees it; None passes it on."""
        is_busy = bool(controller.queue) or controller.running >= self.server.cores
        return self.local_priority.reject_if_overloaded(class_name, source or self.site, is_busy)

    def request_completed(self) -> None:
        """Counts a request that was completed."""
        self.completed_requests += 1

    def evaluate(self, controller: Controller, now: int, core_use: float) -> None:
        """Takes the gauge reported last, and a step of the priorities where one is due."""
        priority = self.local_priority
        self.core_use_samples.append(core_use)
        if now < priority.next_step_at:
            return
        was_active = priority.active
        mean_core_use = sum(self.core_use_samples) / len(self.core_use_samples)
        priority.step(
            now,
            controller.admission_probability,
            self._execution_times(controller, priority.flows),
            controller.mean_execution_time,
            mean_core_use * self.server.cores,
            self.completed_requests,
        )
        self.core_use_samples.clear()
        self.completed_requests = 0
        self.last_description = priority.describe()
        if priority.active is not was_active:
            log.info(
                "event=local_shedding active=%s offered=%.2f admitted=%.2f failover_for=%s",
                priority.active,
                priority.offered_load,
                priority.admitted_load,
                ",".join(priority.traffic_plan.failover_sites) or "none",
            )

    def _execution_times(
        self, controller: Controller, flows: Iterable[tuple[str, str]]
    ) -> dict[tuple[str, str], int]:
        """Expected by class and site, from failover and local requests of the class together."""
        local_classes = {each.name: each for each in self.server.request_classes}
        expected = {}
        for class_name, source in flows:
            candidates = (
                self.failover_classes.get((source, class_name)),
                local_classes[class_name],
            )
            known = [
                controller.execution_times[each]
                for each in candidates
                if each is not None and each in controller.execution_times
            ]
            expected[class_name, source] = int(max(known, default=controller.mean_execution_time))
        return expected


def _listening_addresses(config: FailoverConfig) -> list[tuple]:
    return [(each.name, each.guests) for each in config.site]
