"""The CoAP service, without I/O: handles datagrams, and collects actions for the host.

Request: POST /x/GROUP?w=MS&k=KEY&s=SUBJECT&c=CUSTOMER, with the body as payload and the device's
token as option 65001. GROUP is the name of the request class, MS the time in milliseconds that the
device waits for the answer, KEY the idempotency key, SUBJECT the subject and CUSTOMER the tenant of
the request; the query parameters are optional. Responses:

2.04  completed, the result as payload
4.29  denied (may be retried), with Max-Age as retry delay (RFC 8516)
5.03  denied while draining, with Max-Age
5.00  terminated (failed, or may have been executed)
4.xx  invalid request

An answer that is available within `PIGGYBACK_DELAY` is sent with the acknowledgement, a later one
as a separate response (RFC 7252 section 5.2.2). A retransmission gets the same reply. A request
with another message id is a duplicate, and gets the earlier request's answer, if its device,
request class, tenant, subject, key and body equal those of a request received within
`repeat_window` that is in flight or whose answer has not been acknowledged. A denied request has no
duplicates, nor has a terminated one that is idempotent. A source that has not returned its echo
value gets only that value, in a reply no larger than its request, and leaves no state.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from lilacwalk.edge.coap import messages
from lilacwalk.edge.coap.address_validation import AddressValidator
from lilacwalk.edge.coap.blocks import Block, BlockAssembler, BlockError, select_block
from lilacwalk.edge.coap.messages import Message, MessageError, Option, Type, uint
from lilacwalk.edge.coap.reliability import Reliability
from lilacwalk.edge.config import EdgeConfig
from lilacwalk.edge.device_service import (
    DUPLICATE_ENTRIES_PER_SESSION,
    Action,
    ActionType,
    DeviceRequest,
    DeviceRequestClass,
)
from lilacwalk.edge.duplicate_detector import COMPLETED, DENIED, TERMINATED, DuplicateDetector
from lilacwalk.edge.frames import Ask
from lilacwalk.edge.timer_wheel import Wheel
from lilacwalk.edge.tokens import DEVICE, TokenError, Tokens
from lilacwalk.overload.model import Effect

SECOND = 10_000
# A tenth of ACK_TIMEOUT, so that no device retransmits its request before the reply is sent.
PIGGYBACK_DELAY = SECOND // 5
BLOCK_BYTES = 1_024
# Echo values live long because a stalled link may delay them. Validations expire because a device's
# address changes with its network.
ECHO_LIFETIME, VALIDATION_LIFETIME = 60 * SECOND, 600 * SECOND
BLOCK_TIMEOUT = 30 * SECOND  # a partial body without a new block for this time is dropped
MAX_PARTIAL_BODIES = 256  # bodies being assembled at once
# Separate responses that wait for one endpoint after the times for which their requests wait.
MAX_EXPIRED_PER_ENDPOINT = 8
REQUEST_OVERHEAD_BYTES = 400  # memory of a request besides its answer
CODES = {COMPLETED: messages.CHANGED, DENIED: messages.TOO_MANY, TERMINATED: messages.INTERNAL}


@dataclass(eq=False, slots=True)
class Request:
    """A request; the event loop uses it in place of a session."""

    address: tuple
    message: Message
    device: bytes
    effect: Effect
    body_key: tuple  # identifies the request when further blocks of its answer are requested
    deadline: int  # time until which the device waits for the answer
    is_acknowledged: bool = False  # whether an empty acknowledgement was sent
    is_finished: bool = False  # whether the answer, `word` and `body`, is set
    word: int = 0
    body: bytes = b""
    # Duplicates, which get the same answer.
    followers: list[Request] = field(default_factory=list)

    @property
    def size(self) -> int:
        """Memory of the request and its answer in bytes."""
        return len(self.body) + REQUEST_OVERHEAD_BYTES


class CoapService:
    """Handles CoAP datagrams, and collects actions for the host to perform."""

    def __init__(
        self,
        config: EdgeConfig,
        request_classes: dict[str, DeviceRequestClass],
        tokens: Tokens,
        seed: int,
        now: int,
    ) -> None:
        """Creates a service without requests."""
        self.config, self.request_classes, self.tokens = config, request_classes, tokens
        self.rng = random.Random(seed ^ 0xC0A9)
        self.reliability = Reliability(
            config.sessions, 4 * config.sessions, MAX_EXPIRED_PER_ENDPOINT, self.rng
        )
        self.address_validator = AddressValidator(
            self.rng.randbytes(32), ECHO_LIFETIME, VALIDATION_LIFETIME, config.sessions
        )
        self.block_assembler = BlockAssembler(
            MAX_PARTIAL_BODIES, MAX_PARTIAL_BODIES * config.body, config.body, BLOCK_TIMEOUT
        )
        self.duplicate_detector = DuplicateDetector(
            DUPLICATE_ENTRIES_PER_SESSION * config.sessions,
            config.repeat_window,
            self.rng.getrandbits(64),
        )
        self.open: dict[Request, None] = {}
        self.follower_count = 0  # duplicates of open requests
        # Answered requests that have to be delivered by separate responses, until the response is
        # acknowledged or given up, or the device no longer waits for it.
        self.undelivered = Wheel(now)
        # Timers of requests without an answer; an empty acknowledgement is sent on expiry.
        self.ack_timers = Wheel(now)
        # Answered requests and their size, oldest first, by whether their effect is idempotent.
        self.kept_answers: dict[bool, OrderedDict[Request, int]] = {
            True: OrderedDict(),
            False: OrderedDict(),
        }
        self.by_body_key: dict[tuple, Request] = {}  # answered requests
        self.kept_bytes = 0
        self.actions: list[Action] = []
        # While draining: time after which devices should retry elsewhere.
        self.drain_retry_delay: int | None = None
        self.is_closing = False
        self.next_check_at = now + SECOND
        self.counts = dict.fromkeys(
            ("asked", "answered", "joined", "unproven", "bad", "duplicates", "lost"), 0
        )

    def take_actions(self) -> list[Action]:
        """Returns the collected actions."""
        actions, self.actions = self.actions, []
        return actions

    def _send_datagram(self, address: tuple, data: bytes) -> None:
        self.actions.append(Action(ActionType.DATAGRAM, number=0, payload=(address, data)))

    # Datagrams

    def datagram_received(self, address: tuple, data: bytes, now: int) -> None:
        """Handles a datagram received from `address`."""
        try:
            message = messages.decode(data)
        except MessageError as error:
            self.counts["bad"] += 1
            if error.mid is not None:
                self._send_datagram(
                    address, messages.encode(Message(Type.RST, messages.EMPTY, error.mid))
                )
            return
        if message.type in (Type.ACK, Type.RST):
            self._process_acknowledgement(address, message, now)
        elif message.is_request:
            self._process_request(address, message, len(data), now)
        elif message.type is Type.CON:  # a CoAP ping, or a response to an unknown request
            self._send_datagram(
                address, messages.encode(Message(Type.RST, messages.EMPTY, message.mid))
            )

    def _process_acknowledgement(self, address: tuple, message: Message, now: int) -> None:
        """Handles an ACK or RST for a separate response."""
        request, data = self.reliability.acknowledge(address, message.mid, now)
        if isinstance(request, Request):
            self.undelivered.cancel(request)
            if message.type is Type.ACK:
                # The device has the answer, so an equal request from now on is a new one.
                self.duplicate_detector.remove(request, 1)
                self._drop_answer(request)
        if data is not None:
            self._send_datagram(address, data)

    def _process_request(self, address: tuple, message: Message, size: int, now: int) -> None:
        """Validates the source and answers a duplicate or invalid request; passes on the others."""
        if not self.address_validator.validate(address, message.first(Option.ECHO), now):
            self.counts["unproven"] += 1
            reply = self._reply(
                message,
                messages.UNAUTHORIZED,
                ((Option.ECHO, self.address_validator.make_echo(address, now)),),
                mid=self.rng.getrandbits(16),
            )
            if len(reply) <= size:  # no amplification of spoofed requests
                self._send_datagram(address, reply)
            return
        is_duplicate, reply = self.reliability.check_duplicate(
            address, message.mid, message.type is Type.CON, now
        )
        if is_duplicate:
            self.counts["duplicates"] += 1
            if reply is not None:
                self._send_datagram(address, reply)
            return
        if (unknown := messages.unknown_critical(message)) is not None:
            self._answer_without_execution(
                address, message, messages.BAD_OPTION, now, payload=b"option %d" % unknown
            )
            return
        path = [value.decode("utf-8", "replace") for value in message.all(Option.URI_PATH)]
        if len(path) != 2 or path[0] != "x" or path[1] not in self.request_classes:
            self._answer_without_execution(address, message, messages.NOT_FOUND, now)
        elif message.code != messages.POST:
            self._answer_without_execution(address, message, messages.NOT_ALLOWED, now)
        elif self.is_closing:
            self._answer_without_execution(
                address,
                message,
                messages.UNAVAILABLE,
                now,
                self._max_age(self.drain_retry_delay or SECOND),
            )
        else:
            self._process_post(address, message, path[1], now)

    def _process_post(self, address: tuple, message: Message, class_name: str, now: int) -> None:
        """Submits a POST request of a request class, or answers it if it is not to be executed."""
        try:
            device = self.tokens.check(
                DEVICE, message.first(Option.DEVICE) or b"", now // SECOND
            ).name
            fields = self._parse_query(message)
        except TokenError as error:
            self._answer_without_execution(
                address, message, messages.UNAUTHORIZED, now, payload=f"token {error}".encode()
            )
            return
        except ValueError as error:
            self._answer_without_execution(
                address, message, messages.BAD_REQUEST, now, payload=str(error).encode()
            )
            return
        tag = message.first(Option.REQUEST_TAG) or b""
        body_key = (address, class_name, tuple(message.all(Option.URI_QUERY)), tag)
        block2, requested_block = message.first(Option.BLOCK2), None
        if block2 is not None:
            requested_block = Block.decode(block2)
            if requested_block is None:
                self._answer_without_execution(address, message, messages.BAD_REQUEST, now)
                return
            if requested_block.number:
                self._send_block(address, message, body_key, requested_block, now)
                return
        body = self._assemble_body(address, message, body_key, now)
        if body is None:
            return
        self._submit(
            address, message, Ask(1, class_name, body, got=0, **fields), device, body_key, now
        )

    def _parse_query(self, message: Message) -> dict:
        """Returns the fields of `Ask` that the Uri-Query options set.

        Raises:
            ValueError: A query is unknown or invalid.
        """
        names = {"w": "wait", "k": "key", "s": "subject", "c": "customer"}
        fields: dict = {}
        for raw in message.all(Option.URI_QUERY):
            name, sep, value = raw.decode("utf-8", "replace").partition("=")
            if not sep or name not in names:
                raise ValueError(f"query {name}")
            fields[names[name]] = value
        wait = fields.pop("wait", "0")
        if not (wait.isascii() and wait.isdigit()) or len(wait) > 8:
            raise ValueError("query w")
        return fields | {"wait": int(wait)}

    def _assemble_body(
        self, address: tuple, message: Message, body_key: tuple, now: int
    ) -> bytes | None:
        """Returns the whole body of a request.

        Returns None if the message has been answered, as further blocks are to follow or the body
        cannot be used.
        """
        raw = message.first(Option.BLOCK1)
        if raw is None:
            if len(message.payload) > self.config.body:
                size = ((Option.SIZE1, uint(self.config.body)),)
                self._answer_without_execution(address, message, messages.TOO_LARGE, now, size)
                return None
            return message.payload
        block = Block.decode(raw)
        if block is None:
            self._answer_without_execution(address, message, messages.BAD_REQUEST, now)
            return None
        try:
            whole = self.block_assembler.add(body_key, block, message.payload, now)
        except BlockError as error:
            code = messages.INCOMPLETE if error.incomplete else messages.TOO_LARGE
            self._answer_without_execution(address, message, code, now)
            return None
        if whole is None:
            self._answer_without_execution(
                address, message, messages.CONTINUE, now, ((Option.BLOCK1, block.encode()),)
            )
        return whole

    # Requests

    def _submit(
        self, address: tuple, message: Message, ask: Ask, device: bytes, body_key: tuple, now: int
    ) -> None:
        """Submits a request to the event loop, or answers it without execution."""
        request_class = self.request_classes[ask.group]
        wait = min(ask.wait * 10 or request_class.timeout, request_class.timeout)
        request = Request(address, message, device, request_class.effect, body_key, now + wait)
        self.counts["asked"] += 1
        fingerprint = (
            self.duplicate_detector.fingerprint(device, False, ask) if self.config.repeats else 0
        )
        earlier = (
            self.duplicate_detector.find(fingerprint, request, request_class.effect, now)
            if fingerprint
            else None
        )
        if earlier is not None:
            assert isinstance(earlier.session, Request)
            self._join(request, earlier.session, now)
            return
        if self.is_full:
            self._complete(request, DENIED, b"", SECOND, now)
            return
        if fingerprint:
            self.duplicate_detector.add(fingerprint, request, 1, request_class.effect, now)
        self.open[request] = None
        self.ack_timers.schedule(request, now + PIGGYBACK_DELAY)
        if self.config.estimates:
            wait -= int(self.reliability.endpoint(address, now).timeout.strong.round_trip / 2)
        self.actions.append(
            Action(
                ActionType.SUBMIT,
                session=request,
                number=1,
                payload=DeviceRequest(  # type: ignore[arg-type]
                    ask, ask.customer or self.config.customer, wait, now, False
                ),
            )
        )

    def _join(self, request: Request, first: Request, now: int) -> None:
        """Answers a duplicate like the first request, now or once that request is answered.

        If there is no room for a further request, the duplicate is answered as terminated and not
        as denied, since the first request may be executing.
        """
        self.counts["joined"] += 1
        if first.is_finished:
            self._complete(request, first.word, first.body, 0, now)
        elif self.is_full:
            self._complete(request, TERMINATED, b"", 0, now)
        else:
            first.followers.append(request)
            self.follower_count += 1
            self.ack_timers.schedule(request, now + PIGGYBACK_DELAY)

    @property
    def is_full(self) -> bool:
        """Whether no further request may be accepted.

        A request counts until its answer has been delivered, so that no answer has to be dropped
        for lack of room.
        """
        accepted_count = len(self.open) + self.follower_count + len(self.undelivered)
        return accepted_count >= self.config.in_hand

    def send_answer(
        self, request: Request, word: int, body: bytes, come_back: int, now: int
    ) -> None:
        """Completes a request and its duplicates with the event loop's response.

        `come_back` is the delay in tenths of a ms after which a denied request may be retried.
        """
        if request not in self.open:
            return
        del self.open[request]
        self.duplicate_detector.set_outcome(request, 1, word)
        followers, request.followers = request.followers, []
        self.follower_count -= len(followers)
        for each in [request, *followers]:
            self._complete(each, word, body, come_back, now)

    def _complete(self, request: Request, word: int, body: bytes, come_back: int, now: int) -> None:
        """Stores the answer to a request, and sends its first or requested block."""
        self.ack_timers.cancel(request)
        self.counts["answered"] += 1
        request.is_finished, request.word, request.body = True, word, body
        self._keep_answer(request)
        code, options = CODES[word], ()
        if word == DENIED:
            options = self._max_age(come_back or SECOND)
            if self.drain_retry_delay is not None:
                code = messages.UNAVAILABLE
        requested_block = request.message.first(Option.BLOCK2)
        block, payload = select_block(
            body, Block.decode(requested_block) if requested_block else None, BLOCK_BYTES
        ) or (None, b"")
        if block is not None:
            options += ((Option.BLOCK2, block.encode()), (Option.SIZE2, uint(len(body))))
        self._respond(request, code, options, payload, now)

    @staticmethod
    def _max_age(time: int) -> tuple:
        """Returns a Max-Age option of at least 1 s; `time` is in tenths of a ms and rounded up."""
        return ((Option.MAX_AGE, uint(max(1, -(-time // SECOND)))),)

    def _respond(
        self, request: Request, code: int, options: tuple, payload: bytes, now: int
    ) -> None:
        """Sends a response, piggybacked if the request has not been acknowledged, else separate."""
        message, address = request.message, request.address
        unwanted_classes = message.number(Option.NO_RESPONSE, 0)
        if unwanted_classes >> ((code >> 5) - 1) & 1:  # No-Response (RFC 7967) excludes this class
            if message.type is Type.CON and not request.is_acknowledged:
                self._acknowledge(request)
            return
        if message.type is Type.CON and not request.is_acknowledged:
            data = messages.encode(
                Message(Type.ACK, code, message.mid, message.token, options, payload)
            )
            self.reliability.record_reply(address, message.mid, data)
            self._send_datagram(address, data)
            return
        mid = self.reliability.next_message_id(address, now)
        kind = message.type
        data = messages.encode(Message(kind, code, mid, message.token, options, payload))
        if kind is Type.NON:
            self.reliability.record_reply(address, message.mid, data)
            self._send_datagram(address, data)
        else:
            self._send_confirmable(request, mid, data, now)

    def _send_confirmable(self, request: Request, mid: int, data: bytes, now: int) -> None:
        """Sends a separate response, or queues it behind another one to the same device."""
        if request.deadline > now:
            self.undelivered.schedule(request, request.deadline)
        next_data = self.reliability.send(
            request.address, mid, data, request, now, request.deadline
        )
        if next_data is not None:
            self._send_datagram(request.address, next_data)

    def _acknowledge(self, request: Request) -> None:
        """Sends an empty acknowledgement."""
        request.is_acknowledged = True
        data = messages.encode(Message(Type.ACK, messages.EMPTY, request.message.mid))
        self.reliability.record_reply(request.address, request.message.mid, data)
        self._send_datagram(request.address, data)

    def _send_block(
        self, address: tuple, message: Message, body_key: tuple, requested_block: Block, now: int
    ) -> None:
        """Answers a request for a later block of a stored answer."""
        request = self.by_body_key.get(body_key)
        selected = (
            select_block(request.body, requested_block, BLOCK_BYTES)
            if request is not None
            else None
        )
        if selected is None:
            self._answer_without_execution(address, message, messages.INCOMPLETE, now)
            return
        block, payload = selected
        assert block is not None
        self._answer_without_execution(
            address, message, messages.CHANGED, now, ((Option.BLOCK2, block.encode()),), payload
        )

    def _answer_without_execution(
        self,
        address: tuple,
        message: Message,
        code: int,
        now: int,
        options: tuple = (),
        payload: bytes = b"",
    ) -> None:
        """Answers a request message that is not submitted to the event loop."""
        data = self._reply(
            message, code, options, payload, self.reliability.next_message_id(address, now)
        )
        self.reliability.record_reply(address, message.mid, data)
        self._send_datagram(address, data)

    @staticmethod
    def _reply(
        message: Message, code: int, options: tuple, payload: bytes = b"", mid: int = 0
    ) -> bytes:
        """Encodes a piggybacked response, or a non-confirmable one to a non-confirmable message."""
        is_confirmable = message.type is Type.CON
        return messages.encode(
            Message(
                Type.ACK if is_confirmable else Type.NON,
                code,
                message.mid if is_confirmable else mid,
                message.token,
                options,
                payload,
            )
        )

    # Stored answers

    def _keep_answer(self, request: Request) -> None:
        """Stores an answer for duplicates and requests for further blocks.

        Beyond the limit, answers to idempotent requests are dropped first, since these requests can
        be executed again.
        """
        self.kept_answers[request.effect is Effect.IDEMPOTENT][request] = request.size
        self.by_body_key[request.body_key] = request
        self.kept_bytes += request.size
        while self.kept_bytes > self.config.kept:
            candidates = self.kept_answers[True] or self.kept_answers[False]
            self._drop_answer(next(iter(candidates)))

    def _drop_answer(self, request: Request) -> None:
        """Drops the stored answer to a request, if there is one, and its fingerprint."""
        size = self.kept_answers[request.effect is Effect.IDEMPOTENT].pop(request, None)
        if size is None:
            return
        self.kept_bytes -= size
        self.duplicate_detector.remove(request, 1)
        if self.by_body_key.get(request.body_key) is request:
            del self.by_body_key[request.body_key]

    # Timers

    def due(self) -> int:
        """Returns the time at which `tick` must be called next."""
        times = [self.next_check_at]
        for each in (self.ack_timers.due(), self.undelivered.due(), self.reliability.due()):
            if each is not None:
                times.append(each)
        return min(times)

    def tick(self, now: int) -> None:
        """Sends due acknowledgements and retransmissions, and drops expired state."""
        for request in self.ack_timers.expire(now):
            assert isinstance(request, Request)
            if request.message.type is Type.CON:
                self._acknowledge(request)
        for request in self.undelivered.expire(now):
            assert isinstance(request, Request)
            self.reliability.drop_expired(request.address, now)
        for address, data, lost in self.reliability.tick(now):
            if data is not None:
                self._send_datagram(address, data)
            # The answer remains stored, in case the device repeats the request.
            if isinstance(lost, Request):
                self.counts["lost"] += 1
                self.undelivered.cancel(lost)
        if now >= self.next_check_at:
            self.next_check_at = now + SECOND
            self.block_assembler.tick(now)
            self.duplicate_detector.remove_expired(now)

    def start_draining(self, come_back: int) -> None:
        """Makes denied requests get 5.03 instead of 4.29 from now on.

        `come_back` is the time after which devices should retry, in tenths of a millisecond.
        """
        self.drain_retry_delay = come_back

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight and no response awaits an acknowledgement."""
        return not self.open and not any(
            each.in_flight is not None for each in self.reliability.endpoints.values()
        )
