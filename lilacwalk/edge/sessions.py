"""The session table, bounded in sessions, sessions per device and bytes of unacknowledged answers.

If a limit is reached, the sessions that cost least to lose are evicted. Sessions without a
connection are removed after a timeout.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from lilacwalk.edge.session import Session
from lilacwalk.edge.timer_wheel import Wheel


class SessionTable:
    """Sessions by identifier and by device; times are in tenths of a millisecond."""

    def __init__(
        self,
        max_sessions: int,
        max_per_device: int,
        max_bytes: int,
        idle_timeout: int,
        now: int,
        on_removed: Callable[[Session, str], None],
    ) -> None:
        """Creates an empty table.

        Args:
            max_sessions: Maximum number of sessions.
            max_per_device: Maximum number of sessions of one device.
            max_bytes: Maximum size of the unacknowledged answers of all sessions.
            idle_timeout: Time after which a session without a connection is removed.
            now: The current time.
            on_removed: Called with each removed session and the reason.
        """
        (
            self.max_sessions,
            self.max_per_device,
            self.max_bytes,
            self.idle_timeout,
            self.on_removed,
        ) = (
            max_sessions,
            max_per_device,
            max_bytes,
            idle_timeout,
            on_removed,
        )
        self.by_ident: dict[bytes, Session] = {}
        self.by_device: dict[bytes, dict[Session, None]] = {}
        self.wheel = Wheel(now)
        self.unacknowledged_bytes = 0

    def __len__(self) -> int:
        return len(self.by_ident)

    def __iter__(self) -> Iterator[Session]:
        return iter(self.by_ident.values())

    def find(self, ident: bytes) -> Session | None:
        """Returns the session with this identifier, or None."""
        return self.by_ident.get(ident)

    def add(self, session: Session) -> bool:
        """Adds a session, evicting others if needed; returns False if none can be evicted."""
        device_sessions = self.by_device.get(session.device, {})
        if len(device_sessions) >= self.max_per_device and not self._evict(
            device_sessions, "too many of one device"
        ):
            return False
        if len(self.by_ident) >= self.max_sessions and not self._evict(
            self.by_ident.values(), "too many sessions"
        ):
            return False
        self.by_ident[session.ident] = session
        self.by_device.setdefault(session.device, {})[session] = None
        return True

    def _evict(self, candidates, reason: str) -> bool:
        """Removes the candidate with the lowest eviction cost, and returns whether there was one.

        Sessions with a connection or with requests in flight are not evicted here.
        """
        idle = [each for each in candidates if each.connection is None and not each.open]
        if not idle:
            return False
        self.remove(min(idle, key=lambda each: each.eviction_cost), reason)
        return True

    def remove(self, session: Session, reason: str) -> None:
        """Removes a session and calls `on_removed`."""
        if self.by_ident.pop(session.ident, None) is None:
            return
        device_sessions = self.by_device[session.device]
        del device_sessions[session]
        if not device_sessions:
            del self.by_device[session.device]
        self.wheel.cancel(session)
        self.unacknowledged_bytes -= session.unacknowledged_bytes
        self.on_removed(session, reason)

    def add_bytes(self, session: Session, size: int) -> None:
        """Adds the size of a new answer of the session, or a negative size for acknowledged ones.

        Beyond the limit, other disconnected sessions with answers are removed in order of their
        eviction cost, also if they have requests in flight.
        """
        self.unacknowledged_bytes += size
        if self.unacknowledged_bytes <= self.max_bytes:
            return
        disconnected = [
            each
            for each in self
            if each.connection is None and each.unacknowledged_bytes and each is not session
        ]
        candidates = sorted(disconnected, key=lambda each: each.eviction_cost)
        for each in candidates:
            if self.unacknowledged_bytes <= self.max_bytes:
                return
            self.remove(each, "no room for its answers")

    @property
    def is_full(self) -> bool:
        """Whether the limit of unacknowledged bytes is reached.

        In that case no further request may be accepted.
        """
        return self.unacknowledged_bytes >= self.max_bytes

    def disconnected(self, session: Session, now: int) -> None:
        """Records that the session lost its connection, and starts its timeout."""
        session.disconnected(now)
        self.wheel.schedule(session, now + self.idle_timeout)

    def reconnected(self, session: Session) -> None:
        """Cancels the session's timeout."""
        self.wheel.cancel(session)

    def tick(self, now: int) -> None:
        """Removes the sessions whose timeout has expired."""
        for session in self.wheel.expire(now):
            if session.connection is None:  # type: ignore[attr-defined]
                self.remove(session, "not seen for too long")  # type: ignore[arg-type]
