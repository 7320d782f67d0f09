"""Creates the parts of a controller and connects them."""

from __future__ import annotations

from lilacwalk.overload.admission import AdmissionControl
from lilacwalk.overload.admission_gate import AdmissionGate
from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.client_tracker import ClientTracker
from lilacwalk.overload.concurrency_limit import ConcurrencyLimit
from lilacwalk.overload.connection_policy import ConnectionPolicy
from lilacwalk.overload.deduplication import Deduplication
from lilacwalk.overload.dependency_limiter import DependencyLimiter
from lilacwalk.overload.dependency_scheduler import DependencyScheduler
from lilacwalk.overload.drain import Drain
from lilacwalk.overload.feasibility import Feasibility
from lilacwalk.overload.latency_estimator import LatencyEstimator
from lilacwalk.overload.load_reporter import LoadReporter
from lilacwalk.overload.model import (
    ServerSettings,
)
from lilacwalk.overload.scheduler import Scheduler
from lilacwalk.overload.server_load import ServerLoad
from lilacwalk.overload.slow_start import SlowStart
from lilacwalk.overload.stall_detector import StallDetector
from lilacwalk.overload.tenant_quota import TenantQuota
from lilacwalk.overload.termination import Termination

MAXIMUM_TIMER_PERIOD = 250  # tenths of a millisecond
# The timer period is at most the shortest latency objective divided by this number, but at least
# `timer_quantum`.
TIMER_PERIODS_PER_OBJECTIVE = 40


class ControllerParts:
    """The parts of one controller: one instance of each, shared by the parts that depend on it."""

    def __init__(self, server: ServerSettings, now: int) -> None:
        """Creates the parts for a server that starts at `now`, in tenths of a millisecond."""
        self.server = server
        shortest = min(each.latency_objective for each in server.request_classes)
        self.timer_period = max(
            server.timer_quantum,
            min(MAXIMUM_TIMER_PERIOD, shortest // TIMER_PERIODS_PER_OBJECTIVE),
        )
        # Decisions that have to be made by a deadline are made earlier by this margin, because the
        # timer event that triggers them may be late.
        self.deadline_margin = self.timer_period + 2 * server.timer_quantum
        self.context = BatchContext(now)
        self._create_estimators(now)
        self._create_decision_parts()
        self._create_reporting_parts()

    def _create_estimators(self, now: int) -> None:
        """Creates the parts that track the state of the server and estimate latencies."""
        server = self.server
        self.load = ServerLoad(server, now)
        self.slow_start = SlowStart(context=self.context, server=server, started_at=now)
        self.drain = Drain()
        self.clients = ClientTracker()
        self.concurrency = ConcurrencyLimit(server, self.load, self.slow_start)
        self.latency = LatencyEstimator(server, self.load, self.concurrency)
        self.dependency = DependencyLimiter(self.context, server)
        self.feasibility = Feasibility(
            context=self.context,
            load=self.load,
            drain=self.drain,
            concurrency=self.concurrency,
            latency=self.latency,
            dependency=self.dependency,
            deadline_margin=self.deadline_margin,
        )
        self.stall_detector = StallDetector(
            self.context,
            self.load,
            latency=self.latency,
            slow_start=self.slow_start,
            timer_period=self.timer_period,
        )

    def _create_decision_parts(self) -> None:
        """Creates the parts that decide on requests."""
        context, server, load = self.context, self.server, self.load
        self.admission = AdmissionControl(server, load, self.latency)
        self.quota = TenantQuota(server, load, self.admission)
        self.deduplication = Deduplication(context, server, load)
        self.termination = Termination(
            context=context,
            server=server,
            load=load,
            drain=self.drain,
            stall_detector=self.stall_detector,
            admission=self.admission,
            latency=self.latency,
            dependency=self.dependency,
            quota=self.quota,
            deduplication=self.deduplication,
        )
        self.admission_gate = AdmissionGate(
            context=context,
            server=server,
            load=load,
            drain=self.drain,
            stall_detector=self.stall_detector,
            admission=self.admission,
            feasibility=self.feasibility,
            quota=self.quota,
            termination=self.termination,
            deadline_margin=self.deadline_margin,
        )
        self._create_schedulers()

    def _create_schedulers(self) -> None:
        self.scheduler = Scheduler(
            context=self.context,
            load=self.load,
            concurrency=self.concurrency,
            stall_detector=self.stall_detector,
            latency=self.latency,
            feasibility=self.feasibility,
            dependency=self.dependency,
            quota=self.quota,
            deduplication=self.deduplication,
            termination=self.termination,
        )
        self.dependency_scheduler = DependencyScheduler(
            self.context,
            self.server,
            self.load,
            slow_start=self.slow_start,
            latency=self.latency,
            feasibility=self.feasibility,
            limiter=self.dependency,
            termination=self.termination,
            deadline_margin=self.deadline_margin,
        )

    def _create_reporting_parts(self) -> None:
        """Creates the parts that send load reports and decide on idle client connections."""
        self.load_reporter = LoadReporter(
            self.context,
            self.server,
            self.load,
            slow_start=self.slow_start,
            drain=self.drain,
            stall_detector=self.stall_detector,
            clients=self.clients,
            concurrency=self.concurrency,
            latency=self.latency,
            admission=self.admission,
        )
        self.connection_policy = ConnectionPolicy(self.context, self.load, self.clients)
