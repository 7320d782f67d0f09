"""Runs the failover planner on the membership view and reports its decisions to the app server.

Loaded only if the operator's file has a sites block.
"""

from __future__ import annotations

import logging
import time

from lilacwalk.failover.config import FailoverConfig
from lilacwalk.failover.detector import HEALTHY_VIEW, MemberStatus
from lilacwalk.failover.local_priority import TrafficPlan
from lilacwalk.failover.node_plan import FailoverPlanner, NodePlan
from lilacwalk.failover.node_selection import NodeView
from lilacwalk.failover.operator_commands import (
    VERBS,
    OperatorCommand,
    newest_commands,
    put_command,
)
from lilacwalk.failover.plan_agreement import (
    PlanAgreement,
    compare_fingerprints,
    plan_fingerprint,
    put_fingerprint,
)
from lilacwalk.membership.host import FleetHost
from lilacwalk.membership.member import Member
from lilacwalk.membership.messages import MemberMetadata
from lilacwalk.membership.swim import Membership
from lilacwalk.server.integrations.site_failover_hooks import (
    FailoverSitesListener,
    FailoverTrafficDescriber,
    OwnServiceModeListener,
    TrafficPlanListener,
)
from lilacwalk.server.integrations.site_failover_report import describe_plan, describe_site

log = logging.getLogger(__name__)
# Number of probe intervals for which a starting node waits for other members. It is limited because
# all of them may be down.
MAX_JOIN_WAIT_INTERVALS = 10
MAX_LOGGED_MEMBERS = 8  # number of members named in a log line


def unix_milliseconds() -> int:
    """Returns the time of the system clock, by which operator commands expire."""
    return time.time_ns() // 1_000_000


