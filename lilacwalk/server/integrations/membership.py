"""Connects the event loop to the membership, which runs in a thread of its own.

Loaded only if the operator's file has a fleet block. The event loop reports the node's state when
it changes and its metrics once per `REPORT_INTERVAL`, and never waits for the membership thread.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Protocol

from lilacwalk.bgp.announcement_policy import NodeStatus
from lilacwalk.bgp.readiness import Facts, node_status
from lilacwalk.membership.admin import SiteCommandHandler, admin_socket
from lilacwalk.membership.config import SECOND, FleetConfig
from lilacwalk.membership.host import FleetHost
from lilacwalk.membership.messages import NODE_STATES_BY_NAME, Health
from lilacwalk.requests.records import FinalStatus

if TYPE_CHECKING:
    from lilacwalk.membership.conclusions import Verdict
    from lilacwalk.membership.swim import Membership
    from lilacwalk.server.integrations.site_failover import SiteFailoverIntegration

REPORT_INTERVAL = SECOND  # between two updates of metrics, in tenths of a millisecond
MAX_REJECTED_CLASSES = 6  # classes reported per update, those with the most rejections first
MAX_CLASS_NAME_LENGTH = 24  # characters
MAX_COMPLETED_PER_SECOND = (1 << 32) - 1
PERMILLE = 1_000
METRIC_STEP = 50  # permille; smaller changes are not worth a gossip update


class WithdrawalPermissionListener(Protocol):
    """Called in the membership thread when the permission to withdraw or the verdict changes.

    The verdict states which part of the fleet this node can see.
    """

    def __call__(self, may_withdraw: bool, verdict: str, /) -> None:
        """Handles the change.

        `may_withdraw` is true if this node may withdraw its announcements when it is unhealthy;
        `verdict` is a value of `membership.conclusions.Verdict`.
        """


class MembershipIntegration:
    """Owns the membership host, its admin socket and the metrics since the last report.

    All public methods run in the event loop's thread. The membership thread sets `draining_peers`
    and `load_multiplier`, which the event loop reads.
    """

    def __init__(
        self,
        config: FleetConfig,
        name: str,
        cores: int,
        revision: str,
        on_withdrawal_permission: WithdrawalPermissionListener,
        site_failover: SiteFailoverIntegration | None = None,
    ) -> None:
        """Opens the sockets.

        Args:
            config: the fleet block.
            name: the name of the app server, used if the block contains no member name.
            cores: the number of this app server's cores, which other members learn by gossip.
            revision: the version of the program, which other members learn by gossip.
            on_withdrawal_permission: called when the permission to withdraw announcements or the
                verdict on the membership view changes.
            site_failover: the failover planner, which evaluates the view in the membership thread;
                None without a sites block.

        Raises:
            FleetError: the block cannot be used.
            OSError: a socket cannot be opened.
        """
        self.on_withdrawal_permission = on_withdrawal_permission
        self.cores = cores
        self.site_failover = site_failover
        self.host = FleetHost(
            config,
            name,
            self._publish_view,
            revision=revision,
            on_evaluate=site_failover.evaluate if site_failover is not None else None,
        )
        self.admin_socket = None
        if config.socket is not None:
            try:
                self.admin_socket = admin_socket(self.host, config.socket, self._site_commands())
            except OSError:
                self.host.close()
                raise
        self.storage_state = ""
        self.draining_peers = 0  # number of other members that are draining
        # Number of all members, present and dead, divided by the number of present members. Clients
        # of dead members move to the present ones, whose load grows by this factor.
        self.load_multiplier = 1.0
        self.reported_state: NodeStatus | None = None
        self.next_report_at = 0
        self.last_evaluated_at = 0
        # Integral of the core use over the time since the last report, for the mean core use; a
        # single sample is not meaningful.
        self.utilization_integral = 0.0
        self.completed = 0  # number of completed requests since the last report
        self.rejected_by_class: Counter[str] = Counter()

    def start(self) -> None:
        """Starts the membership thread and the admin socket."""
        self.host.start()
        if self.admin_socket is not None:
            self.admin_socket.start()

    def reload(self, config: FleetConfig) -> None:
        """Applies a changed fleet block.

        Raises:
            FleetError: a key of the block cannot be used; nothing has been changed.
        """
        self.host.reload(config)

    def end(self, timeout: float) -> None:
        """Leaves the fleet; waits up to `timeout` seconds for the membership thread."""
        self.host.leave(timeout)
        if self.admin_socket is not None:
            self.admin_socket.close()

    def set_withdrawn(self, withdrawn: bool) -> None:
        """Sets the metadata by which members learn whether this node withdrew its announcements.

        `withdrawn` is true only if they are withdrawn because the node is unhealthy.
        """
        self.host.update_metadata(withdrawn=withdrawn)

    def record_outcome(self, request_class: str, status: FinalStatus) -> None:
        """Counts a final response for the next report."""
        if status is FinalStatus.COMPLETED:
            self.completed += 1
        elif status is FinalStatus.REJECTED:
            self.rejected_by_class[request_class] += 1

    def evaluate(
        self,
        facts: tuple,
        now: int,
        admission_probability: float,
        core_use: float,
        storage_state: str,
    ) -> None:
        """Reports changes of state after an iteration of the event loop, and metrics when due.

        Args:
            facts: the fields of `readiness.Facts`, in their order.
            now: the current time in tenths of a millisecond.
            admission_probability: the controller's admission probability.
            core_use: the fraction of the cores that is in use.
            storage_state: the state of the effect log; empty if effects are persisted.
        """
        if storage_state != self.storage_state:
            self.storage_state = storage_state
            self.host.update_metadata(storage_state=storage_state)
        state = node_status(Facts(*facts), now)
        if state is not self.reported_state:
            self.reported_state = state
            self.host.update_metadata(NODE_STATES_BY_NAME[state.value])
        if self.last_evaluated_at:
            self.utilization_integral += core_use * (now - self.last_evaluated_at)
        self.last_evaluated_at = now
        if now >= self.next_report_at:
            self._report_metrics(now, admission_probability)

    def _report_metrics(self, now: int, admission_probability: float) -> None:
        span = REPORT_INTERVAL
        if self.next_report_at:
            span = max(1, now - self.next_report_at + REPORT_INTERVAL)
        utilization = min(1.0, self.utilization_integral / span)
        rejected = self.rejected_by_class.most_common(MAX_REJECTED_CLASSES)
        self.host.update_metadata(
            cores=self.cores,
            completed_per_second=min(MAX_COMPLETED_PER_SECOND, self.completed * SECOND // span),
            load_permille=_rounded_permille(utilization),
            admission_permille=_rounded_permille(admission_probability),
            rejected_classes=tuple(name[:MAX_CLASS_NAME_LENGTH] for name, _ in rejected),
        )
        self.next_report_at = now + REPORT_INTERVAL
        self.utilization_integral = 0.0
        self.completed = 0
        self.rejected_by_class.clear()

    def _publish_view(self, membership: Membership, verdict: Verdict, may_withdraw: bool) -> None:
        """Publishes the counts of a changed membership view, and the permission to withdraw.

        Runs in the membership thread.
        """
        view = membership.view
        self.draining_peers = sum(member.name != membership.name for member in view.draining())
        dead_members = len(view.with_health(Health.DEAD))
        self.load_multiplier = 1 + dead_members / max(1, len(view.present))
        self.on_withdrawal_permission(may_withdraw, verdict)

    def _site_commands(self) -> SiteCommandHandler | None:
        if self.site_failover is None:
            return None
        from lilacwalk.server.integrations.site_failover import answer_admin_query

        return partial(answer_admin_query, host=self.host, site_failover=self.site_failover)


def _rounded_permille(share: float) -> int:
    steps = PERMILLE // METRIC_STEP
    return max(0, min(PERMILLE, round(share * steps) * METRIC_STEP))
