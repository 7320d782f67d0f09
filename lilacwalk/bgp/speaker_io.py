"""I/O of the speaker: sockets, threads and the clock.

One thread owns `SpeakerState` and never blocks on a socket. Each connection has a reader thread on
a blocking socket; it splits the bytes into messages and posts them to the speaker's queue. Data to
send passes through bounded send buffers. Time is monotonic: BGP does not need the date, and a
change of the wall clock must not end sessions.
"""

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
    """Limits of one speaker's sockets and memory."""

    send_buffer: int = 4_000_000  # maximum unsent bytes per peer: two refreshes of 100,000 prefixes
    read_bytes: int = 16_384  # bytes per read: four messages of 4,096 bytes
    batch: int = 64  # maximum number of messages per queue item
    # Queue items with messages per connection; a peer that sends faster delays only itself.
    queued_batches: int = 2
    # Queue items handled between two timer checks: about 1,000 messages or 50 ms.
    items_per_iteration: int = 16
    # Time-out of a connection attempt in seconds; covers one lost SYN. A shorter connect retry time
    # ends the attempt earlier.
    connect: float = 2.0
    close_timeout: float = 1.0  # seconds for the peer to read a notification and close
    backlog: int = 64  # connections that the listener holds until they are accepted
    stack: int = 131_072


