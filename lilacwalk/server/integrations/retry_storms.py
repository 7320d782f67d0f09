"""Connects the event loop with the damper of retry storms.

Loaded only where the operator's file has a storms block. All of it runs in the event loop but the
admin socket.
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
SEED_MASK = 0x5703  # the controller's random draws stay what they are without this block
FINGERPRINT_BYTES = 8  # some ten thousand are held at once


def fingerprint(class_name: str, tenant_name: str, body: bytes | memoryview) -> bytes:
    """Returns bytes that are equal for requests that look the same."""
    digest = blake2b(body, digest_size=FINGERPRINT_BYTES)
    digest.update(f"{class_name}\0{tenant_name}".encode())
    return digest.digest()


class RetryStormIntegration:
    """Tells the damper what happens, and asks it before a request goes to the controller.

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
        """Raises OSError where the admin socket cannot be created."""
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

    def end(self, _patience: float) -> None:
        """Closes the admin socket."""
        if self.admin_socket is not None:
            self.admin_socket.close()

    def evaluate_request(
        self, incoming: IncomingRequest, deadline: int, is_duplicate: bool, now: int
    ) -> Rejection | None:
        """Returns None where the request goes on to the controller."""
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
        """A request was answered with its result."""
        tenant = entry.request.tenant
        tenant_name = tenant.name if tenant is not None else ""
        self.damper.request_completed(
            fingerprint(entry.class_name, tenant_name, entry.body), entry.class_name
        )

    def spread_retry_after(self, request: Request, retry_after: int, now: int) -> int:
        """Returns what a rejection says in place of `retry_after`, in tenths of a ms."""
        return self.damper.spread_retry_after(request.client, retry_after, now)

    def evaluate(self, controller: Controller, now: int, fleet_load_factor: float) -> None:
        """Tells the damper the queue's delay and reports a change of its stage."""
        self._now = now
        # Idle cores have no queue, whatever executions are expected to take: that may be what a
        # standstill taught.
        queue_delay = _queue_delay(controller) if controller.running else 0
        self.damper.tick(now, queue_delay, fleet_load_factor)
        for change in self.damper.changes:
            log.warning(
                {
                    "event": "retry_storm_stage",
                    "stage": change.stage.value,
                    "reason": change.reason,
                }
            )
        self.damper.changes.clear()

    # The operator's question, answered in a thread of its own

    def _answer(self, question: str) -> object:
        return answer_show(question, self.event_queue, lambda: self.damper.status(self._now))


def _queue_delay(controller: Controller) -> int:
    """Returns tenths of a ms until a request that comes now would be answered."""
    queued_work = sum(request.expected_work for request in controller.queue)
    queue_time = queued_work / max(1.0, controller.concurrency_limit)
    return int(controller.mean_unread_delay + queue_time + controller.mean_execution_time)
