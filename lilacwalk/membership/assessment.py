"""Assessment of the local view: statistics, verdict, and whether this node may withdraw."""

from __future__ import annotations

from lilacwalk.membership.conclusions import Conclusion, Verdict, ViewStatistics, conclude
from lilacwalk.membership.failure_detector import FailureDetector
from lilacwalk.membership.join import JoinProtocol
from lilacwalk.membership.local_node import LocalNode
from lilacwalk.membership.messages import Health
from lilacwalk.membership.minimum_healthy import WithdrawalCandidate, may_withdraw
from lilacwalk.membership.state_exchange import StateExchange


class ViewAssessment:
    """Evaluates the view and the state of the other components; owns no state."""

    def __init__(
        self,
        node: LocalNode,
        detector: FailureDetector,
        exchange: StateExchange,
        joining: JoinProtocol,
    ) -> None:
        """Stores the components to evaluate."""
        self.node = node
        self.detector = detector
        self.exchange = exchange
        self.joining = joining

    def is_settled(self, now: int) -> bool:
        """Whether no suspicion, stall, name conflict or join is pending, and peers agree."""
        return (
            not self.detector.suspicions
            and not self.detector.is_recovering(now)
            and not self.node.identity.has_yielded
            and not self.joining.is_waiting
            and self.exchange.peers_agree(now)
        )

    def conclusion(self, now: int) -> Conclusion:
        """Returns the verdict on the reliability of this node's view, with its reason."""
        return conclude(self.statistics(now))

    def statistics(self, now: int) -> ViewStatistics:
        """Returns the statistics that determine the verdict."""
        view = self.node.view
        present = view.present
        silent_intervals = (now - self.detector.last_heard) // self.node.interval
        return ViewStatistics(
            present=len(present),
            suspects=sum(member.health is Health.SUSPECT for member in present),
            lost=len(view.with_health(Health.DEAD)),
            left=len(view.with_health(Health.LEFT)),
            silent_intervals=silent_intervals if len(present) > 1 else 0,
            unanswered_probes=self.detector.unanswered_probes,
            joining=self.joining.is_waiting,
            recovering_from_stall=self.detector.is_recovering(now),
            name_conflict=self.node.identity.has_yielded,
            peers_agree=self.exchange.peers_agree(now),
        )

    def may_withdraw(self, now: int, verdict: Verdict | None = None) -> bool:
        """Returns whether this node may withdraw its route announcements because it is unhealthy.

        Args:
            now: the current time in tenths of a millisecond.
            verdict: the current verdict; computed if omitted.
        """
        view = self.node.view
        verdict = verdict or self.conclusion(now).verdict
        members = [
            WithdrawalCandidate(
                member.name,
                member.incarnation,
                member.metadata.state,
                member.metadata.withdrawn,
            )
            for member in view.present
            if member.metadata is not None
        ]
        return may_withdraw(
            self.node.name,
            members,
            self.node.config.withdraw_share,
            view_is_complete=verdict is Verdict.WHOLE or len(view.known()) == 1,
        )
