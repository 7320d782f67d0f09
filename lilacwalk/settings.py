"""Decodes the nested settings of an app server into typed records.

Only this module maps the names used in settings to the names used in the code. Times are in
milliseconds in settings, and integers in tenths of a millisecond in records.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TypeVar

from lilacwalk.errors import LilacwalkError
from lilacwalk.overload.model import (
    Effect,
    LoadReportKind,
    RequestClass,
    ServerSettings,
    StopMode,
    Tenant,
)

# In tenths of a millisecond. Without the tolerance, a time that has no exact binary representation
# could be rounded to the wrong integer.
ROUNDING_TOLERANCE = 1e-6
TENTHS_PER_MILLISECOND = 10

# Names of effects in the operator's file and in printed tables.
EFFECT_NAMES = {
    Effect.IDEMPOTENT: "repeatable",
    Effect.DEDUPLICATED: "deduplicated",
    Effect.NON_IDEMPOTENT: "mutating",
}
EFFECTS_BY_NAME = {name: effect for effect, name in EFFECT_NAMES.items()}

# Names of effects, stop modes and load report kinds in settings.
_EFFECTS = {
    "safe": Effect.IDEMPOTENT,
    "keyed": Effect.DEDUPLICATED,
    "unsafe": Effect.NON_IDEMPOTENT,
}
_STOP_MODES = {"silent": StopMode.NONE, "drop": StopMode.DROP, "pause": StopMode.PAUSE}
_LOAD_REPORT_KINDS = {
    "silent": LoadReportKind.NONE,
    "tokens": LoadReportKind.TOKENS,
    "min_rank": LoadReportKind.MIN_RANK,
    "bias": LoadReportKind.BIAS,
}

Value = TypeVar("Value")


class SettingsError(LilacwalkError):
    """A setting is missing or invalid.

    Attributes:
        name: The name of the setting, as written in the settings.
        problem: What is wrong, as a phrase that follows the name in the message.
    """

    def __init__(self, *, name: str, problem: str) -> None:
        """Creates the message from `name` and `problem`."""
        super().__init__(f"{name} {problem}")
        self.name = name
        self.problem = problem


class SettingValueError(SettingsError):
    """A setting has an invalid value.

    Attributes:
        value: The invalid value.
    """

    def __init__(self, *, name: str, value: object, problem: str) -> None:
        """Creates the message from `name=value` and `problem`."""
        super().__init__(name=f"{name}={value}", problem=problem)
        self.name = name
        self.value = value


def tenths_rounded_down(time_ms: float) -> int:
    """Converts milliseconds to tenths, rounded down so that a limit is never exceeded."""
    return math.floor(time_ms * TENTHS_PER_MILLISECOND + ROUNDING_TOLERANCE)


def tenths_rounded_up(time_ms: float) -> int:
    """Converts milliseconds to tenths, rounded up so that a wait is never too short."""
    return math.ceil(time_ms * TENTHS_PER_MILLISECOND - ROUNDING_TOLERANCE)


def parse_number(name: str, value: object) -> float:
    """Converts the value of a setting to a finite number.

    Raises:
        SettingValueError: The value is not a finite number.
    """
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError) as error:
        raise SettingValueError(name=name, value=value, problem="is not a number") from error
    if not math.isfinite(number):
        raise SettingValueError(name=name, value=value, problem="is not a finite number")
    return number


def read_number(settings: Mapping, name: str, default: float | None = None) -> float:
    """Returns a number, or `default` if the value is empty or missing.

    Raises:
        SettingsError: The value is not a finite number, or is missing and has no default.
    """
    value = settings.get(name)
    if value is not None and value != "":
        return parse_number(name, value)
    if default is None:
        raise SettingsError(name=name, problem="is missing; expected a number")
    return default


def read_integer(settings: Mapping, name: str, default: int | None = None) -> int:
    """Returns an integer, or `default` if the value is empty or missing; truncates a fraction.

    Raises:
        SettingsError: The value is not a finite number, or is missing and has no default.
    """
    value = settings.get(name)
    if isinstance(value, int):
        return int(value)
    if isinstance(value, str) and value.lstrip("-").isdigit():
        return int(value)  # conversion to float would round a 64-bit seed
    return int(read_number(settings, name, default))


def is_true(value: object) -> bool:
    """Whether the value of a flag, a boolean or a text, means that the flag is set."""
    return value in (True, "true", "1")


def read_choice(
    settings: Mapping, name: str, choices: Mapping[str, Value], default: str | None = None
) -> Value:
    """Returns the element of `choices` whose name is the value of the setting.

    Raises:
        SettingsError: The value is not one of the choices, or is missing and has no default.
    """
    value = settings.get(name, default)
    if value is None:
        raise SettingsError(name=name, problem=f"is missing; expected one of {', '.join(choices)}")
    if value not in choices:
        raise SettingValueError(
            name=name, value=value, problem=f"is not one of {', '.join(choices)}"
        )
    return choices[value]


def read_section(settings: Mapping, name: str) -> dict:
    """Returns nested settings; a missing section is empty.

    Raises:
        SettingsError: The value is not an object.
    """
    value = settings.get(name, {})
    if not isinstance(value, dict):
        raise SettingsError(
            name=name, problem=f"has type {type(value).__name__}; expected an object"
        )
    return value


def read_list(settings: Mapping, name: str) -> list:
    """Returns a list setting; a single value is a list of one, as in the simulator's protocol."""
    value = settings.get(name)
    if value is None or value == "":
        return []
    return value if isinstance(value, list) else [value]


