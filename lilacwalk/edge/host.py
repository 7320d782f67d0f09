"""The edge's host: one thread that polls the sockets of all devices and owns the `DeviceService`.

A thread per connection costs more memory and CPU time; `docs/design/edge.md` has the measurements.
"""

from __future__ import annotations

import logging
import os
import selectors
import socket
import ssl
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from queue import Empty, SimpleQueue

from lilacwalk.edge.coap.service import CoapService, Request
from lilacwalk.edge.config import EdgeConfig
from lilacwalk.edge.credentials import common_name, create_tls_context, read_secrets
from lilacwalk.edge.device_service import Action, ActionType, DeviceRequestClass, DeviceService
from lilacwalk.edge.frames import FrameError, Stream
from lilacwalk.edge.session import Session
from lilacwalk.edge.tokens import Tokens
from lilacwalk.log import ReportThrottle
from lilacwalk.protocols.listener import listen
from lilacwalk.protocols.send_buffer import shut_down_socket

log = logging.getLogger(__name__)
SECOND = 10_000
FRAME_OVERHEAD_BYTES = 512  # maximum size of a frame's fields besides the body
MAX_FRAME_BYTES = 65_536  # largest frame that a client accepts; results have at most 4 KiB
READ_BYTES = 16_384
MAX_DATAGRAMS_PER_ITERATION = 256  # processing them takes about 10 ms
# Limits the time for which a flood of new connections delays the existing ones.
MAX_ACCEPTS_PER_ITERATION = 64
BACKLOG = 1_024


@dataclass(eq=False, slots=True)
class DeviceSocket:
    """The socket of one connection, with its unsent data."""

    number: int
    sock: socket.socket
    address: bytes  # packed IP address of the device
    stream: Stream
    is_handshaking: bool  # whether the TLS handshake is in progress
    queue: deque  # data to send
    is_closing: bool = False  # whether the socket is closed after the queued data
    events: int = 0  # events for which the selector waits


