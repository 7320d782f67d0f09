"""The operator's settings for retry storms, validated by `operator/` when the file is read.

`keyword` is the keyword in the operator's file, if it differs from the field's name.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct


class RetryStormConfig(Struct, frozen=True, kw_only=True):
    """The `storms` block; an empty block damps storms with these defaults.

    Attributes:
        retry_ratio: retries admitted for each completed request: at 0.1, retries add at most a
            tenth to the load.
        limits_retries: whether retries beyond the budget that `retry_ratio` sets are rejected in a
            storm.
        spreads_retry_after: whether retry-after times are spread over the backlog.
        sheds_late_first: whether requests that cannot be answered in time are rejected first.
        socket: path of the admin socket, which `lilacwalk storms show` queries.
    """

    retry_ratio: Annotated[float, Meta(ge=0.01, le=1.0, extra={"keyword": "retries"})] = 0.1
    limits_retries: Annotated[bool, Meta(extra={"keyword": "budget"})] = True
    spreads_retry_after: Annotated[bool, Meta(extra={"keyword": "spread"})] = True
    sheds_late_first: Annotated[bool, Meta(extra={"keyword": "late-first"})] = True
    socket: str | None = None