class SiteFailoverIntegration:
    """Owns the failover planner. All methods but the constructor run in the membership thread.

    Times are in tenths of a millisecond, except those of operator commands.
    """

    def __init__(
        self,
        config: FailoverConfig,
        on_failover_sites: FailoverSitesListener,
        on_own_service_mode: OwnServiceModeListener = lambda _mode: None,
        on_traffic_plan: TrafficPlanListener = lambda _plan: None,
        describe_failover_traffic: FailoverTrafficDescriber = dict,
    ) -> None:
        """Stores the callbacks, which are called in the membership thread.

        Args:
            config: the sites block of the operator's file; may be replaced from another thread.
            on_failover_sites: called with the failed sites whose load this node takes,
                when they change.
            on_own_service_mode: called with the service mode of this node's own site when it
                changes: `whole`, `part` or `none`.
            on_traffic_plan: called with the traffic plan when it changes.
            describe_failover_traffic: returns the admin socket's report on failover traffic; safe
                from any thread.
        """
        self.config = config
        self.on_failover_sites = on_failover_sites
        self.on_own_service_mode = on_own_service_mode
        self.on_traffic_plan = on_traffic_plan
        self.describe_failover_traffic = describe_failover_traffic
        self.traffic_plan = TrafficPlan()
        self.own_service_mode = ""
        self.started_at: int | None = None
        self.planner: FailoverPlanner | None = None  # None until the first evaluation
        self.failover_sites: tuple[str, ...] = ()
        self.fingerprint = plan_fingerprint(config)
        self.agreement = PlanAgreement()
        self.commands: dict[str, OperatorCommand] = {}
        self.conclusion = ""
        # As of the last evaluation. Replaced, never modified, as the event loop's thread reads it.
        self.failure_history: dict[str, tuple[int, int]] = {}
        # Failure history of an earlier process and its age, to be restored at the next evaluation.
        self.restored_history: tuple[dict[str, tuple[int, int]], int] | None = None

    def evaluate(self, membership: Membership, now: int) -> None:
        """Evaluates the current membership view and reports changes of the decisions."""
        planner = self._current_planner(membership, now)
        self._restore_history(planner, now)
        self._apply_commands(planner, membership, now)
        conclusion = membership.conclusion(now)
        self.conclusion = conclusion.verdict
        # If this node is in the majority even if all suspected members are lost, the plan need not
        # wait until the suspicions have been confirmed or refuted.
        effective_verdict = HEALTHY_VIEW if conclusion.firm else conclusion.verdict
        node_plan = planner.evaluate(_node_views(membership), effective_verdict, now)
        self._check_agreement(membership, now)
        self._log_stage_changes(planner)
        self.failure_history = planner.failure_history(now)
        self._report_stages(planner, membership, now)
        self._update_own_service_mode(membership, now, node_plan)
        self._update_failover_sites(node_plan)
        self._update_traffic_plan(planner, membership, now)

    def describe(self, now: int) -> dict:
        """Returns this node's view of the sites and the plan, for the admin socket."""
        planner = self.planner
        if planner is None:
            return {"error": "the failover plan has not been evaluated yet"}
        node_plan = planner.node_plan
        return {
            "own": self.own_service_mode,
            "own_share": round(node_plan.own_site_share, 3),
            "name": planner.name,
            "site": planner.site,
            "conclusion": self.conclusion,
            "sites": [describe_site(planner, name, now) for name in sorted(planner.recoveries)],
            "stands_in_for": list(self.failover_sites),
            "plan_differs": list(self.agreement.differing_members),
            "yields": self.agreement.is_outdated,
            "guests": self.describe_failover_traffic(),
            "plan": describe_plan(node_plan),
        }

    def _current_planner(self, membership: Membership, now: int) -> FailoverPlanner:
        if self.planner is None:
            site = membership.config.site
            self.planner = FailoverPlanner(self.config, membership.name, site, now)
        elif self.planner.config is not self.config:
            self.planner.reconfigure(self.config, now)
            self.fingerprint = plan_fingerprint(self.config)
        return self.planner

    def _restore_history(self, planner: FailoverPlanner, now: int) -> None:
        restored = self.restored_history
        if restored is not None:
            self.restored_history = None
            history, age = restored
            planner.restore_failure_history(history, age, now)

    def _apply_commands(self, planner: FailoverPlanner, membership: Membership, now: int) -> None:
        """Applies the operator commands that the metadata of the known members contain.

        Each command applies on all members, whichever of them it was issued on. A hold or
        drain ends when it expires or is released, not when it disappears from the metadata.
        """
        unix_now = unix_milliseconds()
        gossiped = (
            each.metadata.operator_commands
            for each in membership.view.known()
            if each.metadata is not None
        )
        commands = newest_commands(gossiped, unix_now)
        for site, command in commands.items():
            if self.commands.get(site) == command:
                continue
            remaining = command.expires_at - unix_now
            if command.verb == "release":
                planner.release(site, now)
            else:
                planner.hold(site, now + remaining * 10, now, drain=command.verb == "drain")
            log.info(
                {
                    "event": "site_command",
                    "site": site,
                    "verb": command.verb,
                    "for_s": remaining // 1000,
                }
            )
        self.commands = commands

    def _check_agreement(self, membership: Membership, now: int) -> None:
        """Compares the fingerprint of this node's sites block with those of the other members.

        Gossips this node's fingerprint, and logs a change in which members have a different block.
        """
        published = _own_metadata(membership).operator_commands
        with_fingerprint = put_fingerprint(published, self.fingerprint)
        if with_fingerprint != published:
            membership.update_metadata(now, operator_commands=with_fingerprint)
        agreement = compare_fingerprints(
            self.fingerprint,
            (
                (each.name, each.metadata.operator_commands)
                for each in membership.view.present
                if each.metadata is not None and each.name != membership.name
            ),
        )
        if agreement == self.agreement:
            return
        self.agreement = agreement
        differing = agreement.differing_members
        log.warning(
            {
                "event": "plan_differs",
                "from": ",".join(differing[:MAX_LOGGED_MEMBERS]) or "none",
                "count": len(differing),
                "outdated": agreement.is_outdated,
            }
        )

    @staticmethod
    def _log_stage_changes(planner: FailoverPlanner) -> None:
        for site, stage, reason in planner.stage_changes:
            share = round(planner.recoveries[site].share, 3)
            log.info(
                {
                    "event": "site_stage",
                    "site": site,
                    "stage": stage,
                    "reason": reason,
                    "share": share,
                }
            )
        planner.stage_changes.clear()

    @staticmethod
    def _report_stages(planner: FailoverPlanner, membership: Membership, now: int) -> None:
        stages = planner.stages_to_report()
        if stages != _own_metadata(membership).site_stages:
            membership.update_metadata(now, site_stages=stages)

    def _update_own_service_mode(
        self, membership: Membership, now: int, node_plan: NodePlan
    ) -> None:
        """Decides on the service mode of this node's own site.

        After a start, the mode is `none` until other members have reported whether the site is
        recovering, because a cold site must not take all its load at once. This wait is limited by
        `MAX_JOIN_WAIT_INTERVALS`.
        """
        if self.started_at is None:
            self.started_at = now
        is_joining = not membership.has_joined and bool(membership.config.seeds)
        may_wait = now - self.started_at < MAX_JOIN_WAIT_INTERVALS * membership.interval
        if is_joining and may_wait:
            mode = "none"
        elif node_plan.own_site_share >= 1:
            mode = "whole"
        elif node_plan.serves_own_site:
            mode = "part"
        else:
            mode = "none"
        if mode != self.own_service_mode:
            self.own_service_mode = mode
            share = round(node_plan.own_site_share, 3)
            log.info({"event": "own_services", "wanted": mode, "share": share})
            self.on_own_service_mode(mode)

    def _update_failover_sites(self, node_plan: NodePlan) -> None:
        sites = () if self.agreement.is_outdated else node_plan.failover_sites
        if sites != self.failover_sites:
            self.failover_sites = sites
            log.info({"event": "failover_sites", "sites": ",".join(sites) or "none"})
            self.on_failover_sites(sites)

    def _update_traffic_plan(
        self, planner: FailoverPlanner, membership: Membership, now: int
    ) -> None:
        cores = float(_own_metadata(membership).cores)
        traffic_plan = planner.traffic_plan(self.failover_sites, cores, now)
        if traffic_plan != self.traffic_plan:
            self.traffic_plan = traffic_plan
            self.on_traffic_plan(traffic_plan)


