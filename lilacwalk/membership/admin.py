"""Admin socket of a running member: reports its view and events, and probes a member on request.

The keys and words of the responses are an interface for operators' tools; this module maps the
names used in the package to them.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeAlias

from lilacwalk.membership.config import SECOND
from lilacwalk.membership.host import FleetHost
from lilacwalk.membership.member import Member
from lilacwalk.membership.messages import NODE_STATE_NAMES, Health
from lilacwalk.membership.swim import Membership
from lilacwalk.protocols.admin_socket import AdminSocket

POLL_INTERVAL_SECONDS = 0.002  # pause between two checks for the answer to a probe

SiteCommandHandler: TypeAlias = Callable[[list[str]], object]
"""Answers a query whose first word is `sites`; the argument is the list of the query's words."""


def admin_socket(
    host: FleetHost, path: str, site_commands: SiteCommandHandler | None = None
) -> AdminSocket:
    """Returns the admin socket of this member, bound to `path`; `start` makes it answer queries.

    Raises:
        OSError: the socket cannot be opened at `path`.
    """
    return AdminSocket(path, lambda line: answer(line, host, site_commands), "fleet-answering")


def answer(line: str, host: FleetHost, site_commands: SiteCommandHandler | None = None) -> object:
    """Returns the JSON-encodable response to a query; errors are reported under the key `error`."""
    match line.split():
        case ["sites", *_] as words:
            if site_commands is None:
                return {"error": "the operator's file has no sites block"}
            return site_commands(words)
        case ["show"]:
            return host.query(lambda machine, now: view_report(machine, now, host.store.state))
        case ["events"]:
            return host.query(recent_events)
        case ["ping", name]:
            return ping(name, host)
        case _:
            return {"error": f"unknown query {line!r}: expected show, events or ping NAME"}


def view_report(machine: Membership, now: int, store: str = "off") -> dict[str, object]:
    """Returns the member's view and the verdict on it; `store` is the member's storage state."""
    conclusion, statistics = machine.conclusion(now), machine.statistics(now)
    members = sorted(machine.view.known(), key=lambda member: member.name)
    recent_suspicions, usual_suspicions = machine.suspicion_rate(now)
    return {
        "name": machine.name,
        "site": machine.config.site,
        "life": machine.identity.incarnation,
        "conclusion": conclusion.verdict,
        "reason": conclusion.reason,
        "firm": conclusion.firm,
        "settled": machine.settled(now),
        "digest": f"{machine.view.digest:016x}",
        "present": statistics.present,
        "suspects": statistics.suspects,
        "lost": statistics.lost,
        "left": statistics.left,
        "leaving": len(machine.view.draining()),
        "suspicions": {"recent": recent_suspicions, "usual": usual_suspicions},
        "awareness": machine.probes.health_multiplier,
        "store": store,
        "counts": dict(sorted(machine.counts.items())),
        "members": [member_report(member, machine, now) for member in members],
    }


def member_report(member: Member, machine: Membership, now: int) -> dict[str, object]:
    """Returns one row of the view, with shares as fractions and ages in milliseconds."""
    metadata = member.metadata
    assert metadata is not None
    is_self = member.name == machine.name
    last_known = now if is_self else max(member.last_heard, member.metadata_at)
    return {
        "name": member.name,
        "site": metadata.site,
        "address": f"{metadata.host}:{metadata.port}",
        "life": member.incarnation,
        "health": member.health.name.lower(),
        "state": NODE_STATE_NAMES[metadata.state],
        "age_ms": max(0, now - last_known) // 10,
        "since_ms": max(0, now - member.health_since) // 10,
        "by": member.reported_by,
        "through": member.reached_via,
        "cut": member.partitioned,
        "out": metadata.withdrawn,
        "cores": metadata.cores,
        "finished": metadata.completed_per_second,
        "load": metadata.load_permille / 1000,
        "p_a": metadata.admission_permille / 1000,
        "refuses": list(metadata.rejected_classes),
        "disk": metadata.storage_state,
        "revision": metadata.revision,
        "turn": member.refutation,
    }


def recent_events(machine: Membership, now: int) -> list[dict[str, object]]:
    """Returns the recent events, oldest first, with their ages in milliseconds."""
    return [
        {
            "ago_ms": (now - event.at) // 10,
            "what": event.change,
            "name": event.member,
            "why": event.reason,
            "by": event.reported_by,
        }
        for event in machine.events
    ]


def ping(name: str, host: FleetHost) -> dict[str, object]:
    """Probes a member; returns whether and when it sent a datagram within one probe interval."""
    heard_before = host.query(lambda machine, now: _start_ping(name, machine, now))
    if heard_before is None:
        return {"error": f"unknown member {name}"}
    started_at = time.monotonic()
    deadline = started_at + host.config.probe_interval / SECOND
    while time.monotonic() < deadline:
        member = host.query(lambda machine, _now: machine.view.get(name))
        if member is not None and member.last_heard > heard_before:
            return {
                "name": name,
                "answered": True,
                "ms": round((time.monotonic() - started_at) * 1000, 1),
                "health": member.health.name.lower(),
                "through": member.reached_via,
            }
        time.sleep(POLL_INTERVAL_SECONDS)
    member = host.query(lambda machine, _now: machine.view.get(name))
    health = member.health if member is not None else Health.DEAD
    return {"name": name, "answered": False, "health": health.name.lower()}


def _start_ping(name: str, machine: Membership, now: int) -> int | None:
    """Starts a probe; returns the time of the member's last datagram, None if it is unknown."""
    member = machine.view.get(name)
    if member is None:
        return None
    last_heard = member.last_heard
    machine.ping(member, now, out_of_turn=True)
    return last_heard
