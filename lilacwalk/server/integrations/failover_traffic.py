"""Failover traffic on this node: its listeners, and rejections while the node is overloaded.

Loaded only if the operator's file has a sites block. Runs in the event loop's thread.
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
# All failover listeners together may use this part (a quarter) of the limits on connections and on
# requests in flight: the limits are divided by this number.
FAILOVER_LIMIT_DIVISOR = 4
# Combined with the server's seed by XOR, so that `LocalPriority` gets a random sequence of its own,
# different from the controller's.
SEED_MASK = 0x517E


class FailoverTrafficIntegration:
    """Owns the listeners for failover traffic, their frontends and the `LocalPriority`.

    While the node is overloaded, the `LocalPriority` decides which requests are rejected ahead of
    the controller.
    """

    def __init__(
        self,
        request_handler: RequestHandler,
        config: FailoverConfig,
        site: str,
        server: ServerSettings,
        limits: Limits,
        event_queue: EventQueue,
        listener: ProxyListener,
    ) -> None:
        """Opens the listeners.

        Args:
            request_handler: handles the requests.
            config: the sites block of the operator's file.
            site: the site of this node.
            server: the server's settings.
            limits: the limits of the whole process.
            event_queue: the queue of the event loop.
            listener: the listener for local traffic; failover connections share its limit.

        Raises:
            OSError: an address cannot be bound; all listeners have been closed.
        """
        self.config = config
        self.site = site
        self.server = server
        self.core_use_samples: list[float] = []  # since the last `LocalPriority.step`
        self.completed_requests = 0  # since the last `LocalPriority.step`
        # As of the last `LocalPriority.step`. Replaced, never modified: any thread may read it.
        self.last_description: dict = {}
        self.frontends: list[ProxyFrontend] = []
        self.listeners: list[ProxyListener] = []
        self.failover_classes: dict[tuple[str, str], RequestClass] = {}  # by site and class
        try:
            self._listen(request_handler, limits, event_queue, listener)
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
        request_handler: RequestHandler,
        limits: Limits,
        event_queue: EventQueue,
        listener: ProxyListener,
    ) -> None:
        sites = [each for each in self.config.site if self._has_listener(each)]
        listener_count = max(1, len(sites))
        connections = max(1, limits.connections // FAILOVER_LIMIT_DIVISOR // listener_count)
        max_in_flight = max(1, limits.max_in_flight // FAILOVER_LIMIT_DIVISOR // listener_count)
        failover_limits = replace(
            limits, connections=connections, connection_high_water=connections
        )
        for each in sites:
            failover_listener = ProxyListener(
                each.guests, failover_limits, event_queue, listener.connection_slots
            )
            self.listeners.append(failover_listener)
            self.frontends.append(
                ProxyFrontend(
                    request_handler, failover_listener, max_in_flight, failover_limits, each.name
                )
            )

    def _has_listener(self, site: Site) -> bool:
        return site.guests is not None and site.name != self.site

    def reconfigure(self, config: FailoverConfig) -> None:
        """Applies a sites block, at start and after a reload.

        Changed addresses of listeners only have an effect after a restart; a warning is logged.
        """
        if _listening_addresses(config) != _listening_addresses(self.config):
            log.warning(
                "event=reload_ignored "
                "detail='changed addresses for failover traffic apply after a restart'"
            )
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

    def clear_traffic_plan(self) -> None:
        """Sets an empty traffic plan, as the sites block has been removed.

        Requests that still arrive at the failover listeners are then ranked by weight, like local
        traffic.
        """
        self.set_traffic_plan(TrafficPlan())

    def set_traffic_plan(self, traffic_plan: TrafficPlan) -> None:
        """Sets the traffic plan made by the failover planner."""
        self.local_priority.traffic_plan = traffic_plan

    def effective_class(self, source_site: str, request_class: RequestClass) -> RequestClass:
        """Returns the class that the controller uses for a request from `source_site`."""
        return self.failover_classes.get((source_site, request_class.name), request_class)

    def reject_if_overloaded(
        self, class_name: str, source_site: str, controller: Controller
    ) -> LocalRejection | None:
        """Returns the rejection of a request, or None if the controller is to decide on it.

        `source_site` is empty for local traffic.
        """
        is_busy = bool(controller.queue) or controller.running >= self.server.cores
        return self.local_priority.reject_if_overloaded(
            class_name, source_site or self.site, is_busy
        )

    def request_completed(self) -> None:
        """Counts a completed request."""
        self.completed_requests += 1

    def evaluate(self, controller: Controller, now: int, core_use: float) -> None:
        """Records a sample of the core use, and calls `LocalPriority.step` if it is due."""
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
        """Returns expected execution times, in tenths of a millisecond, by class and site.

        The expected time is the larger of the class's mean execution times for failover and for
        local requests. If the class has not been executed yet, it is the mean over all classes.
        """
        local_classes = {each.name: each for each in self.server.request_classes}
        expected = {}
        for class_name, source_site in flows:
            candidates = (
                self.failover_classes.get((source_site, class_name)),
                local_classes[class_name],
            )
            known = [
                controller.execution_times[each]
                for each in candidates
                if each is not None and each in controller.execution_times
            ]
            expected[class_name, source_site] = int(
                max(known, default=controller.mean_execution_time)
            )
        return expected


def _listening_addresses(config: FailoverConfig) -> list[tuple]:
    return [(each.name, each.guests) for each in config.site]
