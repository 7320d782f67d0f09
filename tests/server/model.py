"""A model of the app server's peers, around its real event loop and without sockets or threads.

The executor, the proxies and the dependency follow the protocol. Each step of the model is one
event of the real system, so that a test can draw any order of them. Times are in tenths of a
millisecond.
"""

from __future__ import annotations

import copy
from collections import defaultdict
from dataclasses import dataclass, field
from types import SimpleNamespace

from lilacwalk.event_queue import EventQueue
from lilacwalk.overload.model import Outcome
from lilacwalk.protocols.executor_client import ExecutorClient
from lilacwalk.protocols.executor_codec import decode_event, encode_open
from lilacwalk.protocols.lines import LineParser
from lilacwalk.protocols.send_buffer import SendBuffer
from lilacwalk.requests.records import FinalStatus, IncomingRequest
from lilacwalk.server.event_loop import EventLoop
from lilacwalk.server.process_config import decode_configuration
from tests.conftest import SETTINGS

START = 17_000_000_000_000
GRACE = 500  # of a drain
ANSWER_SLACK = 500  # time after the deadline within which a response must be sent
LIFETIME = 3_000  # deadline of most requests
IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT = "read", "once", "pay"


def make_config():
    settings = copy.deepcopy(SETTINGS)
    classes = settings["classes"]
    classes[:] = [
        classes[0] | {"aim_ms": 400.0},
        classes[2] | {"aim_ms": 400.0},
        classes[0] | {"name": NON_IDEMPOTENT, "effect": "unsafe", "aim_ms": 400.0},
    ]
    info = settings["family_info"]
    info |= {"calls_by_class": [True] * 3, "class_skip_worth": [0.5, 0.0, 0.0], "cpus": 2}
    settings["rules"] = settings["rules"] | {"drain_grace_ms": GRACE / 10, "tip_multiple": 2.0}
    return {"settings": settings, "limits": {"sockets": 512}, "seed": "1f", "stop_ms": 3000.0}


class ModelClock:
    offset = 0

    def __init__(self):
        self.time = START

    def now(self):
        return self.time


class ModelSocket:
    """The server's end of the link; the executor reads `unread`."""

    def __init__(self):
        self.unread = b""
        self.is_broken = False

    def send(self, data, _flags=0):
        if self.is_broken:
            raise ConnectionResetError
        self.unread += bytes(data)
        return len(data)

    def shutdown(self, _how):
        self.is_broken = True

    def setsockopt(self, *_arguments):
        pass

    def close(self):
        self.is_broken = True


@dataclass
class Attempt:
    """A request as its proxy knows it."""

    incoming: IncomingRequest
    tag: int
    deadline: int
    responses: list = field(default_factory=list)
    is_withdrawn: bool = False
    executions: int = 0
    is_known_to_be_over: bool = False  # to the executor

    @property
    def is_over(self):
        return bool(self.responses) or self.is_withdrawn


@dataclass
class Execution:
    attempt: Attempt
    calls: int = 0
    waits_for_call: int = 0  # the number of the event that requested the call; 0: running
    reply: bytes | None = None  # the dependency's reply to that call


class ModelFrontend:
    """Records the responses to the requests of one client."""

    name, source_site, max_in_flight = "model", "", 10_000

    def __init__(self):
        self.in_flight = 0
        self.attempts = {}
        self.client = SimpleNamespace(open_requests={}, peer="model", frontend=self)

    def send_response(self, _client, tag, response):
        self.attempts[tag].responses.append(response)

    def reject_malformed(self, _client, tag, reason):
        assert not reason, tag

    def tick(self, now, was_stalled):
        pass

    def start_draining(self, now):
        pass

    def stop_accepting(self):
        pass

    def close_idle_connections(self, now, is_final):
        pass

    def is_drained(self):
        return False

    def is_flushed(self):
        return True


