"""The speaker's host: sockets, threads, the clock. One thread owns `Speaking` and never blocks on a socket;
each connection has a reader on a blocking socket that cuts the bytes into messages and puts them onto one
queue; what is to be sent goes through bounded outboxes. Elapsed time, not the wall clock, counts: BGP has no
use for the date, and a clock that jumps ends no session."""

from __future__ import annotations

import logging
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from queue import Empty, SimpleQueue

from lilacwalk.bgp import messages
from lilacwalk.bgp.announcement_policy import Level, NodeStatus
from lilacwalk.bgp.config import SECOND, BgpConfig, Service
from lilacwalk.bgp.errors import BgpError, Cease, Code
from lilacwalk.bgp.messages import Stream
from lilacwalk.bgp.peer import Action, Do, notification_of
from lilacwalk.bgp.speaker_state import SpeakerState
from lilacwalk.protocols.listener import listen
from lilacwalk.protocols.send_buffer import SendBuffer, shut_down_socket

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Bounds:
    """Of one speaker's sockets and memory."""

    outbox: int = (
        4_000_000  # bytes unsent to one peer: two refreshes of a hundred thousand prefixes
    )
    read: int = 16_384  # taken from a socket at once: four plain messages of the largest size
    batch: int = 64  # messages handed over at once; a peer that floods waits for itself
    batches_ahead: int = 2
    a_pass: int = (
        16  # queue items taken between two looks at the timers: a thousand messages, some 50 ms
    )
    connect: float = 2.0  # seconds: more than one lost SYN; a shorter retry timer gives up sooner
    last_words: float = 1.0  # seconds a peer may take to read a notification and close
    backlog: int = 64
    stack: int = 131_072


