"""Limits on an app server's sockets, tables, buffers and times, computed at start."""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.overload.model import SECOND
from lilacwalk.settings import (
    SettingValueError,
    read_integer,
    read_number,
    read_section,
    tenths_rounded_down,
    tenths_rounded_up,
)

MEGABYTE = 1_000_000
RESERVED_SOCKETS = 64  # descriptors for links, the listener, logs and the interpreter
DEFAULT_SOCKETS = 1_024
DEFAULT_MEMORY_MB = 192.0
PROGRAM_BYTES = 16 * MEGABYTE  # the program itself, and requests read but not yet decided on
CONNECTION_BYTES = 24_000  # memory of a connection without its send buffer
IN_FLIGHT_REQUEST_BYTES = 9_000
CACHE_ENTRY_BYTES = 1_500  # memory of an entry without its result
MIN_SEND_BUFFER_BYTES = 16_384  # space for four results
MAX_SEND_BUFFER_BYTES = 163_840  # space for the results of all open requests of a connection
MEMORY_PARTS = 8  # into which the memory beside PROGRAM_BYTES is divided
CONNECTION_MEMORY_PARTS = 5  # parts for connections and their send buffers


@dataclass(frozen=True)
class Limits:
    """Limits that are fixed until the process ends.

    Times are in tenths of a millisecond, sizes in bytes. Of the memory beside PROGRAM_BYTES, five
    eighths are for connections and their send buffers, and one eighth each for requests in flight,
    for cached results with their keys, and for the executor's send buffer.
    """

    # From the configuration.

    #: Maximum number of open proxy connections.
    connections: int
    #: Number of proxy connections above which some are closed to make room for new ones.
    connection_high_water: int
    #: Time from the stop signal until the process is killed.
    stop_timeout: int
    #: Time for which the result of an idempotent request may answer others; 0: never.
    result_freshness: int
    #: Unsent bytes from which a proxy is disconnected.
    send_buffer_bytes: int
    #: Maximum number of requests in flight.
    max_in_flight: int
    #: Maximum number of entries in the result cache.
    max_cache_entries: int
    #: Maximum total size of the results in the cache.
    max_cached_result_bytes: int
    #: Unsent bytes from which the executor counts as unresponsive.
    executor_send_buffer_bytes: int
    #: Maximum number of dependency connections, with one call on each; further calls wait.
    max_dependency_connections: int
    #: Idle time after which proxies close their connections.
    proxy_idle_timeout: int

    # Proxy connections.

    #: Open requests on one connection, as defined by the protocol.
    max_open_requests: int = 32
    #: Size of a request's body.
    max_body_bytes: int = 2_048
    #: Parts of one message; the protocol uses five, the rest is reserved for later versions.
    max_message_parts: int = 8
    #: Size of one part; a longer part is skipped.
    max_part_bytes: int = 16_384
    #: Size of a skipped part from which the connection is closed.
    max_skipped_bytes: int = 1_048_576
    #: Bytes requested by one socket read; most messages have a few hundred.
    proxy_read_bytes: int = 2_048
    #: Messages passed to the event loop in one batch.
    max_batch_messages: int = 32
    #: Batches read from one connection that the event loop has not processed yet.
    max_undecided_batches: int = 2
    #: Size of the operating system's socket buffer in each direction.
    socket_buffer_bytes: int = 65_536
    #: Length of the queue of connections that are not accepted yet.
    listen_backlog: int = 1_024
    #: Time from connecting to the first complete message, and from the start of any message to its
    #: end.
    message_timeout: int = SECOND
    #: Age below which the first message of a connection may still be in transit.
    new_connection_age: int = SECOND // 5
    #: Items that the event loop processes from its queue in one iteration.
    max_events_per_iteration: int = 64

    # Links to the executor and the dependency.

    #: Bytes requested by one read; each buffer is shrunk to its content, and large ones would
    #: fragment the heap.
    link_read_bytes: int = 4_096
    #: Length of a line.
    max_line_bytes: int = 512
    #: Size of a reply; a longer one is a framing error.
    max_reply_bytes: int = 65_536
    #: Delay of the first attempt to reconnect.
    min_reconnect_delay: int = SECOND // 50
    #: Maximum delay; the delay doubles with each failed attempt.
    max_reconnect_delay: int = SECOND // 10
    #: Idle time after which a connection is closed, before the dependency would close it.
    dependency_idle_timeout: int = 8 * SECOND
    #: Time for connecting, which is short as both ends are on the same machine.
    connect_timeout: int = SECOND // 4
    #: Time before a timer event at which the gauges for it are requested.
    gauge_lead: int = 30

    # Other times.

    #: Time for which keys are stored beyond the deduplication window.
    deduplication_window_slack: int = SECOND // 20
    #: Interval between reports to the service registry, which lists a server for 3 s after each.
    report_interval: int = 3 * SECOND // 10
    #: Interval between checks for idle connections and expired cache entries.
    housekeeping_interval: int = SECOND // 20
    #: Time at the end of a drain that is reserved for sending responses.
    drain_flush_margin: int = 3 * SECOND // 10
    #: Time for a proxy to close a connection after a request to do so.
    close_request_timeout: int = 2 * SECOND
    #: Time in a drain in which requests sent before the request to close may still arrive.
    drain_settle_time: int = SECOND // 10
    #: Time for which a half-closed connection is still read.
    half_close_linger: int = SECOND // 5
    #: Time after which a proxy that neither sends requests nor reads its response is disconnected.
    unsent_timeout: int = 10 * SECOND

    @classmethod
    def from_configuration(cls, configuration: dict) -> Limits:
        """Computes the limits from a process configuration.

        Raises:
            SettingsError: A setting is invalid, or the memory or number of sockets is too low.
        """
        settings = read_section(configuration, "settings")
        limits = read_section(configuration, "limits")
        info = read_section(settings, "family_info")
        sockets = read_integer(limits, "sockets", DEFAULT_SOCKETS)
        if sockets < 4 * RESERVED_SOCKETS:
            raise SettingValueError(
                name="sockets",
                value=sockets,
                problem=f"is below the minimum of {4 * RESERVED_SOCKETS} sockets",
            )
        memory_part = _memory_part(limits)
        connection_memory = CONNECTION_MEMORY_PARTS * memory_part
        connections = min(
            sockets - RESERVED_SOCKETS,
            connection_memory // (CONNECTION_BYTES + MIN_SEND_BUFFER_BYTES),
        )
        send_buffer_bytes = connection_memory // connections - CONNECTION_BYTES
        return cls(
            connections=connections,
            connection_high_water=connections - RESERVED_SOCKETS // 2,
            send_buffer_bytes=min(MAX_SEND_BUFFER_BYTES, send_buffer_bytes),
            max_in_flight=memory_part // IN_FLIGHT_REQUEST_BYTES,
            max_cache_entries=memory_part // 2 // CACHE_ENTRY_BYTES,
            max_cached_result_bytes=memory_part // 2,
            executor_send_buffer_bytes=memory_part,
            stop_timeout=tenths_rounded_down(read_number(configuration, "stop_ms", 3_000.0)),
            result_freshness=tenths_rounded_down(read_number(info, "fresh_ms", 0.0)),
            max_dependency_connections=RESERVED_SOCKETS // 2,
            proxy_idle_timeout=tenths_rounded_up(read_number(info, "caller_idle_ms", 30_000.0)),
        )


def _memory_part(limits: dict) -> int:
    """An eighth of the memory beside PROGRAM_BYTES, in bytes."""
    memory = read_number(limits, "memory_mb", DEFAULT_MEMORY_MB) * MEGABYTE - PROGRAM_BYTES
    if memory < PROGRAM_BYTES // 4:
        raise SettingValueError(
            name="memory_mb",
            value=limits["memory_mb"],
            problem=f"leaves less than {PROGRAM_BYTES // 4 // MEGABYTE} MB beside the program",
        )
    return int(memory / MEMORY_PARTS)