class ModelDependencyClient:
    """Collects calls until the test draws their outcome."""

    def __init__(self):
        self.calls = []
        self.executed = set()  # messages of calls that may have been executed

    def start_call(self, call):
        assert (
            not call.at_most_once or self.identify(call) not in self.executed
        ), "a call that may have been executed is made again"
        self.executed.add(self.identify(call))
        self.calls.append(call)

    @staticmethod
    def identify(call):
        """The id of the request and the number of its call."""
        return call.request_id, call.message.split(b"\r\n")[1]

    def abandon(self, call):
        call.is_abandoned = True
        return False

    def call_finished(self, connection, now):
        pass

    def close_idle(self, idle_since):
        pass


class ModelExecutor:
    """Executes requests; replays its events on each new link.

    Like the real one, it forgets an execution that has ended, executes no request that is over, and
    takes a call's result for the call for which the execution waits.
    """

    def __init__(self, model):
        self.model = model
        self.events = []  # encoded, in the order of their numbers from 1
        self.executions = {}
        self.sock = None  # the link, if there is one
        self.is_opened = False  # nothing is sent on a link before its first message has been read
        self.undelivered = b""
        self.command_parser = None

    def connect(self, sock):
        self.sock = sock
        self.command_parser = LineParser(lambda words: words[0] in ("SCHED", "IODONE"), 512, 65_536)

    def disconnect(self):
        self.sock.is_broken = True
        self.sock = None
        self.is_opened = False
        self.undelivered = b""

    def read(self, size):
        """Reads that many bytes of commands."""
        data, self.sock.unread = self.sock.unread[:size], self.sock.unread[size:]
        for words, body in self.command_parser.feed(data):
            self._command(words, None if body is None else bytes(body))

    def _command(self, words, body):
        match words:
            case ["OPEN", number]:
                self.is_opened = True
                self.undelivered += b"BOOTED steady 9000\r\n" + b"".join(self.events[int(number) :])
            case ["SYSINFO", tag]:
                running = sum(not each.waits_for_call for each in self.executions.values())
                self.undelivered += b"INFO %b 0.5 %d\r\n" % (tag.encode(), running)
            case ["SCHED", request_id, _, _]:
                self._dispatched(request_id)
            case ["PREEMPT", request_id]:
                if request_id in self.executions:
                    self.end(request_id, "interrupted")
            case ["NOIO", request_id, number]:
                execution = self.executions.get(request_id)
                if execution is not None and execution.waits_for_call == int(number):
                    execution.waits_for_call = 0
            case ["IODONE", request_id, _]:
                self._call_ended(request_id, body)

    def _dispatched(self, request_id):
        attempt = self.model.by_id[request_id]
        if request_id in self.executions:
            return
        if attempt.is_known_to_be_over:
            self._event(f"REAP %d {request_id} nothing 0 0", b"")
            return
        self.model.execution_started(attempt)
        self.executions[request_id] = Execution(attempt)

    def _call_ended(self, request_id, body):
        execution = self.executions.get(request_id)
        if execution is None or not execution.waits_for_call:
            return
        assert body == execution.reply, "a result reached another call"
        execution.waits_for_call = 0

    def request_call(self, request_id):
        execution = self.executions[request_id]
        execution.calls += 1
        execution.reply = None
        execution.waits_for_call = len(self.events) + 1
        body = b"%d" % execution.calls
        self._event(f"IOREQ %d {request_id} {len(body)}", body)

    def end(self, request_id, word="success"):
        del self.executions[request_id]
        self._event(f"REAP %d {request_id} {word} 1 2", b"ok")

    def remark(self, size):
        """Adds an event without a meaning, whose line has this size and a little more."""
        self._add(b"DMESG %d " % (len(self.events) + 1) + b"x" * size + b"\r\n")

    def _event(self, line, body):
        self._add((line % (len(self.events) + 1)).encode() + b"\r\n" + body + b"\r\n")

    def _add(self, encoded):
        self.events.append(encoded)
        if self.is_opened:
            self.undelivered += encoded