class EdgeHost:
    """Runs the edge's thread, and passes requests to the callbacks."""

    def __init__(
        self,
        config: EdgeConfig,
        request_classes: dict[str, DeviceRequestClass],
        node: str,
        seed: int,
        clock: Callable[[], int],
        on_request: Callable,
        on_client_gone: Callable,
        persist_sessions: Callable | None = None,
        on_recovered_request: Callable | None = None,
    ) -> None:
        """Opens the listening sockets; connections are served after `start`.

        Args:
            config: The operator's configuration.
            request_classes: The request classes by name.
            node: Name of this server.
            seed: Seed of random choices; replaced by a random one if `persist_sessions` is given.
            clock: Clock of the edge's thread: Unix time in tenths of a millisecond that never
                decreases.
            on_request: Called in the edge's thread with each request.
            on_client_gone: Called in the edge's thread if no client waits for the answer to a
                request any more.
            persist_sessions: Persists encoded sessions by identifier, called in the edge's
                thread, or None if sessions end with the process.
            on_recovered_request: Called with each request that was in flight when the previous
                process ended.

        Raises:
            EdgeError: The certificates or secrets cannot be used.
            OSError: Listening on the address failed.
        """
        self.persist_sessions, self.on_recovered_request = persist_sessions, on_recovered_request
        if persist_sessions is not None:  # session identifiers must not repeat after a restart
            seed = int.from_bytes(os.urandom(8), "big")
        self.config, self.request_classes, self.node, self.clock = (
            config,
            request_classes,
            node.encode(),
            clock,
        )
        self.on_request, self.on_client_gone = on_request, on_client_gone
        self.tls_context = create_tls_context(config.tls) if config.tls is not None else None
        tokens = Tokens(read_secrets(config.secrets), self._session_token_scope(seed))
        self.service = DeviceService(config, request_classes, tokens, seed, clock())
        self.service.persists_sessions = persist_sessions is not None
        self.inbox: SimpleQueue[tuple] = SimpleQueue()
        self.device_sockets: dict[int, DeviceSocket] = {}
        self.last_connection_number = 0
        self.invalid_frame_throttle = ReportThrottle()
        self.lost_connection_throttle = ReportThrottle()
        self.defect_throttle = ReportThrottle()
        self.has_stopped = threading.Event()
        self.is_ending = False
        # Whether `stop_accepting` was called and no connection or CoAP request is left; read by the
        # event loop's thread.
        self.is_idle = False
        self.listener = listen(config.listen, BACKLOG)
        self.coap = self.datagram_socket = None
        if config.coap is not None:
            try:
                self.datagram_socket = self._bind(config.coap)
            except OSError:
                self.listener.close()
                raise
            self.coap = CoapService(config, request_classes, tokens, seed, clock())
        self.wakeup_receiver, self.wakeup_sender = socket.socketpair()
        for sock in (self.wakeup_receiver, self.wakeup_sender, self.listener):
            sock.setblocking(False)
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ, self._accept)
        self.selector.register(self.wakeup_receiver, selectors.EVENT_READ, self._drain_wakeups)
        if self.datagram_socket is not None:
            self.selector.register(
                self.datagram_socket, selectors.EVENT_READ, self._receive_datagrams
            )
        self.thread = threading.Thread(target=self._run, name="edge", daemon=True)

    def _session_token_scope(self, seed: int) -> bytes:
        """Returns the scope of session tokens.

        Unless sessions outlive the process, it differs at each start, so that tokens of the
        previous process are rejected at once.
        """
        if self.persist_sessions is not None:
            return self.node
        return self.node + seed.to_bytes(16, "big")

    @staticmethod
    def _bind(address: tuple[str, int]) -> socket.socket:
        """Returns a non-blocking UDP socket bound to the address."""
        sock = socket.socket(
            socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM
        )
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        return sock

    @property
    def address(self) -> tuple[str, int]:
        """Address of the listener."""
        return self.listener.getsockname()[:2]

    # For other threads

    def start(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def post(self, handler: Callable, *arguments: object) -> None:
        """Queues a call for the edge's thread."""
        self.inbox.put((handler, *arguments))
        try:
            self.wakeup_sender.send(b"w")
        except (BlockingIOError, OSError):
            pass  # the thread is awake already, or has ended

    def send_answer(
        self, session: Session, number: int, word: int, body: bytes, come_back: int
    ) -> None:
        """Queues the answer to a request.

        `come_back` is the delay in tenths of a ms after which a denied request may be retried.
        """
        self.post(self._send_answer, session, number, word, body, come_back)

    def _send_answer(
        self, session: Session | Request, number: int, word: int, body: bytes, come_back: int
    ) -> None:
        if isinstance(session, Request):
            self.coap.send_answer(session, word, body, come_back, self.clock())
            return
        self.service.send_answer(session, number, word, body, come_back, self.clock())

    def recover_sessions(self, rows: dict[bytes, bytes]) -> None:
        """Restores the stored sessions; must be called before `start`."""
        self.service.recover_sessions(rows, self.clock())

    def end(self, timeout: float = 2.0) -> None:
        """Stops the thread, and waits for its end for at most `timeout` seconds."""
        self.post(self._set_ending)
        if threading.current_thread() is not self.thread and self.thread.is_alive():
            self.thread.join(timeout)

    def _set_ending(self) -> None:
        self.is_ending = True

    def reload(self, config: EdgeConfig) -> None:
        """Applies a reloaded configuration; sessions remain.

        New certificates apply to new connections; new secrets sign and verify tokens from now on.

        Raises:
            EdgeError: The new configuration is invalid; the old one remains in effect.
        """
        tls_context = create_tls_context(config.tls) if config.tls is not None else None
        secrets = read_secrets(config.secrets)
        self.post(self._apply_reload, config, tls_context, secrets)

    def _apply_reload(
        self, config: EdgeConfig, tls_context: ssl.SSLContext | None, secrets: list[bytes]
    ) -> None:
        self.tls_context = tls_context
        self.service.tokens.secrets = secrets  # the object is shared with the CoAP service
        self.service.config = self.config = config
        if self.coap is not None:
            self.coap.config = config

    def start_draining(self, come_back: int) -> None:
        """Announces the drain to devices; must be posted to the edge's thread.

        `come_back` is the time after which devices should reconnect, in tenths of a millisecond.
        """
        self.service.start_draining(come_back)
        if self.coap is not None:
            self.coap.start_draining(come_back)

    def stop_accepting(self) -> None:
        """Closes idle connections, and rejects new connections and CoAP requests.

        Must be posted to the edge's thread.
        """
        self.service.stop_accepting()
        if self.coap is not None:
            self.coap.is_closing = True

    def _is_idle(self) -> bool:
        """Whether no request is accepted and none is left to answer."""
        return (
            self.service.is_closing
            and self.service.is_idle
            and (self.coap is None or self.coap.is_idle)
        )

    # In the edge's thread

    def _run(self) -> None:
        try:
            while not self.is_ending:
                self._run_iteration()
        except Exception:
            log.exception("event=edge_failed")
        finally:
            self.has_stopped.set()
            for device_socket in list(self.device_sockets.values()):
                shut_down_socket(device_socket.sock)
                device_socket.sock.close()
            for sock in (
                self.listener,
                self.wakeup_receiver,
                self.wakeup_sender,
                self.datagram_socket,
            ):
                if sock is not None:
                    sock.close()
            self.selector.close()

    def _run_iteration(self) -> None:
        """Waits for socket events, queued calls or timers, and handles them."""
        due = self.service.due() if self.coap is None else min(self.service.due(), self.coap.due())
        wait = max(0, due - self.clock()) / SECOND
        for key, events in self.selector.select(min(wait, 1.0)):
            if isinstance(key.data, DeviceSocket):
                self._on_socket_ready(key.data, events)
            else:
                key.data()
        try:
            while True:
                handler, *arguments = self.inbox.get_nowait()
                handler(*arguments)
        except Empty:
            pass
        self.service.tick(self.clock())
        if self.coap is not None:
            self.coap.tick(self.clock())
        if self.service.is_closing:
            self.service.close_idle()
        self._perform_actions()
        self.is_idle = self._is_idle()

    def _drain_wakeups(self) -> None:
        try:
            self.wakeup_receiver.recv(4_096)
        except BlockingIOError:
            pass

    def _receive_datagrams(self) -> None:
        """Passes waiting datagrams to the CoAP service."""
        for _ in range(MAX_DATAGRAMS_PER_ITERATION):
            try:
                data, address = self.datagram_socket.recvfrom(READ_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # an ICMP error for a datagram sent earlier
            try:
                self.coap.datagram_received(address, data, self.clock())
            except Exception:  # a defect that one datagram reveals must not end the edge
                if count := self.defect_throttle.count_and_check():
                    log.exception({"event": "edge_input_failed", "count": count})

    def _accept(self) -> None:
        """Accepts waiting connections."""
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                sock, (host, *_) = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.warning({"event": "accept_failed", "detail": str(error)})
                return
            try:
                sock = self._prepare_socket(sock)
            except OSError as error:  # the device has already closed or reset the connection
                sock.close()
                if count := self.lost_connection_throttle.count_and_check():
                    detail = str(error)
                    log.warning({"event": "edge_connection_lost", "count": count, "detail": detail})
                continue
            self._open_connection(sock, host)

    def _prepare_socket(self, sock: socket.socket) -> socket.socket:
        """Sets the options of an accepted socket; with TLS, returns it wrapped, before a handshake.

        Raises:
            OSError: The connection has ended, or bytes came that TLS does not allow there.
        """
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.tls_context is None:
            return sock
        return self.tls_context.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)

    def _open_connection(self, sock: socket.socket, host: str) -> None:
        """Adds an accepted connection, or closes it if the service does not accept it."""
        self.last_connection_number += 1
        packed = socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
        stream = Stream(self.config.body + FRAME_OVERHEAD_BYTES)
        is_handshaking = self.tls_context is not None
        device_socket = DeviceSocket(
            self.last_connection_number, sock, packed, stream, is_handshaking, deque()
        )
        if not self.service.connection_opened(device_socket.number, packed, b"", self.clock()):
            shut_down_socket(sock)
            sock.close()
            return
        self.device_sockets[device_socket.number] = device_socket
        device_socket.events = selectors.EVENT_READ
        self.selector.register(sock, device_socket.events, device_socket)

    def _on_socket_ready(self, device_socket: DeviceSocket, events: int) -> None:
        """Continues the TLS handshake, or writes and reads; closes the socket on an error."""
        if device_socket.number not in self.device_sockets:
            return
        try:
            if device_socket.is_handshaking and not self._continue_handshake(device_socket):
                return
            if events & selectors.EVENT_WRITE or device_socket.queue:
                self._write(device_socket)
            if events & selectors.EVENT_READ and device_socket.number in self.device_sockets:
                self._read(device_socket)
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError, BlockingIOError):
            pass
        except OSError:
            self._close_socket(device_socket)
        except Exception:  # a defect that one device's input reveals must not end the others
            if count := self.defect_throttle.count_and_check():
                log.exception({"event": "edge_input_failed", "count": count})
            self._close_socket(device_socket)

    def _continue_handshake(self, device_socket: DeviceSocket) -> bool:
        """Continues the TLS handshake, and returns whether it is complete."""
        try:
            device_socket.sock.do_handshake()
        except ssl.SSLWantReadError:
            self._set_events(device_socket, selectors.EVENT_READ)
            return False
        except ssl.SSLWantWriteError:
            self._set_events(device_socket, selectors.EVENT_WRITE)
            return False
        device_socket.is_handshaking = False
        if (connection := self.service.connections.get(device_socket.number)) is not None:
            connection.identity = common_name(device_socket.sock.getpeercert())
        self._set_events(device_socket, selectors.EVENT_READ)
        return True

    def _read(self, device_socket: DeviceSocket) -> None:
        """Reads a chunk and, with TLS, all data that the TLS layer has buffered.

        The selector does not report buffered data.
        """
        while device_socket.number in self.device_sockets:
            chunk = device_socket.sock.recv(READ_BYTES)
            if not chunk:
                self._close_socket(device_socket)
                return
            if not device_socket.is_closing:
                self._process_received(device_socket, chunk)
            if (
                self.tls_context is None
                or not isinstance(device_socket.sock, ssl.SSLSocket)
                or not device_socket.sock.pending()
            ):
                return

    def _process_received(self, device_socket: DeviceSocket, chunk: bytes) -> None:
        """Passes the frames that the chunk completes to the service."""
        now, before = self.clock(), device_socket.stream.frame_count
        try:
            for frame in device_socket.stream.feed(chunk):
                self.service.frame_received(device_socket.number, frame, now)
        except FrameError as error:
            if count := self.invalid_frame_throttle.count_and_check():
                log.warning({"event": "edge_bad_frame", "count": count, "detail": str(error)})
            self.service.reject_invalid_frame(device_socket.number, str(error), now)
        self.service.bytes_received(
            device_socket.number,
            len(chunk),
            device_socket.stream.frame_count - before,
            bool(device_socket.stream.partial_frame),
            now,
        )

    def _write(self, device_socket: DeviceSocket) -> None:
        """Sends queued data, and waits for the socket to be writable if some is left."""
        while device_socket.queue:
            data = device_socket.queue[0]
            try:
                sent_bytes = device_socket.sock.send(data)
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError, BlockingIOError):
                self._set_events(device_socket, selectors.EVENT_READ | selectors.EVENT_WRITE)
                return
            if sent_bytes < len(data):
                device_socket.queue[0] = memoryview(data)[sent_bytes:]
            else:
                device_socket.queue.popleft()
            self.service.bytes_sent(device_socket.number, sent_bytes, self.clock())
        if device_socket.is_closing:
            self._shut_down_after_sending(device_socket)
        else:
            self._set_events(device_socket, selectors.EVENT_READ)

    def _set_events(self, device_socket: DeviceSocket, events: int) -> None:
        """Sets the events for which the selector waits."""
        if device_socket.events != events and device_socket.number in self.device_sockets:
            device_socket.events = events
            self.selector.modify(device_socket.sock, events, device_socket)

    def _shut_down_after_sending(self, device_socket: DeviceSocket) -> None:
        """Shuts down the sending direction and closes the socket, after all data has been sent."""
        try:
            device_socket.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        self._close_socket(device_socket)

    def _close_socket(self, device_socket: DeviceSocket) -> None:
        """Closes the socket at once, and reports the end of the connection to the service."""
        if self.device_sockets.pop(device_socket.number, None) is None:
            return
        self.selector.unregister(device_socket.sock)
        device_socket.sock.close()
        self.service.connection_closed(device_socket.number, self.clock())

    def _perform_actions(self) -> None:
        """Performs the actions of both services until there are none."""
        while actions := self.service.take_actions() + (
            self.coap.take_actions() if self.coap is not None else []
        ):
            pending_writes: dict[DeviceSocket, None] = {}
            for action in actions:
                self._perform_action(action, pending_writes)
            for device_socket in pending_writes:
                if device_socket.number in self.device_sockets and not device_socket.is_handshaking:
                    try:
                        self._write(device_socket)
                    except OSError:
                        self._close_socket(device_socket)

    def _perform_action(self, action: Action, pending_writes: dict[DeviceSocket, None]) -> None:
        """Performs an action; sockets that have to be written are added to `pending_writes`."""
        if action.type is ActionType.PERSIST:
            self.persist_sessions(action.payload)
        elif action.type is ActionType.RECOVER:
            self.on_recovered_request(action.session, action.number, action.payload)
        elif action.type is ActionType.SUBMIT:
            self.on_request(action.session, action.number, action.payload)
        elif action.type is ActionType.CLIENT_GONE:
            self.on_client_gone(action.session, action.number)
        elif action.type is ActionType.LOG:
            log.info(action.payload)
        elif action.type is ActionType.DATAGRAM:
            address, data = action.payload
            try:
                self.datagram_socket.sendto(data, address)
            except OSError:
                pass  # lost like any other datagram; retransmission covers it
        elif (device_socket := self.device_sockets.get(action.connection)) is not None:
            if action.type is ActionType.SEND:
                device_socket.queue.append(action.payload)
            else:
                device_socket.is_closing = True
                if device_socket.is_handshaking:
                    self._close_socket(device_socket)
                    return
            pending_writes[device_socket] = None
