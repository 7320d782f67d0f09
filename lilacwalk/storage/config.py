"""The operator's settings of the store, checked by `operator/` when they are read.

Times are in tenths of a millisecond, sizes in bytes. Where a field's metadata has a `keyword`, the
operator's file uses it in place of the field's name.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

SECOND = 10_000
DAY = 24 * 3600 * SECOND


def unit(name: str, keyword: str, *, ge: int, le: int) -> Meta:
    """Returns a field's metadata.

    Args:
        name: unit in which the operator's file states the value.
        keyword: keyword of the field in the operator's file.
        ge: smallest permitted value.
        le: largest permitted value.
    """
    return Meta(extra={"unit": name, "keyword": keyword}, ge=ge, le=le)


class StorageConfig(Struct, frozen=True, kw_only=True):
    """The block `store` of the operator's file.

    Attributes:
        directory: path of the directory that holds the store's files.
        durability: when a record counts as persisted, see `operations.Durability`.
        max_bytes: the store refuses records while its files need at least this size.
        unpersisted_effects: how requests with an effect are handled while they cannot be persisted:
            `refused`, or `marked`, which runs them although a crash may lose the record of them.
        effect_retention: how long the record of a non-idempotent request is valid; with an
            idempotency key, the deduplication window of the request class applies instead.
        learned_half_life: age at which the weight of a learned value is halved.
        damping_retention: how long flap penalties and recovery stages of sites are valid.
        socket: path of the admin socket that `lilacwalk storage show` queries.
    """

    directory: str
    durability: Annotated[str, Meta(pattern="^(none|flushed|synced)$")] = "synced"
    max_bytes: Annotated[int, unit("size", "most", ge=1_000_000, le=1 << 40)] = 64_000_000
    unpersisted_effects: Annotated[
        str, Meta(pattern="^(refused|marked)$", extra={"keyword": "unkept"})
    ] = "refused"
    effect_retention: Annotated[int, unit("duration", "effects", ge=SECOND, le=7 * DAY)] = (
        60 * SECOND
    )
    learned_half_life: Annotated[int, unit("duration", "learned", ge=SECOND, le=7 * DAY)] = (
        600 * SECOND
    )
    damping_retention: Annotated[int, unit("duration", "damping", ge=SECOND, le=7 * DAY)] = (
        3600 * SECOND
    )
    socket: str | None = None