class Model:
    """The event loop with its modelled peers, and the rules that hold after each step."""

    def __init__(self):
        server, limits = decode_configuration(make_config())
        self.limits = limits
        self.clock, self.queue = ModelClock(), EventQueue()
        self.client = ExecutorClient(("", 0), limits, self.queue, ["core_use", "on_cores"])
        self.dependency = ModelDependencyClient()
        listener = SimpleNamespace(events=None, is_draining=False, drain_backlog=lambda: True)
        self.event_loop = EventLoop(
            server,
            limits,
            self.clock,
            self.queue,
            listener=listener,
            executor_client=self.client,
            dependency_client=self.dependency,
            registry=SimpleNamespace(report=lambda _is_healthy: None),
        )
        self.frontend = ModelFrontend()
        self.event_loop.frontends.append(self.frontend)
        self.event_loop.schedule(START, self.event_loop.run_housekeeping, START)
        self.by_id = {}
        self.executions_by_key = defaultdict(int)
        self.grace_ends_at = None
        self.executor = ModelExecutor(self)
        self.connect()
        self.run_until_quiet()

    # Peers

    @property
    def open_attempts(self):
        return [each for each in self.by_id.values() if not each.is_over]

    def submit(self, class_name, key, lifetime):
        """Has a request read together with all others until the next iteration."""
        number = len(self.by_id) + 1
        incoming = IncomingRequest(
            id=f"{number:016x}",
            class_name=class_name,
            tenant_name="acme",
            client=1,
            arrived_at=self.clock.time,
            timeout=lifetime,
            work_hint=0,
            memory_kb=1.0,
            is_retry=False,
            subject="",
            idempotency_key=key,
            body=b"body",
        )
        attempt = Attempt(incoming, number, self.clock.time + lifetime)
        self.by_id[incoming.id] = self.frontend.attempts[number] = attempt
        self.queue.post(self._submit, attempt)

    def _submit(self, attempt):
        problem = self.event_loop.requests.submit(
            self.frontend.client, attempt.tag, attempt.incoming
        )
        assert not problem

    def withdraw(self, attempt):
        attempt.is_withdrawn = True
        self.queue.post(self._withdraw, attempt)

    def _withdraw(self, attempt):
        entry = self.frontend.client.open_requests.get(attempt.tag)
        if entry is not None:
            self.event_loop.requests.client_gone(entry)

    def connect(self):
        """Opens a link on which the executor has not read anything yet."""
        sock = ModelSocket()
        self.executor.connect(sock)
        self.parser = self.client.create_parser()
        self.send_buffer = SendBuffer(sock, self.limits.executor_send_buffer_bytes, "executor")
        open_message = encode_open(self.client.last_event_number)
        self.queue.post(self.client.on_connected, self.send_buffer, open_message)

    def break_link(self):
        """Resets the link: what either side has not read is lost."""
        self.executor.disconnect()
        self.queue.post(self.client.on_disconnected, self.send_buffer)

    def deliver(self, size):
        """Delivers that many bytes of the executor's events and responses."""
        executor = self.executor
        data, executor.undelivered = executor.undelivered[:size], executor.undelivered[size:]
        chunk_size = self.limits.link_read_bytes
        decoded = [
            decode_event(words, body, self.client.gauge_names)
            for position in range(0, len(data), chunk_size)
            for words, body in self.parser.feed(data[position : position + chunk_size])
        ]
        if events := self.client._drop_repeated(decoded):
            self.queue.post(self.client.on_events, self.send_buffer, events)

    def end_call(self, call, outcome):
        self.dependency.calls.remove(call)
        execution = self.executor.executions.get(call.request_id)
        _, number = self.dependency.identify(call)
        body = number if outcome is Outcome.OK else b""
        if outcome is Outcome.OK and execution is not None and execution.calls == int(number):
            execution.reply = body
        if outcome.proves_not_executed:
            self.dependency.executed.discard(self.dependency.identify(call))
        self.queue.post(self.dependency_finished, call, outcome, body)

    def dependency_finished(self, call, outcome, body):
        self.dependency.on_call_finished(None, call, outcome, body)

    def drain(self):
        """Notifies the server; the grace begins when it learns of it, as a stall is no fault."""
        self.queue.post(self._drain)

    def _drain(self):
        if self.grace_ends_at is None:
            self.grace_ends_at = self.event_loop.now + GRACE
        self.event_loop.drain.start()

    def responses_arrive(self):
        """Lets the executor know which requests are over."""
        for attempt in self.by_id.values():
            attempt.is_known_to_be_over = attempt.is_over

    # Time

    def iterate(self):
        """Runs iterations of the event loop until it would wait."""
        while not self.queue.empty() or self.event_loop._timers[0].due <= self.clock.time:
            self.event_loop.run_iteration()
        self.check()

    def stall(self, duration):
        """Lets time pass in which the server does nothing."""
        self.clock.time += duration

    def advance(self, duration):
        end = self.clock.time + duration
        while self.event_loop._timers[0].due <= end and not self.event_loop.has_ended:
            self.clock.time = max(self.clock.time, self.event_loop._timers[0].due)
            self.iterate()
        self.clock.time = end
        self.iterate()
        self.responses_arrive()

    def exchange(self):
        """Has the executor read all commands, and the server all events, once."""
        if self.executor.sock is not None:
            self.executor.read(len(self.executor.sock.unread))
            self.deliver(len(self.executor.undelivered))
        self.iterate()

    def run_until_quiet(self):
        for _ in range(4):
            self.exchange()

    # Rules

    def execution_started(self, attempt):
        attempt.executions += 1
        incoming = attempt.incoming
        assert (
            self.grace_ends_at is None or incoming.arrived_at <= self.grace_ends_at
        ), "a request that arrived after the grace is executed"
        if incoming.class_name == IDEMPOTENT:
            return
        assert attempt.executions == 1, "a request is executed twice"
        if incoming.class_name == DEDUPLICATED:
            self.executions_by_key[incoming.idempotency_key] += 1
            assert (
                self.executions_by_key[incoming.idempotency_key] == 1
            ), "two requests with one key are executed"

    def check(self):
        requests = self.event_loop.requests
        assert len(requests.in_flight) <= self.limits.max_in_flight
        assert len(requests.in_flight.by_request) == len(requests.in_flight)
        assert len(requests.result_cache.entries) <= self.limits.max_cache_entries
        for attempt in self.by_id.values():
            assert len(attempt.responses) <= 1, "a request has two final responses"
            is_idempotent = attempt.incoming.class_name == IDEMPOTENT
            for response in attempt.responses:
                assert (
                    response.status is not FinalStatus.REJECTED
                    or is_idempotent
                    or not attempt.executions
                ), "a request that was executed is rejected"

    def check_deadlines(self):
        """Each request has its response in time, if the server was not stalled."""
        for attempt in self.open_attempts:
            assert self.clock.time <= attempt.deadline + ANSWER_SLACK, "a request has no response"

    def finish(self):
        """Ends everything that still runs; nothing may be left in flight after that."""
        if self.executor.sock is None:
            self.connect()
        for _ in range(20):
            self.run_until_quiet()
            for call in list(self.dependency.calls):
                self.end_call(call, Outcome.OK)
            for request_id, execution in list(self.executor.executions.items()):
                if not execution.waits_for_call or execution.attempt.is_over:
                    self.executor.end(request_id)
            self.run_until_quiet()
            self.advance(LIFETIME // 4)
        self.check_deadlines()
        assert not self.open_attempts
        summary = self.event_loop.drain.in_flight_summary()
        assert summary.startswith("in_flight=0 open=0 running=0 calls=0"), self.describe_in_flight()

    def describe_in_flight(self):
        """Lists the requests in flight with their states here and at the executor."""
        return [
            (
                entry.id,
                entry.class_name,
                entry.request.state.name,
                [command.data for command in entry.pending_commands],
                self.executor.executions.get(entry.id),
            )
            for entry in self.event_loop.requests.in_flight.by_id.values()
        ]
