"""The controller's writer on sockets: what it decides becomes answers, commands and calls."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from lilacwalk.decisions.interface import Effect, Ending, Exchange
from lilacwalk.memory.hand import InHand
from lilacwalk.wire import kernel, routers
from lilacwalk.wire.index import Call
from lilacwalk.wire.outbox import hang_up
from lilacwalk.wire.routers import Connection

if TYPE_CHECKING:
    from lilacwalk.lifecycle.deciding import Deciding

log = logging.getLogger(__name__)


class Answering:
    def __init__(self, host: Deciding) -> None:
        self.host = host
        self.healthy = True
        self.value: float | None = None  # the free value; None: nothing is said
        self.close_idle_after = 0
        self.next_report = 0

    # What both the controller's decisions and the host's own handlers use

    def send(self, connection: Connection, data: bytes) -> None:
        """A router that has stopped reading is cut off, before what it leaves unread fills the memory."""
        if not connection.cut and not self.host.send(connection.outbox, data):
            log.warning("event=connection_ended peer=%s reason=stopped_reading", connection.peer)
            connection.cut_off(reset=True)

    def say(self, connection: Connection, tag: int, word: bytes) -> None:
        self.send(connection, routers.answer(tag, word, routers.said(self.value)))

    def answer(self, each: InHand, word: bytes, body: bytes | memoryview = b"", **more) -> None:
        """The one final answer, unless it was given or its caller is gone."""
        connection = self.host.hand.settled(each)
        if connection is not None:
            connection.last_used = self.host.now
            self.send(connection, routers.answer(each.tag, word, routers.said(self.value), body, **more))

    def answer_joined(self, each: InHand, result: bytes | None) -> None:
        host = self.host
        each.waits_for = None
        if result is None:
            self.answer(each, b"error")
        else:
            self.answer(each, b"done", result)
        host.calls.append((host.controller.finished, each.ex, Ending.ERROR if result is None else Ending.OK))
        host.hand.drop(each)

    def command(self, each: InHand, *commands: bytes) -> None:
        """Kept until a notice proves that it came through, and sent later where there is no link. Without a
        new one, those that are kept are sent again."""
        each.unsure.extend(commands)
        for command in commands or each.unsure:
            if self.host.kernel_ready and not self.host.send(self.host.kernel, command):
                hang_up(self.host.kernel.sock)  # nothing reads there: a new link begins with what is unsure

    # The controller's decisions

    def start(self, ex: Exchange) -> None:
        each = self.host.hand.by_exchange[ex]
        self.command(each, kernel.schedule(each.id, each.group, each.body))

    def deny(self, ex: Exchange, come_back: int = 0, not_elsewhere: bool = False) -> None:
        each = self.host.hand.by_exchange.get(ex)
        if each is not None:
            self.answer(each, b"later", come_back=come_back, not_elsewhere=not_elsewhere)
            if not ex.ran:
                self.host.forget(each, None)

    def terminate(self, ex: Exchange) -> None:
        each = self.host.hand.by_exchange.get(ex)
        if each is not None:
            self.answer(each, b"error")
            if not ex.ran:
                self.host.forget(each, None)

    def stop(self, ex: Exchange) -> None:
        each = self.host.hand.by_exchange.get(ex)
        if each is not None:
            self.command(each, kernel.preempt(each.id))

    def join(self, ex: Exchange) -> None:
        host, first = self.host, ex.repeats
        each = host.hand.by_exchange.get(ex)
        if each is None:  # its caller left before the round
            return
        if first in host.hand.by_exchange:
            each.waits_for = first
            return
        entry = host.kept.find(each.kept_as, host.now) if each.kept_as else None
        self.answer_joined(each, entry.result if entry is not None and entry.ex is first else None)

    def keep(self, ex: Exchange, time: int) -> None:
        each = self.host.hand.by_exchange.get(ex)
        if each is not None and each.kept_as is not None:
            self.host.kept.enter(each.kept_as, ex, self.host.now + time)

    def drop_key(self, ex: Exchange) -> None:
        host = self.host
        each = host.hand.by_exchange.get(ex)
        if each is not None and each.kept_as is not None:
            host.kept.drop(each.kept_as, ex)

    def call(self, ex: Exchange, give_up_at: int) -> None:
        host = self.host
        each = host.hand.by_exchange[ex]
        once = ex.group.effect is not Effect.REPEATABLE
        each.call = Call(each.id, max(1, (give_up_at - host.now) // 10), each.call_body, once)
        each.call_since = host.now
        host.index.make(each.call)
        host.at(give_up_at, host.call_timed_out, each, each.call)

    def skip_call(self, ex: Exchange) -> None:
        each = self.host.hand.by_exchange[ex]
        self.command(each, kernel.go_on(each.id, each.call_notice))

    def health(self, good: bool) -> None:
        self.healthy = good

    def advise(self, value: float) -> None:
        self.value = value

    def close_idle(self, after: int) -> None:
        self.close_idle_after = after

    def timer(self, after: int) -> None:
        due = self.host.now + after
        self.host.at(due - self.host.limits.gauge_lead, self.host.ask_for_gauges)
        self.host.at(due, self.host.timer_due)

    def log(self, text: str) -> None:
        log.info("event=module text=%r", text)
