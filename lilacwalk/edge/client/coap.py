"""A CoAP client of the edge: one request at a time over one socket.

It supports retransmission, address validation by the Echo option, and block-wise transfer in both
directions.
"""

from __future__ import annotations

import random
import socket
import time

from lilacwalk.edge.client.state import Outcome
from lilacwalk.edge.coap import messages
from lilacwalk.edge.coap.blocks import Block
from lilacwalk.edge.coap.messages import Message, MessageError, Option, Type, uint

# RFC 7252 section 4.8; ACK_TIMEOUT is in seconds.
ACK_TIMEOUT, ACK_RANDOM_FACTOR, MAX_RETRANSMIT = 2.0, 1.5, 4
BLOCK_BYTES = 1_024
MAX_BLOCKWISE_ATTEMPTS = 3  # attempts to transfer a body if the server has lost its blocks


class CoapDevice:
    """A device that sends requests over CoAP."""

    def __init__(self, address: tuple[str, int], token: bytes, seed: int = 0) -> None:
        """Opens a socket to the edge."""
        self.address, self.token, self.rng = address, token, random.Random(seed)
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_DGRAM)
        self.sock.connect(address)
        self.message_id = self.rng.getrandbits(16)
        self.echo = b""  # the last echo value received; empty before the first
        self.datagrams_sent = 0  # including retransmissions
        self.answered: dict[int, int] = {}  # acknowledgements of separate responses, by message id

    def end(self) -> None:
        """Closes the socket."""
        self.sock.close()

    def ask(
        self,
        group: str,
        body: bytes = b"",
        wait: int = 2_000,
        confirmable: bool = True,
        no_response: int = 0,
        **query_options: str,
    ) -> Outcome | None:
        """Sends a request and waits for its outcome.

        Args:
            group: Name of the request class.
            body: Body of the request.
            wait: Timeout in milliseconds.
            confirmable: Whether to send confirmable messages.
            no_response: Value of the No-Response option (RFC 7967).
            query_options: Further queries: k (idempotency key), s (subject), c (tenant).

        Returns:
            The outcome, or None if no response is expected.

        Raises:
            TimeoutError: There is no response in time.
            ValueError: The edge rejected the request, or the answer is truncated.
        """
        deadline = time.monotonic() + wait / 1000
        queries = [
            f"w={wait}",
            *(f"{name}={value}" for name, value in query_options.items() if value),
        ]
        base_options = [
            (Option.URI_PATH, b"x"),
            (Option.URI_PATH, group.encode()),
            (Option.DEVICE, self.token),
        ]
        base_options += [(Option.URI_QUERY, each.encode()) for each in queries]
        if no_response:
            base_options.append((Option.NO_RESPONSE, uint(no_response)))
        if len(body) > BLOCK_BYTES:
            base_options.append((Option.REQUEST_TAG, self.rng.randbytes(4)))
        for _ in range(MAX_BLOCKWISE_ATTEMPTS):
            reply = self._send_blockwise(
                base_options, body, confirmable, deadline, bool(no_response)
            )
            if reply is None or reply.code != messages.INCOMPLETE:
                break
        if reply is None:
            return None
        result = reply.payload
        block2 = reply.first(Option.BLOCK2)
        block = Block.decode(block2) if block2 else None
        while block is not None and block.more:
            block = Block(block.number + 1, False, block.size)
            next_reply = self._request_with_echo(
                [*base_options, (Option.BLOCK2, block.encode())], b"", confirmable, deadline, False
            )
            result += next_reply.payload
            raw = next_reply.first(Option.BLOCK2)
            if raw is None:
                raise ValueError(
                    f"answer truncated: requested block {block.number}, got a response "
                    f"{messages.format_code(next_reply.code)} without a Block2 option"
                )
            block = Block.decode(raw)
        return self._outcome(reply, result)

    def _send_blockwise(
        self,
        base_options: list,
        body: bytes,
        confirmable: bool,
        deadline: float,
        no_response_expected: bool,
    ) -> Message | None:
        """Sends a body in one message or in blocks.

        Returns the response to the last block, or the first response that ends the transfer early.
        """
        if len(body) <= BLOCK_BYTES:
            return self._request_with_echo(
                base_options, body, confirmable, deadline, no_response_expected
            )
        reply = None
        for at in range(0, len(body), BLOCK_BYTES):
            last = at + BLOCK_BYTES >= len(body)
            block = Block(at // BLOCK_BYTES, not last, BLOCK_BYTES)
            options = [*base_options, (Option.BLOCK1, block.encode())]
            reply = self._request_with_echo(
                options,
                body[at : at + BLOCK_BYTES],
                confirmable,
                deadline,
                no_response_expected and last,
            )
            if reply is None or reply.code != messages.CONTINUE:
                return reply
        return reply

    @staticmethod
    def _outcome(reply: Message, body: bytes) -> Outcome:
        """Returns the outcome that a response reports; `body` is the whole payload.

        Raises:
            ValueError: The edge rejected the request.
        """
        come_back = reply.number(Option.MAX_AGE, 0) * 1000
        if reply.code in (messages.CHANGED, messages.CONTENT):
            return Outcome(0, body, 0)
        if reply.code in (messages.TOO_MANY, messages.UNAVAILABLE):
            return Outcome(1, b"", come_back)
        if reply.code >> 5 == 5:
            return Outcome(2, b"", 0)
        raise ValueError(
            f"the edge rejected the request: {messages.format_code(reply.code)} "
            f"{body.decode('utf-8', 'replace')}"
        )

    def _request_with_echo(
        self,
        options: list,
        payload: bytes,
        confirmable: bool,
        deadline: float,
        no_response_expected: bool,
    ) -> Message | None:
        """Sends one request message and returns the response, or None if none is expected.

        If the edge requires an echo value, the request is sent again with that value.
        """
        for _ in range(2):
            echo = [(Option.ECHO, self.echo)] if self.echo else []
            reply = self._transmit(
                [*options, *echo],
                payload,
                confirmable,
                deadline,
                no_response_expected and bool(self.echo),
            )
            if (
                reply is None
                or reply.code != messages.UNAUTHORIZED
                or reply.first(Option.ECHO) is None
            ):
                return reply
            self.echo = reply.first(Option.ECHO) or b""
        raise ValueError("the edge rejected the echo value that it sent")

    def _transmit(
        self,
        options: list,
        payload: bytes,
        confirmable: bool,
        deadline: float,
        no_response_expected: bool,
    ) -> Message | None:
        """Sends one request message, retransmitting it until it is acknowledged or answered.

        Returns the response, or None if none is expected.

        Raises:
            TimeoutError: There is no response by `deadline` or after the last retransmission.
            ValueError: The edge rejected the message with RST.
        """
        self.message_id = self.message_id + 1 & 0xFFFF
        token = self.rng.randbytes(4)
        kind = Type.CON if confirmable else Type.NON
        data = messages.encode(
            Message(kind, messages.POST, self.message_id, token, tuple(options), payload)
        )
        wait, acknowledged = ACK_TIMEOUT * self.rng.uniform(1.0, ACK_RANDOM_FACTOR), False
        for _ in range(MAX_RETRANSMIT + 1):
            if not acknowledged:
                self.sock.send(data)
                self.datagrams_sent += 1
                if no_response_expected and not confirmable:
                    return None
            retransmit_at = min(deadline, time.monotonic() + wait)
            while (left := retransmit_at - time.monotonic()) > 0:
                message = self._receive(left)
                if message is None:
                    continue
                # Acknowledges every confirmable response, also one to a request that timed out.
                if message.type is Type.CON and message.is_response:
                    self.sock.send(messages.encode(Message(Type.ACK, messages.EMPTY, message.mid)))
                if message.type is Type.RST and message.mid == self.message_id:
                    raise ValueError(f"the edge rejected message {message.mid} with RST")
                if message.is_response and message.token == token:
                    return message
                if message.type is Type.ACK and message.mid == self.message_id:
                    acknowledged = True
                    if no_response_expected:
                        return None
            if time.monotonic() >= deadline:
                break
            wait *= 2
        raise TimeoutError(
            f"no response from the edge to message {self.message_id} by the deadline or after "
            f"{MAX_RETRANSMIT} retransmissions"
        )

    def _receive(self, left: float) -> Message | None:
        """Returns the next message, or None if none or an invalid one arrives in `left` seconds."""
        self.sock.settimeout(left)
        try:
            return messages.decode(self.sock.recv(65_536))
        except (TimeoutError, MessageError, ConnectionRefusedError):
            return None
