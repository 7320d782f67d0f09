"""What a file means, told; or all that is wrong with it."""

from __future__ import annotations

import sys

from lilacwalk.operator.reading import CannotReadError, orders


def told(path: str) -> int:
    try:
        made = orders(path)
    except CannotReadError as error:
        print(error, file=sys.stderr)
        return 2
    if made is None or made.announce is None:
        print("announce=off")
        return 0
    asked = made.announce
    print(f"announce as={asked.as_} router_id={asked.router_id} ready_for_ms={asked.ready_for / 10:g} "
          f"propagation_ms={asked.propagation / 10:g} hold_time_s={asked.hold_time // 10_000}")
    for service in asked.service:
        print(f"service={service.prefix} next_hop={service.next_hop or asked.next_hop}")
    for peer in asked.peer:
        print(f"peer={peer.name} as={peer.as_} mode={peer.mode} import={peer.import_ or 'none'} "
              f"export={peer.export or 'all'} max_prefixes={peer.max_prefixes}")
    return 0
