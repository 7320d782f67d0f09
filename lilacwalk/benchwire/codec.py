"""Lines of the bench's wire, to and from fields."""

from __future__ import annotations

import math

from lilacwalk.decisions.interface import (
    Advice, AppServer, Customer, Effect, Ending, EndpointGroup, Exchange, StopMode,
)

EFFECTS = {"safe": Effect.REPEATABLE, "keyed": Effect.DEDUPLICATED, "unsafe": Effect.MUTATING}
STOPS = {"silent": StopMode.NONE, "drop": StopMode.DROP, "pause": StopMode.PAUSE}
ADVICE = {"silent": Advice.NONE, "tokens": Advice.TOKENS, "min_rank": Advice.MIN_RANK, "bias": Advice.BIAS}
ENDINGS = {
    "100": Ending.OK, "301": Ending.ERROR, "302": Ending.REJECTED, "303": Ending.ABANDONED,
    "304": Ending.UNREACHABLE, "305": Ending.BROKEN_OFF, "306": Ending.STOPPED, "307": Ending.MOOT,
}


class WireError(Exception):
    """Malformed input; the text says what is wrong."""


def fields_of(parts: list[str]) -> dict[str, str]:
    fields = {}
    for part in parts:
        name, sep, value = part.partition("=")
        if not sep or not name:
            raise WireError(f"'{part}' is not name=value")
        fields[name] = value
    return fields


def number(fields: dict[str, str], name: str, default: float | None = None) -> float:
    text = fields.get(name)
    if text is None or text == "":
        if default is None:
            raise WireError(f"{name} is missing")
        return default
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{name}={text} is not a number") from None
    if not math.isfinite(value):
        raise WireError(f"{name}={text} is not a finite number")
    return value


def whole(fields: dict[str, str], name: str, default: int | None = None) -> int:
    text = fields.get(name, "")
    if text.lstrip("-").isdigit():
        return int(text)
    return int(number(fields, name, default))


def flag(fields: dict[str, str], name: str) -> bool:
    return fields.get(name, "0") in ("1", "true")


def choice(fields: dict[str, str], name: str, table: dict, default: str | None = None):
    text = fields.get(name, default)
    if text is None:
        raise WireError(f"{name} is missing")
    if text not in table:
        raise WireError(f"{name}={text} is not one of {', '.join(table)}")
    return table[text]


def early(time_ms: float) -> int:
    """Tenths of a millisecond, rounded so that a limit is never met late."""
    return math.floor(time_ms * 10 + 1e-6)


def late(time_ms: float) -> int:
    return math.ceil(time_ms * 10 - 1e-6)


def flags(text: str) -> list[bool]:
    return [part in ("true", "1") for part in text.split(",")] if text else []


def numbers(text: str) -> list[float]:
    return [float(part) for part in text.split(",")] if text else []


def app_server(fields: dict[str, str]) -> AppServer:
    calls = flags(fields.get("family_info.calls_by_class", ""))
    skips = numbers(fields.get("family_info.class_skip_worth", ""))
    below = fields.get("family_info.below", "silent")
    groups = []
    for i in range(whole(fields, "classes.count", 0)):
        at = f"classes.{i}."
        timeout = early(number(fields, at + "hard_limit_ms"))
        groups.append(EndpointGroup(
            name=fields.get(at + "name", str(i)),
            benefit=number(fields, at + "worth", 1.0),
            slo_time=early(number(fields, at + "aim_ms", timeout / 10)),
            async_timeout=timeout,
            effect=choice(fields, at + "effect", EFFECTS, "safe"),
            slo_stretch=number(fields, at + "aim_stretch", 0.0),
            late_benefit=number(fields, at + "late_worth", 0.0),
            window=late(number(fields, at + "dedup_window_ms", 0.0)),
            calls=below != "silent" and i < len(calls) and calls[i],
            skip_benefit=skips[i] if i < len(skips) else 0.0,
        ))
    if not groups:
        raise WireError("classes.count is missing or 0")
    customers = [
        Customer(fields.get(f"parties.{i}.name", str(i)), number(fields, f"parties.{i}.allowance_per_s", 0.0))
        for i in range(whole(fields, "parties.count", 0))
    ]
    come_back = early(number(fields, "limits.max_retry_after_ms", 0.0))
    info = "family_info."
    return AppServer(
        seed=whole(fields, "nonce64", 0),
        cores=max(1, whole(fields, info + "cpus", 1)),
        memory_kb=number(fields, info + "ram_kb", math.inf),
        run_factor=number(fields, info + "run_factor", 1.0),
        groups=groups,
        customers=customers,
        fleet=max(1, whole(fields, "replicas_of_me", 1)),
        callers=max(1, whole(fields, info + "callers", 1)),
        key_kb=number(fields, info + "key_kb", 0.0),
        stop_mode=choice(fields, info + "stop_mode", STOPS, "silent"),
        advice=choice(fields, info + "advert", ADVICE, "silent"),
        call_share=number(fields, info + "call_share", 0.0) if below == "common" else 0.0,
        call_span=early(number(fields, info + "calls_over_ms", 0.0)),
        linger=late(number(fields, info + "lingers_ms", 0.0)),
        just_started=flag(fields, info + "just_started"),
        cold_share=number(fields, "rules.cold_share", 1.0),
        warm_up=late(number(fields, "rules.warm_up_ms", 0.0)),
        tip_multiple=number(fields, "rules.tip_multiple", 2.0),
        drain_grace=early(number(fields, "rules.drain_grace_ms", 0.0)),
        come_back_max=come_back if flag(fields, "limits.retry_after") else 0,
        over_share_benefit=number(fields, "over_share_worth", 1.0),
        benefit_by_work=fields.get("value_by") == "work",
        quantum=late(number(fields, "quantum_ms", 1.0)),
    )


def exchange(fields: dict[str, str], server: AppServer, time_ms: float, repeats: Exchange | None) -> Exchange:
    group = choice(fields, "class", {group.name: group for group in server.groups})
    owner = fields.get("owner", "0")
    customer = next((each for each in server.customers if each.name == owner), None)
    reached_ms = time_ms - number(fields, "backlog_time_ms", 0.0)
    ttl = number(fields, "ttl_ms", 0.0)
    now = late(time_ms)
    due = early(time_ms + ttl) if ttl > 0 else max(early(reached_ms) + group.async_timeout, now)
    return Exchange(
        group=group,
        arrived=late(reached_ms),
        read=now,
        due=due,
        hold_kb=number(fields, "footprint", 0.0),
        customer=customer,
        work_hint=late(number(fields, "hint_ms", 0.0)),
        retry=flag(fields, "retry"),
        caller=whole(fields, "neighbour", 0),
        repeats=repeats,
    )


def gauges(text: str) -> dict[str, float]:
    values = {}
    for part in text.split(",") if text else []:
        name, sep, value = part.partition(":")
        if not sep:
            raise WireError(f"gauge '{part}' is not name:value")
        values[name] = number({name: value}, name)
    return values


def ms(time: int) -> str:
    return f"{time / 10:.1f}"
