"""The process configuration of an app server whose peers are stand-ins."""

from __future__ import annotations

import copy

SETTINGS = {
    "classes": [
        {"name": "look", "aim_ms": 200.0, "hard_limit_ms": 2000.0, "effect": "safe", "worth": 1.0},
        {
            "name": "swap",
            "aim_ms": 400.0,
            "hard_limit_ms": 4000.0,
            "effect": "keyed",
            "worth": 4.0,
            "dedup_window_ms": 60000.0,
        },
        {
            "name": "move",
            "aim_ms": 400.0,
            "hard_limit_ms": 4000.0,
            "effect": "unsafe",
            "worth": 2.0,
        },
    ],
    "parties": [
        {"name": "acme", "allowance_per_s": 1000.0},
        {"name": "devices", "allowance_per_s": 1000.0},
    ],
    "family_info": {
        "below": "silent",
        "cpus": 2,
        "ram_kb": 1e6,
        "run_factor": 2.0,
        "stop_mode": "drop",
        "advert": "tokens",
        "key_kb": 1.0,
        "gauges": ["core_use", "on_cores"],
        "caller_idle_ms": 30000.0,
    },
    "limits": {"retry_after": True, "max_retry_after_ms": 1000.0},
    "rules": {"drain_grace_ms": 300.0, "tip_multiple": 8.0},
}


def make_process_config(
    executor: tuple[str, int],
    listen: str = "127.0.0.1:0",
    memory_mb: float = 192.0,
    sockets: int = 1024,
    stop_ms: int = 3000,
    **settings: object,
) -> dict:
    """Returns a process configuration, for a JSON file.

    `executor` is the executor's address, `stop_ms` the time limit of a shutdown in milliseconds.
    `settings` replace entries of SETTINGS.
    """
    executor_address = f"{executor[0]}:{executor[1]}"
    return {
        "name": "n1",
        "listen": listen,
        "kernel": executor_address,
        "directory": "127.0.0.1:9",
        "seed": "1f",
        "stop_ms": stop_ms,
        "limits": {"sockets": sockets, "memory_mb": memory_mb},
        "settings": copy.deepcopy(SETTINGS) | settings,
    }
