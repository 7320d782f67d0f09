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
from lilacwalk.bgp.peer import Action, ActionKind, encode_notification
from lilacwalk.bgp.speaker_state import SpeakerState
from lilacwalk.protocols.listener import listen
from lilacwalk.protocols.send_buffer import SendBuffer, shut_down_socket

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Bounds:
    """Of one speaker's sockets and memory."""

    send_buffer: int = (
        4_000_000  # bytes unsent to one peer: two refreshes of a hundred thousand prefixes
    )
    read_bytes: int = 16_384  # taken from a socket at once: four plain messages of the largest size
    batch: int = 64  # messages handed over at once; a peer that floods waits for itself
    queued_batches: int = 2
    items_per_iteration: int = (
        16  # queue items taken between two looks at the timers: a thousand messages, some 50 ms
    )
    connect: float = 2.0  # seconds: more than one lost SYN; a shorter retry timer gives up sooner
    close_timeout: float = 1.0  # seconds a peer may take to read a notification and close
    backlog: int = 64
    stack: int = 131_072


class Connection:
    """One connection and the thread that reads it. The speaker's thread owns all but the reader's loop."""

    def __init__(
        self,
        speaker: Speaker,
        number: int,
        peer: tuple[str, int],
        sock: socket.socket | None,
        remote_address: tuple[str, int] | None = None,
        local_address: str | None = None,
    ) -> None:
        self.speaker, self.number, self.peer, self.sock = speaker, number, peer, sock
        self.remote_address, self.local_address = remote_address, local_address
        self.send_buffer = (
            SendBuffer(sock, speaker.bounds.send_buffer, "bgp") if sock is not None else None
        )
        self.batch_permits: SimpleQueue[None] = SimpleQueue()
        for _ in range(speaker.bounds.queued_batches):
            self.batch_permits.put(None)
        self.closing = threading.Event()

    def start(self) -> None:
        threading.Thread(target=self._run, name="bgp-reader", daemon=True).start()

    def _run(self) -> None:
        cause = "closed by the peer"
        try:
            if self.remote_address is not None and not self._connect():
                return
            self._read()
        except BgpError as error:
            self.speaker.inbox.put((self.speaker.on_decode_failure, self, error))
            self._discard_input()
        except OSError as error:
            cause = error.strerror or str(error)
        except Exception:
            log.exception("event=thread_failed thread=bgp-reader")
            cause = "a defect in its reader"
        finally:
            self.speaker.inbox.put((self.speaker.on_lost, self, cause))

    def _connect(self) -> bool:
        family = socket.AF_INET6 if ":" in self.remote_address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        self.sock = sock  # before it is open: who gives the try up closes it
        try:
            if self.local_address is not None:
                sock.bind((self.local_address, 0))
            sock.settimeout(self.speaker.bounds.connect)
            sock.connect(self.remote_address)
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self.speaker.inbox.put(
                (self.speaker.on_lost, self, f"cannot connect: {error.strerror or error}")
            )
            return False
        self.speaker.inbox.put((self.speaker.on_connected, self))
        return True

    def _read(self) -> None:
        bounds, stream = self.speaker.bounds, Stream(messages.MAX_EXTENDED_SIZE)
        while chunk := self.sock.recv(bounds.read_bytes):
            if self.closing.is_set():
                return self._discard_input()
            batch: list[tuple[int, bytes]] = []
            try:
                for message in stream.feed(chunk):
                    batch.append(message)
                    if len(batch) == bounds.batch:
                        self._post_batch(batch)
                        batch = []
            finally:  # what was whole before a broken one counts
                if batch:
                    self._post_batch(batch)
        return None

    def _post_batch(self, batch: list[tuple[int, bytes]]) -> None:
        self.batch_permits.get()
        self.speaker.inbox.put((self.speaker.on_messages, self, batch))

    def _discard_input(self) -> None:
        """What still comes is read and dropped, so that the system does not answer it with a reset that takes
        our last words with it; for as long as those may take."""
        until = time.monotonic() + self.speaker.bounds.close_timeout
        try:
            self.sock.settimeout(self.speaker.bounds.close_timeout)
            while self.sock.recv(self.speaker.bounds.read_bytes) and time.monotonic() < until:
                pass
        except OSError:
            pass

    def close(self) -> None:
        """After what was sent; the reader ends it. A peer that reads nothing any more loses it."""
        self.closing.set()
        self.batch_permits.put(None)
        sock = self.sock
        if sock is None:
            return
        try:
            if self.send_buffer is None or not self.send_buffer.is_flushed:
                shut_down_socket(sock, reset=self.send_buffer is not None)
            else:
                sock.shutdown(socket.SHUT_WR)
                sock.settimeout(self.speaker.bounds.close_timeout)
        except OSError:
            pass


