"""From the configuration to a running app server, and to its exit code."""

from __future__ import annotations

import json
import logging
import signal
import sys
import threading
from dataclasses import replace
from queue import SimpleQueue

from lilacwalk.handover import app_server, HandoverError, row, section
from lilacwalk.lifecycle.clock import Clock
from lilacwalk.lifecycle.deciding import Deciding
from lilacwalk.lifecycle.limits import Limits
from lilacwalk.wire.catalog import Catalog
from lilacwalk.wire.index import IndexLink
from lilacwalk.wire.kernel import KernelLink
from lilacwalk.wire.routers import Door

log = logging.getLogger(__name__)
STACK = 131_072  # readers and writers go a few calls deep; Python's own frames live on the heap
SWITCH = 0.001  # seconds a busy thread may keep the others waiting: answers are short, so often is cheap


class CannotStartError(Exception):
    """Told in one line on standard error."""


def read(path: str) -> dict:
    try:
        with open(path, encoding="utf-8") as file:
            handed = json.load(file)
    except OSError as error:
        raise CannotStartError(f"configuration {path}: {error.strerror}") from None
    except ValueError as error:
        raise CannotStartError(f"configuration {path}: {error}") from None
    if not isinstance(handed, dict) or not isinstance(handed.get("settings"), dict):
        raise CannotStartError(f"configuration {path}: settings is missing")
    return handed


def address(handed: dict, name: str) -> tuple[str, int]:
    host, sep, port = str(handed.get(name, "")).rpartition(":")
    if not sep or not host or not port.isdigit() or int(port) > 65535:
        raise CannotStartError(f"configuration: {name}={handed.get(name)} is no host:port")
    return host, int(port)


def addresses(handed: dict) -> dict[str, tuple[str, int]]:
    """Where all the parties are; a site whose exchanges make no calls has no index."""
    names = ("listen", "kernel", "directory") + (("index",) if handed.get("index") else ())
    return {name: address(handed, name) for name in names}


def decode(handed: dict) -> tuple:
    """The app server as the controller knows it, and the limits of its sockets."""
    try:
        return app_server(handed["settings"], int(str(handed.get("seed", "0")), 16)), Limits.given(handed)
    except (HandoverError, ValueError, AttributeError, TypeError) as error:
        raise CannotStartError(f"configuration: {error}") from None


def build(handed: dict, inbox: SimpleQueue, **other_limits: int) -> tuple[Deciding, list]:
    """The deciding thread's object, and the parts whose threads are to be started."""
    server, limits = decode(handed)
    limits = replace(limits, **other_limits)
    parties = addresses(handed)
    try:
        door = Door(parties["listen"], limits, inbox)
    except OSError as error:
        raise CannotStartError(f"cannot listen on {handed['listen']}: {error.strerror}") from None
    gauge_names = [str(name) for name in row(section(handed["settings"], "family_info"), "gauges")]
    kernel_link = KernelLink(parties["kernel"], limits, inbox, gauge_names)
    index = IndexLink(parties.get("index"), limits, inbox)
    catalog = Catalog(parties["directory"], str(handed.get("name", "")))
    deciding = Deciding(server, limits, Clock(), inbox, door, kernel_link, index, catalog)
    return deciding, [door, kernel_link, index]


def serve(path: str) -> int:
    threading.stack_size(STACK)
    sys.setswitchinterval(SWITCH)
    inbox: SimpleQueue = SimpleQueue()
    try:
        deciding, threads = build(read(path), inbox)
    except CannotStartError as error:
        print(f"lilacwalk: {error}", file=sys.stderr)
        return 2
    signal.signal(signal.SIGTERM, lambda *_: inbox.put((deciding.leave,)))
    for each in threads:
        each.start()
    log.info("event=started listen=%s:%d connections=%d", *deciding.door.address, deciding.limits.connections)
    try:
        deciding.run()
    except Exception:
        log.exception("event=deciding_failed")
        return 1
    return 0


def check(path: str) -> int:
    """Reads a configuration as `serve` would, without opening a socket."""
    try:
        handed = read(path)
        server, limits = decode(handed)
        parties = addresses(handed)
    except CannotStartError as error:
        print(f"lilacwalk: {error}", file=sys.stderr)
        return 2
    print(f"name={handed.get('name', '')} " + " ".join(f"{k}={h}:{p}" for k, (h, p) in parties.items()))
    print(f"cores={server.cores} memory_kb={server.memory_kb:g} fleet={server.fleet} "
          f"connections={limits.connections} stop_ms={limits.stop // 10}")
    for group in server.groups:
        print(f"group={group.name} effect={group.effect.name.lower()} slo_ms={group.slo_time / 10:g} "
              f"timeout_ms={group.async_timeout / 10:g} benefit={group.benefit:g} calls={group.calls}")
    return 0
