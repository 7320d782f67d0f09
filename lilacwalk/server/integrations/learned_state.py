"""Persists the controller's learned state, and restores it with a weight based on its age."""

from __future__ import annotations

import logging
from dataclasses import dataclass

import msgspec

from lilacwalk.overload.controller import Controller
from lilacwalk.overload.model import LearnedState, RequestClass
from lilacwalk.storage.effect_log import RowUpdate
from lilacwalk.storage.records import Record
from lilacwalk.storage.state import Table, age_weight

log = logging.getLogger(__name__)
SECOND = 10_000  # tenths of a ms
PERSIST_INTERVAL = 5 * SECOND  # a killed process loses at most the changes of this time
RETENTION_HALF_LIVES = 10  # a row expires after this many half-lives, as its weight is negligible
# Weight of a row with a time in the future, whose age is unknown because the clock was set back.
SET_BACK_CLOCK_WEIGHT = 0.5
ROW_KEY = b"controller"


class LearnedStateRow(msgspec.Struct, frozen=True, array_like=True):
    """The stored row: an array in this order, with request classes by name."""

    admission_probability: float
    last_error: float
    mean_execution_time: float
    execution_times: dict[str, float]
    call_time: float
    baseline_call_time: float


@dataclass(frozen=True, slots=True)
class RecoveredLearnedState:
    """Learned state of an earlier process; `written_at` is Unix time in tenths of a ms."""

    state: LearnedState
    written_at: int


def encode_learned_state(
    state: LearnedState, request_classes: dict[str, RequestClass], expires_at: int
) -> RowUpdate:
    """Returns the row to be written, without request classes that are not configured.

    `expires_at` is Unix time in tenths of a millisecond.
    """
    execution_times = {
        request_class.name: execution_time
        for request_class, execution_time in state.execution_times.items()
        if request_classes.get(request_class.name) is request_class
    }
    row = LearnedStateRow(
        state.admission_probability,
        state.last_error,
        state.mean_execution_time,
        execution_times,
        state.call_time,
        state.baseline_call_time,
    )
    return RowUpdate(Table.LEARNED, ROW_KEY, msgspec.msgpack.encode(row), expires_at)


def decode_learned_state(
    rows: list[Record], request_classes: dict[str, RequestClass], unix_now: int
) -> RecoveredLearnedState | None:
    """Returns the learned state in the rows; None if its row is missing, expired or unreadable.

    `unix_now` is in tenths of a millisecond.
    """
    for record in rows:
        if record.table == Table.LEARNED and record.key == ROW_KEY:
            break
    else:
        return None
    if record.value is None or record.expires_at <= unix_now:
        return None
    try:
        row = msgspec.msgpack.decode(record.value, type=LearnedStateRow)
    except msgspec.MsgspecError:
        return None
    execution_times = {
        request_classes[name]: execution_time
        for name, execution_time in row.execution_times.items()
        if name in request_classes
    }
    state = LearnedState(
        row.admission_probability,
        row.last_error,
        row.mean_execution_time,
        execution_times,
        row.call_time,
        row.baseline_call_time,
    )
    return RecoveredLearnedState(state, record.written_at)


def restore(
    controller: Controller, recovered: RecoveredLearnedState, now: int, half_life: int
) -> None:
    """Restores learned state with a weight that is halved for each `half_life` of its age.

    If the clock has been set back since the state was written, its age is unknown; it then has half
    the weight of state written now. Times are in tenths of a millisecond.
    """
    state = recovered.state
    row = Record(0, Table.LEARNED, ROW_KEY, None, 0, recovered.written_at)
    is_from_past = recovered.written_at <= now
    weight = age_weight(row, now, half_life) if is_from_past else SET_BACK_CLOCK_WEIGHT
    log.info(
        {
            "event": "learned_state_restored",
            "admission_probability": round(state.admission_probability, 3),
            "request_classes": len(state.execution_times),
            "age_s": max(0, now - recovered.written_at) // SECOND,
            "weight": round(weight, 3),
        }
    )
    controller.restore_learned_state(state, weight)
