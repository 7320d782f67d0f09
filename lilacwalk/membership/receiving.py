"""Handling of received datagrams: the claims in them, and the reply."""

from __future__ import annotations

from lilacwalk.membership.claims import ClaimHandler, ClaimSource
from lilacwalk.membership.failure_detector import FailureDetector
from lilacwalk.membership.join import JoinProtocol
from lilacwalk.membership.local_node import LocalNode
from lilacwalk.membership.member import PRESENT_HEALTH, Member
from lilacwalk.membership.messages import Datagram, GossipUpdate, Health, MessageType
from lilacwalk.membership.state_exchange import StateExchange

EXCHANGE_MESSAGES = (MessageType.STATE_REPLY, MessageType.STATE_PUSH)


class DatagramReceiver:
    """Passes a datagram's content to the other components and replies to it; owns no state."""

    def __init__(
        self,
        node: LocalNode,
        detector: FailureDetector,
        exchange: StateExchange,
        joining: JoinProtocol,
        claims: ClaimHandler,
    ) -> None:
        """Stores the components that handle the content."""
        self.node = node
        self.detector = detector
        self.exchange = exchange
        self.joining = joining
        self.claims = claims

    def receive(self, datagram: Datagram, now: int) -> None:
        """Handles a datagram from another member."""
        if self.node.identity.has_yielded:
            return
        if datagram.sender == self.node.name:
            self._handle_name_conflict(datagram, now)
            return
        member = self.node.view.get(datagram.sender)
        if member is not None and datagram.process < member.process:
            self._answer_earlier_process(datagram, member)
            return
        if self.node.identity.has_left:
            return
        self.detector.record_contact(now)
        if member is None or datagram.process > member.process:
            self.exchange.request_from_new_sender(datagram, now)
        else:
            self._record_sender_alive(datagram, member, now)
        source = ClaimSource(
            sender=datagram.sender,
            from_exchange=datagram.message_type in EXCHANGE_MESSAGES,
        )
        for update in datagram.updates:
            self.claims.apply(update, now, source)
        member = self.node.view.get(datagram.sender)
        if member is not None and member.health in PRESENT_HEALTH:
            self.exchange.compare_digest(member, datagram.view_digest, now)
        self._reply(datagram, member, now)

    def _record_sender_alive(self, datagram: Datagram, member: Member, now: int) -> None:
        member.last_heard = now
        if datagram.refutation > member.refutation and member.health is not Health.LEFT:
            self.claims.apply(alive_claim(datagram), now, ClaimSource())

    def _answer_earlier_process(self, datagram: Datagram, member: Member) -> None:
        """Answers a datagram from an earlier process with the newer claim about the sender's name.

        Such a datagram is a replay, or the sender's clock was set back.
        """
        self.node.counts["earlier_life"] += 1
        self.node.send(
            datagram.reply_address,
            MessageType.ACK,
            datagram.sequence,
            first_updates=(member.update(False),),
            with_gossip=False,
        )

    def _reply(self, datagram: Datagram, member: Member | None, now: int) -> None:
        match datagram.message_type:
            case MessageType.PING:
                # A suspected or dead sender receives the claim about itself and can refute it.
                notice = self.detector.suspicion_notice(member) if member else ()
                self.node.send(
                    datagram.reply_address, MessageType.ACK, datagram.sequence, first_updates=notice
                )
            case MessageType.ACK:
                self.joining.record_answer(now)
                self.detector.handle_ack(datagram)
            case MessageType.PING_REQ:
                self.detector.handle_ping_req(datagram, now)
            case MessageType.NACK:
                self.detector.probes.negative_acknowledge(datagram.sequence)
            case MessageType.STATE_REQUEST:
                is_outdated = self.detector.is_recovering(now)
                self.exchange.handle_request(datagram, now, view_is_outdated=is_outdated)
            case MessageType.STATE_REPLY:
                self.joining.record_answer(now)
                self.exchange.handle_reply(datagram)
            case MessageType.STATE_PUSH:
                pass

    def _handle_name_conflict(self, datagram: Datagram, now: int) -> None:
        """Handles a datagram from another process, current or earlier, with this member's name."""
        if datagram.instance == self.node.identity.instance:
            return
        self.node.counts["twin"] += 1
        self.claims.apply_to_self(alive_claim(datagram), now)
        if not self.node.identity.has_yielded:
            self.node.send(
                datagram.reply_address,
                MessageType.ACK,
                datagram.sequence,
                first_updates=(self.node.own_update(),),
                with_gossip=False,
            )


def alive_claim(datagram: Datagram) -> GossipUpdate:
    """Returns the claim that a datagram implies: its sender is alive."""
    return GossipUpdate(
        datagram.sender,
        datagram.incarnation,
        datagram.instance,
        datagram.refutation,
        Health.ALIVE,
        datagram.sender,
    )