class Link:
    """One connection and the thread that reads it. The speaker's thread owns all but the reader's loop."""

    def __init__(
        self,
        host: Speaker,
        number: int,
        peer: tuple[str, int],
        sock: socket.socket | None,
        connect_to: tuple[str, int] | None = None,
        local: str | None = None,
    ) -> None:
        self.host, self.number, self.peer, self.sock = host, number, peer, sock
        self.connect_to, self.local = connect_to, local
        self.outbox = SendBuffer(sock, host.bounds.outbox, "bgp") if sock is not None else None
        self.ahead: SimpleQueue[None] = SimpleQueue()
        for _ in range(host.bounds.batches_ahead):
            self.ahead.put(None)
        self.closing = threading.Event()

    def start(self) -> None:
        threading.Thread(target=self._run, name="bgp-reader", daemon=True).start()

    def _run(self) -> None:
        why = "closed by the peer"
        try:
            if self.connect_to is not None and not self._connect():
                return
            self._read()
        except BgpError as error:
            self.host.inbox.put((self.host.on_broken, self, error))
            self._read_out()
        except OSError as error:
            why = error.strerror or str(error)
        except Exception:
            log.exception("event=thread_failed thread=bgp-reader")
            why = "a defect in its reader"
        finally:
            self.host.inbox.put((self.host.on_lost, self, why))

    def _connect(self) -> bool:
        family = socket.AF_INET6 if ":" in self.connect_to[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        self.sock = sock  # before it is open: who gives the try up closes it
        try:
            if self.local is not None:
                sock.bind((self.local, 0))
            sock.settimeout(self.host.bounds.connect)
            sock.connect(self.connect_to)
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self.host.inbox.put(
                (self.host.on_lost, self, f"cannot connect: {error.strerror or error}")
            )
            return False
        self.host.inbox.put((self.host.on_connected, self))
        return True

    def _read(self) -> None:
        bounds, stream = self.host.bounds, Stream(messages.MAX_EXTENDED_SIZE)
        while chunk := self.sock.recv(bounds.read):
            if self.closing.is_set():
                return self._read_out()
            batch: list[tuple[int, bytes]] = []
            try:
                for message in stream.feed(chunk):
                    batch.append(message)
                    if len(batch) == bounds.batch:
                        self._hand_over(batch)
                        batch = []
            finally:  # what was whole before a broken one counts
                if batch:
                    self._hand_over(batch)
        return None

    def _hand_over(self, batch: list[tuple[int, bytes]]) -> None:
        self.ahead.get()
        self.host.inbox.put((self.host.on_messages, self, batch))

    def _read_out(self) -> None:
        """What still comes is read and dropped, so that the system does not answer it with a reset that takes
        our last words with it; for as long as those may take."""
        until = time.monotonic() + self.host.bounds.last_words
        try:
            self.sock.settimeout(self.host.bounds.last_words)
            while self.sock.recv(self.host.bounds.read) and time.monotonic() < until:
                pass
        except OSError:
            pass

    def close(self) -> None:
        """After what was sent; the reader ends it. A peer that reads nothing any more loses it."""
        self.closing.set()
        self.ahead.put(None)
        sock = self.sock
        if sock is None:
            return
        try:
            if self.outbox is None or not self.outbox.is_flushed:
                shut_down_socket(sock, reset=self.outbox is not None)
            else:
                sock.shutdown(socket.SHUT_WR)
                sock.settimeout(self.host.bounds.last_words)
        except OSError:
            pass


class Speaker:
    """`on_listener`: told, in the speaker's thread, once the withdrawals of a drain have been sent, how long
    from then the listener must stay open, in tenths of a ms."""

    def __init__(
        self,
        orders: BgpConfig,
        seed: int,
        on_withdrawal_sent: Callable[[int], None] = lambda wait: None,
        bounds: Bounds = Bounds(),
        clock: Callable[[], int] = time.monotonic_ns,
        on_level_change: Callable[[Level], None] | None = None,
    ) -> None:
        self.orders, self.bounds, self.on_withdrawal_sent, self.clock = (
            orders,
            bounds,
            on_withdrawal_sent,
            clock,
        )
        self.inbox: SimpleQueue[tuple] = SimpleQueue()
        self.links: dict[int, Link] = {}
        self.going: dict[Link, None] = {}  # closed by us, their readers not yet at an end
        self.unsent: dict[Link, None] = {}
        self.listener_told = False
        self.on_level_change, self.level = (
            on_level_change,
            Level.NONE,
        )  # told in the speaker's thread when it changes
        self.ended = threading.Event()
        self.state = SpeakerState(orders, seed, self.now())
        self.listener = (
            listen(orders.listen, self.bounds.backlog) if orders.listen is not None else None
        )
        self.thread = threading.Thread(target=self._run, name="bgp", daemon=True)
        self.failed = False

    def now(self) -> int:
        return self.clock() // 100_000

    # For other threads

    def start(self) -> None:
        self.thread.start()
        if self.listener is not None:
            threading.Thread(target=self._accept, name="bgp-listener", daemon=True).start()

    def set_node_status(self, state: NodeStatus) -> None:
        self.inbox.put((self._set_node_status, state))

    def set_level_cap(self, cap: Level) -> None:
        """How much wanted its own services may be."""
        self.inbox.put((self._set_level_cap, cap))

    def set_failover_services(self, services: tuple[Service, ...]) -> None:
        """Other sites' services, from now on; none ends it."""
        self.inbox.put((self._set_failover_services, services))

    def restore_penalty(self, penalty: float, suppressed: bool, announced: bool, age: int) -> None:
        """What an earlier life of this node put down, so long ago."""
        self.inbox.put((self._restore_penalty, penalty, suppressed, announced, age))

    def set_withdrawal_allowed(self, may_go: bool) -> None:
        """What the view of the fleet says of a withdrawal for sickness."""
        self.inbox.put((self._set_withdrawal_allowed, may_go))

    def leave(self, listener_in: int | None) -> None:
        """A drain; the listener closes at the latest `listener_in` tenths of a ms from now."""
        self.inbox.put((self._leave, listener_in))

    def reload(self, orders: BgpConfig) -> None:
        self.inbox.put((self._reload, orders))

    def end(self, patience: float = 2.0) -> None:
        """Withdraws all, ends every session and the thread."""
        self.inbox.put((self._end,))
        if threading.current_thread() is not self.thread:
            self.thread.join(patience)

    def query(self, question: Callable[[SpeakerState], object], patience: float = 2.0) -> object:
        """The answer to a question that the speaker's thread puts to its state. Raises TimeoutError."""
        answers: SimpleQueue[object] = SimpleQueue()
        self.inbox.put((lambda: answers.put(question(self.state)),))
        try:
            return answers.get(timeout=patience)
        except Empty:
            raise TimeoutError("the speaker does not answer") from None

    # The speaker's thread

    def _run(self) -> None:
        try:
            self.state.start(self.now())
            self._carry_out()
            while not self.state.ended:
                self._one_pass()
            self._last_words()
        except Exception:
            self.failed = True
            log.exception("event=bgp_failed")
            for link in list(self.links.values()):
                shut_down_socket(link.sock)
        finally:
            self.ended.set()
            if self.listener is not None:
                shut_down_socket(self.listener)

    def _one_pass(self) -> None:
        due = self.state.due()
        wait = SECOND if due is None else min(SECOND, max(0, due - self.now()))
        try:
            handler, *arguments = self.inbox.get(timeout=wait / SECOND)
            handler(*arguments)
            for _ in range(self.bounds.a_pass):  # then the timers, whatever still waits
                if self.state.ended:
                    break
                handler, *arguments = self.inbox.get_nowait()
                handler(*arguments)
        except Empty:
            pass
        self.state.tick(self.now())
        self._carry_out()
        for link in list(self.unsent):
            if link.outbox.is_flushed:
                del self.unsent[link]
                self.state.flushed(link.peer, link.number, self.now())

    def _carry_out(self) -> None:
        while actions := self.state.taken():
            for action in actions:
                self._do(action)
        for link in list(self.unsent):
            link.outbox.flush()
        level = self.state.decision.level
        if self.on_level_change is not None and level is not self.level:
            self.on_level_change(level)
        self.level = level
        listener_at = self.state.listener_at
        if listener_at is not None and not self.listener_told and self.state.decision.level == 0:
            self.listener_told = True
            self.on_withdrawal_sent(max(0, listener_at - self.now()))

    def _do(self, action: Action) -> None:
        if action.do is Do.LOG:
            log.info(action.about)
        elif action.do is Do.CONNECT:
            peer = self.state.peers.get(action.about)
            link = Link(
                self,
                action.link,
                action.about,
                None,
                action.about,
                peer.peer.local_address if peer is not None else None,
            )
            self._begin(link)
        elif (link := self.links.get(action.link)) is None:
            return
        elif action.do is Do.CLOSE:
            del self.links[action.link]
            if link.outbox is not None:
                link.outbox.flush()
            self.unsent.pop(link, None)
            self.going[link] = None
            link.close()
        elif link.outbox is not None:
            self.unsent[link] = None
            if not link.outbox.append(action.about):
                self._cut_off(link)

    def _cut_off(self, link: Link) -> None:
        """At once and for all that is still queued of it: what a peer asks that does not read is not done."""
        del self.links[link.number]
        self.unsent.pop(link, None)
        self.going[link] = None
        shut_down_socket(link.sock, reset=True)
        link.ahead.put(None)
        self.state.lost(link.peer, link.number, self.now(), "stopped reading")

    def _begin(self, link: Link) -> None:
        self.links[link.number] = link
        try:
            link.start()
        except RuntimeError as error:
            log.warning({"event": "no_thread", "detail": str(error)})
            self.inbox.put((self.on_lost, link, "no thread"))

    def _last_words(self) -> None:
        """Until every peer has closed or the time for it is over."""
        until = time.monotonic() + self.bounds.last_words
        while (self.links or self.going) and (left := until - time.monotonic()) > 0:
            try:
                handler, *arguments = self.inbox.get(timeout=left)
            except Empty:
                break
            if handler in (self.on_lost, self.on_connected):
                handler(*arguments)
        for link in [*self.links.values(), *self.going]:
            if link.sock is not None:
                shut_down_socket(link.sock)

    def _set_node_status(self, state: NodeStatus) -> None:
        self.state.set_node_status(state, self.now())

    def _set_level_cap(self, cap: Level) -> None:
        self.state.set_level_cap(cap, self.now())

    def _set_failover_services(self, services: tuple[Service, ...]) -> None:
        self.state.set_failover_services(services, self.now())

    def _restore_penalty(self, *found) -> None:
        self.state.restore_penalty(*found, self.now())

    def _set_withdrawal_allowed(self, may_go: bool) -> None:
        self.state.set_withdrawal_allowed(may_go, self.now())

    def _leave(self, listener_in: int | None) -> None:
        now = self.now()
        self.state.leave(now, None if listener_in is None else now + listener_in)

    def _reload(self, orders: BgpConfig) -> None:
        if orders.listen != self.orders.listen or orders.socket != self.orders.socket:
            log.warning(
                {"event": "bgp_reload", "detail": "listen and socket are for the next start"}
            )
        self.orders = orders
        changed = self.state.reordered(orders, self.now())
        log.info(
            {"event": "bgp_reloaded", "changed": ",".join(changed) or "nothing of its sessions"}
        )

    def _end(self) -> None:
        self.state.end(self.now())
        self._carry_out()

    # Told by the connections' threads

    def on_connected(self, link: Link) -> None:
        link.outbox = SendBuffer(link.sock, self.bounds.outbox, "bgp")
        if self.links.get(link.number) is not link:
            link.close()
            return
        self.state.connected(link.peer, link.number, self.now())

    def on_messages(self, link: Link, batch: list[tuple[int, bytes]]) -> None:
        link.ahead.put(None)
        for kind, body in batch:
            if self.links.get(link.number) is not link:
                return
            self.state.message(link.peer, link.number, kind, body, self.now())
            if len(self.state.actions) > self.bounds.batch:
                self._carry_out()
            elif any(action.do is Do.CLOSE for action in self.state.actions):
                self._carry_out()

    def on_broken(self, link: Link, error: BgpError) -> None:
        if self.links.get(link.number) is link:
            self.state.broken(link.peer, link.number, error, self.now())

    def on_lost(self, link: Link, why: str) -> None:
        self.going.pop(link, None)
        self.unsent.pop(link, None)
        if link.outbox is not None:
            link.outbox.close()
        elif link.sock is not None:
            link.sock.close()
        if self.links.get(link.number) is link:
            del self.links[link.number]
            self.state.lost(link.peer, link.number, self.now(), why)

    def _accepted(self, sock: socket.socket, host: str) -> None:
        taken = self.state.accepted(host, self.now())
        if taken is None:
            self._turn_away(sock)
            return
        number, address = taken
        link = Link(self, number, address, sock)
        self._begin(link)

    def _turn_away(self, sock: socket.socket) -> None:
        """RFC 4486: connection rejected. Whoever it is, no thread is spent on it."""
        try:
            sock.send(notification_of(Code.CEASE, Cease.REJECTED), socket.MSG_DONTWAIT)
        except OSError:
            pass
        shut_down_socket(sock)
        sock.close()

    def _accept(self) -> None:
        """Its own thread. How many wait for the speaker's thread is bounded by the queue it can fill at
        once."""
        try:
            while not self.ended.is_set():
                try:
                    sock, (host, *_) = self.listener.accept()
                except OSError as error:
                    if not self.ended.is_set():
                        log.warning({"event": "accept_failed", "detail": str(error)})
                        self.ended.wait(0.05)  # out of descriptors: not a busy loop
                    continue
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                taken = threading.Event()
                self.inbox.put((self._take, sock, host, taken))
                taken.wait(self.bounds.connect)
        finally:
            self.listener.close()

    def _take(self, sock: socket.socket, host: str, taken: threading.Event) -> None:
        self._accepted(sock, host)
        taken.set()
