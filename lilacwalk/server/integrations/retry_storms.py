"""Connects the event loop to the damper of retry storms.

Loaded only if the operator's file has a storms block. Everything except the admin socket runs in
the event loop's thread.
"""

from __future__ import annotations

import logging
import random
from hashlib import blake2b

from lilacwalk.event_queue import EventQueue
from lilacwalk.overload.controller import Controller
from lilacwalk.overload.model import Request
from lilacwalk.protocols.admin_socket import AdminSocket
from lilacwalk.requests.records import IncomingRequest, InFlightRequest
from lilacwalk.retry_storms.config import RetryStormConfig
from lilacwalk.retry_storms.damper import Attempt, Rejection, RetryStormDamper
from lilacwalk.server.integrations.status_query import answer_show

log = logging.getLogger(__name__)
# Combined with the seed by XOR, so that the damper gets a random sequence of its own, and the
# controller's random draws are the same with and without a storms block.
SEED_MASK = 0x5703
FINGERPRINT_BYTES = 8  # collisions are rare: about ten thousand fingerprints are held at once


def fingerprint(class_name: str, tenant_name: str, body: bytes | memoryview) -> bytes:
    """Returns a hash that is equal for requests with the same class, tenant and body."""
    digest = blake2b(body, digest_size=FINGERPRINT_BYTES)
    digest.update(f"{class_name}\0{tenant_name}".encode())
    return digest.digest()


class RetryStormIntegration:
    """Reports events to the damper, which may reject requests ahead of the controller.

    Owns the damper and the admin socket.
    """

    def __init__(
        self,
        config: RetryStormConfig,
        max_retry_after: int,
        seed: int,
        event_queue: EventQueue,
        now: int,
    ) -> None:
        """Creates the damper and the admin socket; times are in tenths of a millisecond.

        Raises:
            OSError: the admin socket cannot be created.
        """
        self.event_queue = event_queue
        self.damper = RetryStormDamper(
            config, max_retry_after, random.Random(seed ^ SEED_MASK), now
        )
        self._now = now
        self.admin_socket: AdminSocket | None = None
        if config.socket is not None:
            self.admin_socket = AdminSocket(config.socket, self._answer, "storms")

    def start(self) -> None:
        """Starts the admin socket."""
        if self.admin_socket is not None:
            self.admin_socket.start()

    def end(self, _timeout: float) -> None:
        """Closes the admin socket."""
        if self.admin_socket is not None:
            self.admin_socket.close()

    def evaluate_request(
        self, incoming: IncomingRequest, deadline: int, is_duplicate: bool, now: int
    ) -> Rejection | None:
        """Returns the rejection of a request, or None if the damper does not reject it."""
        attempt = Attempt(
            fingerprint=fingerprint(incoming.class_name, incoming.tenant_name, incoming.body),
            request_class=incoming.class_name,
            client=incoming.client,
            is_marked_retry=incoming.is_retry,
            time_left=deadline - now,
            is_duplicate=is_duplicate,
        )
        return self.damper.evaluate_request(attempt, now)

    def request_completed(self, entry: InFlightRequest) -> None:
        """Reports a completed request to the damper."""
        tenant = entry.request.tenant
        tenant_name = tenant.name if tenant is not None else ""
        self.damper.request_completed(
            fingerprint(entry.class_name, tenant_name, entry.body), entry.class_name
        )

    def spread_retry_after(self, request: Request, retry_after: int, now: int) -> int:
        """Returns the retry-after time to send in place of `retry_after`, in tenths of a ms."""
        return self.damper.spread_retry_after(request.client, retry_after, now)

    def evaluate(self, controller: Controller, now: int, load_multiplier: float) -> None:
        """Passes the queue delay to the damper and logs changes of its stage.

        `load_multiplier` is the number of all members of the fleet, present and dead, divided by
        the number of present ones, to which the clients of dead members move.
        """
        self._now = now
        # If no request is running, the queue delay is 0. Expected execution times must not be used
        # then, because they may have been learned while the executor was stalled.
        queue_delay = _queue_delay(controller) if controller.running else 0
        self.damper.tick(now, queue_delay, load_multiplier)
        for change in self.damper.changes:
            log.warning(
                {
                    "event": "retry_storm_stage",
                    "stage": change.stage.value,
                    "reason": change.reason,
                }
            )
        self.damper.changes.clear()

    # Operator queries, called in the admin socket's thread

    def _answer(self, query: str) -> object:
        return answer_show(query, self.event_queue, lambda: self.damper.status(self._now))


def _queue_delay(controller: Controller) -> int:
    """Returns the expected response time of a request that arrives now, in tenths of a ms."""
    queued_work = sum(request.expected_work for request in controller.queue)
    queue_time = queued_work / max(1.0, controller.concurrency_limit)
    return int(controller.mean_unread_delay + queue_time + controller.mean_execution_time)