def answer_admin_query(
    words: list[str], host: FleetHost, site_failover: SiteFailoverIntegration
) -> object:
    """Answers a query on the admin socket: `sites` or `sites hold|drain|release SITE SECONDS`.

    The second form issues an operator command, which this node's metadata gossips.

    Returns:
        The result of `SiteFailoverIntegration.describe`, or a dict with an `error`.
    """
    if words == ["sites"]:
        return host.query(lambda _membership, now: site_failover.describe(now))
    if len(words) != 4 or words[1] not in VERBS or not words[3].isdecimal():
        return {"error": "unknown query, expected: sites, sites hold|drain|release SITE SECONDS"}
    _, verb, site, seconds = words
    if site not in {each.name for each in site_failover.config.site}:
        return {"error": f"unknown site {site}"}
    issued_at = unix_milliseconds()
    command = OperatorCommand(verb, site, issued_at, issued_at + int(seconds) * 1000)

    def issue(membership: Membership, now: int) -> dict:
        with_command = put_command(membership.metadata.operator_commands, command, issued_at)
        with_fingerprint = put_fingerprint(with_command, site_failover.fingerprint)
        membership.update_metadata(now, operator_commands=with_fingerprint)
        site_failover.evaluate(membership, now)
        return site_failover.describe(now)

    return host.query(issue)


def _own_metadata(membership: Membership) -> MemberMetadata:
    """Returns the metadata that this node gossips about itself, or will gossip next."""
    return membership.latest_metadata


def _node_views(membership: Membership) -> list[NodeView]:
    return [
        _node_view(member, member.metadata)
        for member in membership.view.known()
        if member.metadata is not None
    ]


def _node_view(member: Member, metadata: MemberMetadata) -> NodeView:
    status = MemberStatus(
        site=metadata.site,
        health=member.health,
        state=metadata.state,
        cores=metadata.cores,
        utilisation=metadata.load_permille / 1000,
        completed_per_second=metadata.completed_per_second,
    )
    return NodeView(
        name=member.name,
        status=status,
        admission_probability=metadata.admission_permille / 1000,
        reported_stages=metadata.site_stages,
        has_durable_storage=not metadata.storage_state,
    )
