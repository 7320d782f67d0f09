"""Builds an app server from its configuration, runs it and returns its exit code."""

from __future__ import annotations

import logging
import signal
import sys
import threading
from dataclasses import replace

from lilacwalk.event_queue import EventQueue
from lilacwalk.limits import Limits
from lilacwalk.overload.model import ServerSettings
from lilacwalk.protocols.dependency_client import DependencyClient
from lilacwalk.protocols.executor_client import ExecutorClient
from lilacwalk.protocols.proxy_listener import ProxyListener
from lilacwalk.protocols.registry import RegistryReporter
from lilacwalk.server.clock import Clock
from lilacwalk.server.event_loop import EventLoop
from lilacwalk.server.operator_config import OperatorConfigReader
from lilacwalk.server.process_config import (
    Address,
    ConfigurationError,
    ListenError,
    OperatorFileError,
    decode_addresses,
    decode_configuration,
    read_configuration,
)
from lilacwalk.server.reload import reload_configuration
from lilacwalk.settings import EFFECT_NAMES, read_list, read_section

log = logging.getLogger(__name__)

# A small stack suffices: reader and writer threads have shallow call stacks, and Python allocates
# its frames on the heap.
THREAD_STACK_BYTES = 131_072
SWITCH_INTERVAL = 0.001  # seconds; short, because most threads run only briefly at a time
SUBSYSTEM_STOP_TIMEOUT = 0.05  # seconds; short, because after a drain nothing is left to send
EXIT_FAILURE = 1
EXIT_CONFIGURATION_ERROR = 2


def build(
    config: dict, event_queue: EventQueue, **other_limits: int
) -> tuple[EventLoop, list[ProxyListener | ExecutorClient]]:
    """Builds the event loop and the components whose threads the caller starts.

    Args:
        config: The process configuration.
        event_queue: The queue through which other threads pass events to the event loop.
        **other_limits: Values by name that replace those of the `Limits` from the configuration.

    Raises:
        ConfigurationError: A value is invalid, or the listener cannot be opened.
    """
    server, limits = decode_configuration(config)
    limits = replace(limits, **other_limits)
    addresses = decode_addresses(config)
    try:
        listener = ProxyListener(addresses["listen"], limits, event_queue)
    except OSError as error:
        raise ListenError(config["listen"], error.strerror) from error
    info = read_section(config["settings"], "family_info")
    gauge_names = [str(name) for name in read_list(info, "gauges")]
    executor_client = ExecutorClient(addresses["kernel"], limits, event_queue, gauge_names)
    event_loop = EventLoop(
        server,
        limits,
        Clock(),
        event_queue,
        listener=listener,
        executor_client=executor_client,
        dependency_client=DependencyClient(addresses.get("index"), limits, event_queue),
        registry=RegistryReporter(addresses["directory"], str(config.get("name", ""))),
    )
    return event_loop, [listener, executor_client]


def serve(path: str, read_operator_config: OperatorConfigReader | None = None) -> int:
    """Serves until SIGTERM.

    Args:
        path: The path of the process configuration.
        read_operator_config: Reads the operator's file, at start and at each SIGHUP; None if there
            is none.

    Returns:
        The exit code: 0 after a drain, else EXIT_FAILURE or EXIT_CONFIGURATION_ERROR.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL)
    event_queue = EventQueue()
    clock = Clock()
    # The handlers are set before the files are read and the listener is opened. The effect of a
    # signal that arrives during the start is queued until the event loop runs: the files are then
    # read again, or the drain starts, in which accepted requests still get a response. It does not
    # wait for other items of the queue, whose number depends on what clients send.
    signal.signal(
        signal.SIGHUP,
        lambda *_: event_queue.post_urgent(
            lambda: reload_configuration(event_loop, path, read_operator_config)
        ),
    )

    def request_drain(*_: object) -> None:
        notified_at = clock.now()
        event_queue.post_urgent(lambda: event_loop.drain.start(notified_at))

    signal.signal(signal.SIGTERM, request_drain)
    try:
        operator_config = read_operator_config() if read_operator_config is not None else None
        event_loop, components = build(read_configuration(path), event_queue)
        event_loop.subsystems.apply(operator_config)
    except OperatorFileError as error:
        print(error, file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    except ConfigurationError as error:
        print(f"lilacwalk: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    for component in components:
        component.start()
    log.info(
        "event=started listen=%s:%d connections=%d",
        *event_loop.listener.address,
        event_loop.limits.connections,
    )
    return _run(event_loop)


def _run(event_loop: EventLoop) -> int:
    try:
        event_loop.run()
    except Exception:
        log.exception("event=event_loop_failed")
        return EXIT_FAILURE
    finally:
        event_loop.subsystems.stop(SUBSYSTEM_STOP_TIMEOUT)
    return 0


def check(path: str) -> int:
    """Checks a process configuration without opening a socket, and prints a summary of it.

    Returns:
        The exit code: 0 if the configuration is valid, else EXIT_CONFIGURATION_ERROR.
    """
    try:
        config = read_configuration(path)
        server, limits = decode_configuration(config)
        addresses = decode_addresses(config)
    except ConfigurationError as error:
        print(f"lilacwalk: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    _print_addresses(str(config.get("name", "")), addresses)
    _print_server(server, limits)
    return 0


def _print_addresses(name: str, addresses: dict[str, Address]) -> None:
    formatted = " ".join(f"{key}={host}:{port}" for key, (host, port) in addresses.items())
    print(f"name={name} {formatted}")


def _print_server(server: ServerSettings, limits: Limits) -> None:
    print(
        f"cores={server.cores} memory_kb={server.memory_kb:g} fleet={server.fleet_size} "
        f"connections={limits.connections} stop_ms={limits.stop_timeout // 10}"
    )
    for request_class in server.request_classes:
        print(
            f"group={request_class.name} effect={EFFECT_NAMES[request_class.effect]} "
            f"slo_ms={request_class.latency_objective / 10:g} "
            f"timeout_ms={request_class.timeout / 10:g} benefit={request_class.weight:g} "
            f"calls={request_class.calls_dependency}"
        )