class Speaker:
    """`on_listener`: told, in the speaker's thread, once the withdrawals of a drain have been sent, how long
    from then the listener must stay open, in tenths of a ms."""

    def __init__(
        self,
        config: BgpConfig,
        seed: int,
        on_withdrawal_sent: Callable[[int], None] = lambda wait: None,
        bounds: Bounds = Bounds(),
        clock: Callable[[], int] = time.monotonic_ns,
        on_level_change: Callable[[Level], None] | None = None,
    ) -> None:
        self.config, self.bounds, self.on_withdrawal_sent, self.clock = (
            config,
            bounds,
            on_withdrawal_sent,
            clock,
        )
        self.inbox: SimpleQueue[tuple] = SimpleQueue()
        self.connections: dict[int, Connection] = {}
        self.closing_connections: dict[
            Connection, None
        ] = {}  # closed by us, their readers not yet at an end
        self.unflushed: dict[Connection, None] = {}
        self.withdrawal_reported = False
        self.on_level_change, self.level = (
            on_level_change,
            Level.NONE,
        )  # told in the speaker's thread when it changes
        self.ended = threading.Event()
        self.state = SpeakerState(config, seed, self.now())
        self.listener = (
            listen(config.listen, self.bounds.backlog) if config.listen is not None else None
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

    def set_level_cap(self, level_cap: Level) -> None:
        """How much wanted its own services may be."""
        self.inbox.put((self._set_level_cap, level_cap))

    def set_failover_services(self, services: tuple[Service, ...]) -> None:
        """Other sites' services, from now on; none ends it."""
        self.inbox.put((self._set_failover_services, services))

    def restore_penalty(self, penalty: float, suppressed: bool, announced: bool, age: int) -> None:
        """What an earlier life of this node put down, so long ago."""
        self.inbox.put((self._restore_penalty, penalty, suppressed, announced, age))

    def set_withdrawal_allowed(self, withdrawal_allowed: bool) -> None:
        """What the view of the fleet says of a withdrawal for sickness."""
        self.inbox.put((self._set_withdrawal_allowed, withdrawal_allowed))

    def leave(self, listener_closes_in: int | None) -> None:
        """A drain; the listener closes at the latest `listener_in` tenths of a ms from now."""
        self.inbox.put((self._leave, listener_closes_in))

    def reload(self, config: BgpConfig) -> None:
        self.inbox.put((self._reload, config))

    def end(self, timeout: float = 2.0) -> None:
        """Withdraws all, ends every session and the thread."""
        self.inbox.put((self._end,))
        if threading.current_thread() is not self.thread:
            self.thread.join(timeout)

    def query(self, question: Callable[[SpeakerState], object], timeout: float = 2.0) -> object:
        """The answer to a question that the speaker's thread puts to its state. Raises TimeoutError."""
        answers: SimpleQueue[object] = SimpleQueue()
        self.inbox.put((lambda: answers.put(question(self.state)),))
        try:
            return answers.get(timeout=timeout)
        except Empty:
            raise TimeoutError("the speaker does not answer") from None

    # The speaker's thread

    def _run(self) -> None:
        try:
            self.state.start(self.now())
            self._perform_actions()
            while not self.state.ended:
                self._run_iteration()
            self._await_closes()
        except Exception:
            self.failed = True
            log.exception("event=bgp_failed")
            for connection in list(self.connections.values()):
                shut_down_socket(connection.sock)
        finally:
            self.ended.set()
            if self.listener is not None:
                shut_down_socket(self.listener)

    def _run_iteration(self) -> None:
        due = self.state.next_due()
        wait = SECOND if due is None else min(SECOND, max(0, due - self.now()))
        try:
            handler, *arguments = self.inbox.get(timeout=wait / SECOND)
            handler(*arguments)
            for _ in range(
                self.bounds.items_per_iteration
            ):  # then the timers, whatever still waits
                if self.state.ended:
                    break
                handler, *arguments = self.inbox.get_nowait()
                handler(*arguments)
        except Empty:
            pass
        self.state.tick(self.now())
        self._perform_actions()
        for connection in list(self.unflushed):
            if connection.send_buffer.is_flushed:
                del self.unflushed[connection]
                self.state.flushed(connection.peer, connection.number, self.now())

    def _perform_actions(self) -> None:
        while actions := self.state.take_actions():
            for action in actions:
                self._perform(action)
        for connection in list(self.unflushed):
            connection.send_buffer.flush()
        level = self.state.decision.level
        if self.on_level_change is not None and level is not self.level:
            self.on_level_change(level)
        self.level = level
        listener_may_close_at = self.state.listener_may_close_at
        if (
            listener_may_close_at is not None
            and not self.withdrawal_reported
            and self.state.decision.level == 0
        ):
            self.withdrawal_reported = True
            self.on_withdrawal_sent(max(0, listener_may_close_at - self.now()))

    def _perform(self, action: Action) -> None:
        if action.kind is ActionKind.LOG:
            log.info(action.value)
        elif action.kind is ActionKind.CONNECT:
            peer = self.state.peers.get(action.value)
            connection = Connection(
                self,
                action.link,
                action.value,
                None,
                action.value,
                peer.peer.local_address if peer is not None else None,
            )
            self._start_connection(connection)
        elif (connection := self.connections.get(action.link)) is None:
            return
        elif action.kind is ActionKind.CLOSE:
            del self.connections[action.link]
            if connection.send_buffer is not None:
                connection.send_buffer.flush()
            self.unflushed.pop(connection, None)
            self.closing_connections[connection] = None
            connection.close()
        elif connection.send_buffer is not None:
            self.unflushed[connection] = None
            if not connection.send_buffer.append(action.value):
                self._abort(connection)

    def _abort(self, connection: Connection) -> None:
        """At once and for all that is still queued of it: what a peer asks that does not read is not done."""
        del self.connections[connection.number]
        self.unflushed.pop(connection, None)
        self.closing_connections[connection] = None
        shut_down_socket(connection.sock, reset=True)
        connection.batch_permits.put(None)
        self.state.connection_lost(
            connection.peer, connection.number, self.now(), "stopped reading"
        )

    def _start_connection(self, connection: Connection) -> None:
        self.connections[connection.number] = connection
        try:
            connection.start()
        except RuntimeError as error:
            log.warning({"event": "no_thread", "detail": str(error)})
            self.inbox.put((self.on_lost, connection, "no thread"))

    def _await_closes(self) -> None:
        """Until every peer has closed or the time for it is over."""
        until = time.monotonic() + self.bounds.close_timeout
        while (self.connections or self.closing_connections) and (
            left := until - time.monotonic()
        ) > 0:
            try:
                handler, *arguments = self.inbox.get(timeout=left)
            except Empty:
                break
            if handler in (self.on_lost, self.on_connected):
                handler(*arguments)
        for connection in [*self.connections.values(), *self.closing_connections]:
            if connection.sock is not None:
                shut_down_socket(connection.sock)

    def _set_node_status(self, state: NodeStatus) -> None:
        self.state.set_node_status(state, self.now())

    def _set_level_cap(self, level_cap: Level) -> None:
        self.state.set_level_cap(level_cap, self.now())

    def _set_failover_services(self, services: tuple[Service, ...]) -> None:
        self.state.set_failover_services(services, self.now())

    def _restore_penalty(self, *saved) -> None:
        self.state.restore_penalty(*saved, self.now())

    def _set_withdrawal_allowed(self, withdrawal_allowed: bool) -> None:
        self.state.set_withdrawal_allowed(withdrawal_allowed, self.now())

    def _leave(self, listener_closes_in: int | None) -> None:
        now = self.now()
        self.state.leave(now, None if listener_closes_in is None else now + listener_closes_in)

    def _reload(self, config: BgpConfig) -> None:
        if config.listen != self.config.listen or config.socket != self.config.socket:
            log.warning(
                {"event": "bgp_reload", "detail": "listen and socket are for the next start"}
            )
        self.config = config
        changed = self.state.reconfigure(config, self.now())
        log.info(
            {"event": "bgp_reloaded", "changed": ",".join(changed) or "nothing of its sessions"}
        )

    def _end(self) -> None:
        self.state.end(self.now())
        self._perform_actions()

    # Told by the connections' threads

    def on_connected(self, connection: Connection) -> None:
        connection.send_buffer = SendBuffer(connection.sock, self.bounds.send_buffer, "bgp")
        if self.connections.get(connection.number) is not connection:
            connection.close()
            return
        self.state.connected(connection.peer, connection.number, self.now())

    def on_messages(self, connection: Connection, batch: list[tuple[int, bytes]]) -> None:
        connection.batch_permits.put(None)
        for kind, body in batch:
            if self.connections.get(connection.number) is not connection:
                return
            self.state.message(connection.peer, connection.number, kind, body, self.now())
            if len(self.state.actions) > self.bounds.batch:
                self._perform_actions()
            elif any(action.kind is ActionKind.CLOSE for action in self.state.actions):
                self._perform_actions()

    def on_decode_failure(self, connection: Connection, error: BgpError) -> None:
        if self.connections.get(connection.number) is connection:
            self.state.decode_failed(connection.peer, connection.number, error, self.now())

    def on_lost(self, connection: Connection, cause: str) -> None:
        self.closing_connections.pop(connection, None)
        self.unflushed.pop(connection, None)
        if connection.send_buffer is not None:
            connection.send_buffer.close()
        elif connection.sock is not None:
            connection.sock.close()
        if self.connections.get(connection.number) is connection:
            del self.connections[connection.number]
            self.state.connection_lost(connection.peer, connection.number, self.now(), cause)

    def _handle_accepted(self, sock: socket.socket, host: str) -> None:
        accepted = self.state.accepted(host, self.now())
        if accepted is None:
            self._reject(sock)
            return
        number, address = accepted
        connection = Connection(self, number, address, sock)
        self._start_connection(connection)

    def _reject(self, sock: socket.socket) -> None:
        """RFC 4486: connection rejected. Whoever it is, no thread is spent on it."""
        try:
            sock.send(encode_notification(Code.CEASE, Cease.REJECTED), socket.MSG_DONTWAIT)
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
                handled = threading.Event()
                self.inbox.put((self._accept_in_speaker_thread, sock, host, handled))
                handled.wait(self.bounds.connect)
        finally:
            self.listener.close()

    def _accept_in_speaker_thread(
        self, sock: socket.socket, host: str, handled: threading.Event
    ) -> None:
        self._handle_accepted(sock, host)
        handled.set()
