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
RESERVED_SOCKETS = 64  # file descriptors for links, the listener, logs and the interpreter
MIN_SOCKETS = 4 * RESERVED_SOCKETS
DEFAULT_SOCKETS = 1_024
DEFAULT_MEMORY_MB = 192.0
# Memory of the program itself and of requests that are read but not decided on yet.
PROGRAM_BYTES = 16 * MEGABYTE
MIN_MEMORY_BYTES = PROGRAM_BYTES + PROGRAM_BYTES // 4
CONNECTION_BYTES = 24_000  # memory of a connection without its send buffer
IN_FLIGHT_REQUEST_BYTES = 9_000
CACHE_ENTRY_BYTES = 1_500  # memory of a cache entry without its result
MIN_SEND_BUFFER_BYTES = 16_384  # enough for four results
MAX_SEND_BUFFER_BYTES = 163_840  # enough for the results of all open requests of a connection
MEMORY_PARTS = 8  # number of equal parts of the memory that remains after PROGRAM_BYTES
CONNECTION_MEMORY_PARTS = 5  # number of memory parts for connections and their send buffers


@dataclass(frozen=True)
class Limits:
    """Limits that are fixed until the process ends.

    Times are in tenths of a millisecond, sizes in bytes. Of the memory that remains after
    PROGRAM_BYTES, five eighths are for connections and their send buffers, and one eighth each is
    for requests in flight, for cached results with their keys, and for the executor's send buffer.
    """

    # From the configuration.

    #: Maximum number of open proxy connections.
    connections: int
    #: Number of proxy connections above which some are closed, so that new ones can be opened.
    connection_high_water: int
    #: Time from the stop signal until the platform kills the process.
    stop_timeout: int
    #: Time for which the result of an idempotent request may also answer other requests with the
    #: same subject. If it is 0, results are not reused.
    result_freshness: int
    #: Size of the send buffer of a proxy connection, which is closed if the buffer overflows.
    send_buffer_bytes: int
    #: Maximum number of requests in flight.
    max_in_flight: int
    #: Maximum number of entries in the result cache.
    max_cache_entries: int
    #: Maximum total size of the results in the cache.
    max_cached_result_bytes: int
    #: Size of the executor's send buffer. If it overflows, the link is closed and opened again.
    executor_send_buffer_bytes: int
    #: Maximum number of dependency connections. Each carries one call; further calls wait.
    max_dependency_connections: int
    #: Idle time after which proxies close their connections.
    proxy_idle_timeout: int

    # Proxy connections.

    #: Maximum number of open requests on one connection, as defined by the protocol.
    max_open_requests: int = 32
    #: Maximum size of a request's body.
    max_body_bytes: int = 2_048
    #: Maximum number of parts in one message. The protocol uses five; the others are reserved for
    #: later versions.
    max_message_parts: int = 8
    #: Maximum size of a message part. A longer part is skipped. The longest part is the body.
    max_part_bytes: int = 2_048
    #: Maximum size of the parts of a message together. A part that exceeds it is skipped. Besides
    #: the body, the parts of most messages have a few hundred bytes.
    max_message_bytes: int = 3_072
    #: Maximum size of a skipped message part. If a part is longer, the connection is closed.
    max_skipped_bytes: int = 1_048_576
    #: Number of bytes requested by one socket read. Most messages have a few hundred bytes.
    proxy_read_bytes: int = 2_048
    #: Maximum number of chunks read from one connection that the event loop has not processed yet.
    max_unprocessed_chunks: int = 2
    #: Size of the operating system's socket buffer in each direction.
    socket_buffer_bytes: int = 65_536
    #: Maximum number of connections that wait to be accepted.
    listen_backlog: int = 1_024
    #: Maximum time from connecting to the end of the first message, and from the start of any
    #: message to its end.
    message_timeout: int = SECOND
    #: Age of a connection below which its first message may still be in transit.
    new_connection_age: int = SECOND // 5
    #: Maximum number of queue items that the event loop processes in one iteration.
    max_events_per_iteration: int = 64
    #: Number of messages of proxies that the event loop processes in one iteration.
    max_messages_per_iteration: int = 64

    # Links to the executor and the dependency.

    #: Number of bytes requested by one socket read. Each buffer is truncated to the bytes received,
    #: and truncating large buffers fragments the heap.
    link_read_bytes: int = 4_096
    #: Maximum length of a line of the protocol.
    max_line_bytes: int = 512
    #: Maximum size of a reply. A longer reply is a framing error.
    max_reply_bytes: int = 65_536
    #: Delay before the first attempt to reconnect.
    min_reconnect_delay: int = SECOND // 50
    #: Maximum delay before an attempt to reconnect. The delay doubles after each failed attempt.
    max_reconnect_delay: int = SECOND // 10
    #: Idle time after which a dependency connection is closed. The dependency closes it later.
    dependency_idle_timeout: int = 8 * SECOND
    #: Timeout for connecting. It is short because both ends are on the same machine.
    connect_timeout: int = SECOND // 4
    #: Time between requesting the executor's gauges and the timer event that carries them.
    gauge_lead: int = 30

    # Other times.

    #: Time after the end of the deduplication window in which a request with the same idempotency
    #: key is not executed, because it may still be a duplicate.
    deduplication_window_slack: int = SECOND // 20
    #: Interval between reports to the service registry, which lists a server for 3 s after each.
    #: Expired cache entries are evicted at the same interval.
    report_interval: int = 3 * SECOND // 10
    #: Interval between checks for idle connections and between evaluations by the subsystems.
    housekeeping_interval: int = SECOND // 20
    #: Time at the end of a drain that is reserved for sending the last responses.
    drain_flush_margin: int = 3 * SECOND // 10
    #: Time within which a proxy has to close a connection after the request to close it.
    close_request_timeout: int = 2 * SECOND
    #: Time for which requests that a proxy has sent may still arrive, in a drain, after the request
    #: to close the connection.
    drain_settle_time: int = SECOND // 10
    #: Maximum time for which a half-closed connection is read.
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
        if sockets < MIN_SOCKETS:
            raise SettingValueError(
                name="sockets",
                value=sockets,
                problem=f"is below the minimum of {MIN_SOCKETS} sockets",
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
    """One of MEMORY_PARTS parts of the memory that remains after PROGRAM_BYTES, in bytes."""
    memory = read_number(limits, "memory_mb", DEFAULT_MEMORY_MB) * MEGABYTE
    if memory < MIN_MEMORY_BYTES:
        raise SettingValueError(
            name="memory_mb",
            value=limits["memory_mb"],
            problem=f"is below the minimum of {MIN_MEMORY_BYTES // MEGABYTE} MB",
        )
    return int((memory - PROGRAM_BYTES) / MEMORY_PARTS)