class Connection:
    """A connection and its reader thread.

    The constructor, `start` and `close` run in the speaker's thread, the other methods in the
    reader's.
    """

    def __init__(
        self,
        speaker: Speaker,
        number: int,
        peer: tuple[str, int],
        sock: socket.socket | None,
        remote_address: tuple[str, int] | None = None,
        local_address: str | None = None,
    ) -> None:
        """Creates a connection without starting its reader.

        Args:
            speaker: The speaker that owns the connection.
            number: Number by which the speaker's actions identify this connection.
            peer: Configured address of the peer.
            sock: The socket of an accepted connection; None if the reader has to connect.
            remote_address: Address to connect to; None for an accepted connection.
            local_address: Source address of a connection to open, if one is configured.
        """
        self.speaker, self.number, self.peer, self.sock = speaker, number, peer, sock
        self.remote_address, self.local_address = remote_address, local_address
        self.send_buffer = (
            SendBuffer(sock, speaker.bounds.send_buffer, "bgp") if sock is not None else None
        )
        # One item per batch that the reader may post before the speaker has handled earlier ones.
        self.batch_permits: SimpleQueue[None] = SimpleQueue()
        for _ in range(speaker.bounds.queued_batches):
            self.batch_permits.put(None)
        self.closing = threading.Event()

    def start(self) -> None:
        """Starts the reader thread.

        Raises:
            RuntimeError: The thread cannot be started.
        """
        threading.Thread(target=self._run, name="bgp-reader", daemon=True).start()

    def _run(self) -> None:
        """Runs the reader thread: connects if necessary, reads, and posts the end."""
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
            cause = "internal error in the reader thread"
        finally:
            self.speaker.inbox.put((self.speaker.on_lost, self, cause))

    def _connect(self) -> bool:
        """Opens the connection and posts the result; returns whether it succeeded."""
        family = socket.AF_INET6 if ":" in self.remote_address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        self.sock = sock  # set before connecting, so that an abandoned attempt can be closed
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
        """Posts received messages in batches until the connection ends.

        Raises:
            BgpError: A message header is invalid.
            OSError: The connection failed.
        """
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
            finally:  # messages before a malformed one are still delivered
                if batch:
                    self._post_batch(batch)
        return None

    def _post_batch(self, batch: list[tuple[int, bytes]]) -> None:
        """Posts a batch once fewer than `queued_batches` of this connection are unhandled."""
        self.batch_permits.get()
        self.speaker.inbox.put((self.speaker.on_messages, self, batch))

    def _discard_input(self) -> None:
        """Reads and drops further input until the peer closes, for up to twice `close_timeout`.

        If input is unread when the socket is closed, the operating system sends a reset, which
        could discard our last message before the peer reads it.
        """
        until = time.monotonic() + self.speaker.bounds.close_timeout
        try:
            self.sock.settimeout(self.speaker.bounds.close_timeout)
            while self.sock.recv(self.speaker.bounds.read_bytes) and time.monotonic() < until:
                pass
        except OSError:
            pass

    def close(self) -> None:
        """Ends the sending direction; the reader thread then reports the end of the connection.

        If the operating system has not accepted all data, as the peer does not read, the unsent
        data is discarded and the connection is reset. An attempt to connect is aborted.
        """
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
    """The running speaker.

    `on_withdrawal_sent` is called in the speaker's thread once a drain's withdrawals have been
    sent, with the time in tenths of a millisecond for which the listener must stay open from then
    on. `on_level_change` is called in that thread when the announcement level changes. `clock`
    returns nanoseconds.
    """

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
        # Connections closed by us whose reader is still running.
        self.closing_connections: dict[Connection, None] = {}
        # Connections whose sent data the operating system has not been seen to accept in full.
        self.unflushed: dict[Connection, None] = {}
        self.withdrawal_reported = False  # whether `on_withdrawal_sent` has been called
        self.on_level_change, self.level = (
            on_level_change,
            Level.NONE,
        )
        self.ended = threading.Event()
        self.state = SpeakerState(config, seed, self.now())
        self.listener = (
            listen(config.listen, self.bounds.backlog) if config.listen is not None else None
        )
        self.thread = threading.Thread(target=self._run, name="bgp", daemon=True)
        self.failed = False

    def now(self) -> int:
        """Returns the monotonic time in tenths of a millisecond."""
        return self.clock() // 100_000

    # Called by other threads

    def start(self) -> None:
        """Starts the threads."""
        self.thread.start()
        if self.listener is not None:
            threading.Thread(target=self._accept, name="bgp-listener", daemon=True).start()

    def set_node_status(self, status: NodeStatus) -> None:
        """Sets the node's status, on which the announcement level depends."""
        self.inbox.put((self._set_node_status, status))

    def set_level_cap(self, level_cap: Level) -> None:
        """Limits the announcement level of a ready node."""
        self.inbox.put((self._set_level_cap, level_cap))

    def set_failover_services(self, services: tuple[Service, ...]) -> None:
        """Sets the services of other sites to announce; an empty tuple withdraws them."""
        self.inbox.put((self._set_failover_services, services))

    def restore_penalty(self, penalty: float, suppressed: bool, announced: bool, age: int) -> None:
        """Restores the flap penalty that an earlier process had `age` tenths of a millisecond ago.

        `announced` says whether that process ended while its routes were announced.
        """
        self.inbox.put((self._restore_penalty, penalty, suppressed, announced, age))

    def set_withdrawal_allowed(self, withdrawal_allowed: bool) -> None:
        """Sets whether fleet membership allows a withdrawal for bad health."""
        self.inbox.put((self._set_withdrawal_allowed, withdrawal_allowed))

    def leave(self, listener_closes_in: int | None) -> None:
        """Starts a drain; the listener closes in `listener_closes_in` tenths of a millisecond at
        the latest.
        """
        self.inbox.put((self._leave, listener_closes_in))

    def reload(self, config: BgpConfig) -> None:
        """Applies a reloaded configuration."""
        self.inbox.put((self._reload, config))

    def end(self, timeout: float = 2.0) -> None:
        """Withdraws all routes, and ends every session and the speaker's thread.

        Waits for the end of the thread for at most `timeout` seconds.
        """
        self.inbox.put((self._end,))
        if threading.current_thread() is not self.thread:
            self.thread.join(timeout)

    def query(self, question: Callable[[SpeakerState], object], timeout: float = 2.0) -> object:
        """Runs `question` in the speaker's thread and returns its result.

        Raises:
            TimeoutError: The speaker's thread did not answer within `timeout` seconds.
        """
        answers: SimpleQueue[object] = SimpleQueue()
        self.inbox.put((lambda: answers.put(question(self.state)),))
        try:
            return answers.get(timeout=timeout)
        except Empty:
            raise TimeoutError(f"the speaker did not answer within {timeout} s") from None

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
        """Handles queued items, or waits for one until the next timer; then handles timers."""
        due = self.state.next_due()
        wait = SECOND if due is None else min(SECOND, max(0, due - self.now()))
        try:
            handler, *arguments = self.inbox.get(timeout=wait / SECOND)
            handler(*arguments)
            # The number of items is limited, so that a long queue does not delay the timers.
            for _ in range(self.bounds.items_per_iteration):
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
        """Performs all actions of the state.

        Then reports a changed level, and the withdrawal in a drain.
        """
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
        """Resets a connection whose send buffer is full, as the peer does not read."""
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
            self.inbox.put((self.on_lost, connection, "cannot start a reader thread"))

    def _await_closes(self) -> None:
        """Waits for the end of every connection, for at most `close_timeout`."""
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

    def _set_node_status(self, status: NodeStatus) -> None:
        self.state.set_node_status(status, self.now())

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
                {
                    "event": "bgp_reload",
                    "detail": "changes of listen and socket take effect at the next start",
                }
            )
        self.config = config
        changed = self.state.reconfigure(config, self.now())
        log.info(
            {"event": "bgp_reloaded", "changed": ",".join(changed) or "no sessions or services"}
        )

    def _end(self) -> None:
        self.state.end(self.now())
        self._perform_actions()

    # Posted by the connections' threads

    def on_connected(self, connection: Connection) -> None:
        """Handles a connection that its reader has opened."""
        connection.send_buffer = SendBuffer(connection.sock, self.bounds.send_buffer, "bgp")
        if self.connections.get(connection.number) is not connection:
            connection.close()
            return
        self.state.connected(connection.peer, connection.number, self.now())

    def on_messages(self, connection: Connection, batch: list[tuple[int, bytes]]) -> None:
        """Handles received messages, given by type and body."""
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
        """Handles an invalid message header."""
        if self.connections.get(connection.number) is connection:
            self.state.decode_failed(connection.peer, connection.number, error, self.now())

    def on_lost(self, connection: Connection, cause: str) -> None:
        """Handles the end of a connection, and closes its socket."""
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
        """Starts a connection accepted from `host`, or rejects it."""
        accepted = self.state.accepted(host, self.now())
        if accepted is None:
            self._reject(sock)
            return
        number, address = accepted
        connection = Connection(self, number, address, sock)
        self._start_connection(connection)

    def _reject(self, sock: socket.socket) -> None:
        """Sends a Cease with subcode Connection Rejected (RFC 4486), and closes the connection.

        No thread is started for it.
        """
        try:
            sock.send(encode_notification(Code.CEASE, Cease.REJECTED), socket.MSG_DONTWAIT)
        except OSError:
            pass
        shut_down_socket(sock)
        sock.close()

    def _accept(self) -> None:
        """Accepts connections, in a thread of its own.

        The next connection is accepted when the speaker's thread has handled the previous one, or
        `Bounds.connect` seconds later, so that connections cannot fill the queue quickly.
        """
        try:
            while not self.ended.is_set():
                try:
                    sock, (host, *_) = self.listener.accept()
                    self._prepare_socket(sock)
                except OSError as error:
                    if not self.ended.is_set():
                        log.warning({"event": "accept_failed", "detail": str(error)})
                        # Avoids a busy loop, for example if no file descriptor is free.
                        self.ended.wait(0.05)
                    continue
                handled = threading.Event()
                self.inbox.put((self._accept_in_speaker_thread, sock, host, handled))
                handled.wait(self.bounds.connect)
        finally:
            self.listener.close()

    @staticmethod
    def _prepare_socket(sock: socket.socket) -> None:
        """Sets the options of an accepted socket.

        Raises:
            OSError: The router has already closed the connection; the socket is closed.
        """
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            sock.close()
            raise

    def _accept_in_speaker_thread(
        self, sock: socket.socket, host: str, handled: threading.Event
    ) -> None:
        self._handle_accepted(sock, host)
        handled.set()