def decode_server_settings(settings: dict, seed: int) -> ServerSettings:
    """Decodes all settings of an app server; `seed` seeds its random decisions.

    Raises:
        SettingsError: A setting is missing or invalid.
    """
    info = read_section(settings, "family_info")
    rules = read_section(settings, "rules")
    limits = read_section(settings, "limits")
    shares_dependency = info.get("below", "silent") == "common"
    max_retry_after = tenths_rounded_down(read_number(limits, "max_retry_after_ms", 0.0))
    return ServerSettings(
        seed=seed,
        cores=max(1, read_integer(info, "cpus", 1)),
        memory_kb=read_number(info, "ram_kb", math.inf),
        running_memory_factor=read_number(info, "run_factor", 1.0),
        request_classes=_decode_request_classes(settings, info),
        tenants=_decode_tenants(settings),
        fleet_size=max(1, read_integer(settings, "replicas_of_me", 1)),
        client_count=max(1, read_integer(info, "callers", 1)),
        deduplication_entry_kb=read_number(info, "key_kb", 0.0),
        stop_mode=read_choice(info, "stop_mode", _STOP_MODES, "silent"),
        load_report_kind=read_choice(info, "advert", _LOAD_REPORT_KINDS, "silent"),
        dependency_call_share=read_number(info, "call_share", 0.0) if shares_dependency else 0.0,
        dependency_call_span=tenths_rounded_down(read_number(info, "calls_over_ms", 0.0)),
        abandoned_call_linger=tenths_rounded_up(read_number(info, "lingers_ms", 0.0)),
        started_cold=is_true(info.get("just_started")),
        cold_capacity_share=read_number(rules, "cold_share", 1.0),
        warm_up_time=tenths_rounded_up(read_number(rules, "warm_up_ms", 0.0)),
        collapse_multiple=read_number(rules, "tip_multiple", 2.0),
        drain_grace_period=tenths_rounded_down(read_number(rules, "drain_grace_ms", 0.0)),
        max_retry_after=max_retry_after if is_true(limits.get("retry_after")) else 0,
        over_quota_weight_share=read_number(settings, "over_share_worth", 1.0),
        weight_scales_with_work=settings.get("value_by") == "work",
        timer_quantum=tenths_rounded_up(read_number(settings, "quantum_ms", 1.0)),
    )


def _decode_request_classes(settings: dict, info: dict) -> list[RequestClass]:
    has_dependency = info.get("below", "silent") != "silent"
    calls = read_list(info, "calls_by_class") if has_dependency else []
    skip_shares = read_list(info, "class_skip_worth")
    request_classes = [
        _decode_request_class(
            fields,
            index,
            calls_dependency=index < len(calls) and is_true(calls[index]),
            skipped_call_weight_share=(
                parse_number("class_skip_worth", skip_shares[index])
                if index < len(skip_shares)
                else 0.0
            ),
        )
        for index, fields in enumerate(read_list(settings, "classes"))
    ]
    if not request_classes:
        raise SettingsError(
            name="classes", problem="is missing or empty; expected at least one request class"
        )
    return request_classes


def _decode_request_class(
    fields: dict, index: int, *, calls_dependency: bool, skipped_call_weight_share: float
) -> RequestClass:
    name = str(fields.get("name", index))
    timeout = tenths_rounded_down(read_number(fields, "hard_limit_ms"))
    timeout_ms = timeout / TENTHS_PER_MILLISECOND
    latency_objective = tenths_rounded_down(read_number(fields, "aim_ms", timeout_ms))
    if timeout < 1 or latency_objective < 1:
        raise SettingsError(
            name=f"class {name}",
            problem=f"has hard_limit_ms={fields['hard_limit_ms']} and "
            f"aim_ms={fields.get('aim_ms', 'unset')}; expected at least 0.1 each",
        )
    return RequestClass(
        name=name,
        weight=read_number(fields, "worth", 1.0),
        latency_objective=latency_objective,
        timeout=timeout,
        # If the effect is unknown, executing a request twice is assumed to be unsafe.
        effect=_EFFECTS.get(str(fields.get("effect")), Effect.NON_IDEMPOTENT),
        objective_stretch=read_number(fields, "aim_stretch", 0.0),
        late_weight_share=read_number(fields, "late_worth", 0.0),
        deduplication_window=tenths_rounded_up(read_number(fields, "dedup_window_ms", 0.0)),
        calls_dependency=calls_dependency,
        skipped_call_weight_share=skipped_call_weight_share,
    )


def _decode_tenants(settings: dict) -> list[Tenant]:
    return [
        Tenant(
            name=str(fields.get("name", index)), quota=read_number(fields, "allowance_per_s", 0.0)
        )
        for index, fields in enumerate(read_list(settings, "parties"))
    ]
