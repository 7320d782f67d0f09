"""Exports the rows of a store as a Parquet file.

The module imports pyarrow, so app servers must not import it."""

from __future__ import annotations

import pyarrow
from pyarrow import parquet

from lilacwalk.storage.state import State, Table

SCHEMA = pyarrow.schema(
    [
        ("table", pyarrow.string()),
        ("key", pyarrow.binary()),
        ("value", pyarrow.binary()),
        ("number", pyarrow.int64()),
        ("until_ms", pyarrow.int64()),
        ("at_ms", pyarrow.int64()),
    ]
)


def export_rows(state: State, target: str) -> int:
    """Writes all rows to the file `target`, and returns their number. Raises OSError.

    Expired rows are included. The columns `until_ms` and `at_ms` are Unix times in ms, at which the
    row expires (0: never) and was written.
    """
    names = {int(table): table.name.lower() for table in Table}
    rows = [
        {
            "table": names.get(row.table, str(row.table)),
            "key": row.key,
            "value": row.value,
            "number": row.sequence,
            "until_ms": row.expires_at // 10,
            "at_ms": row.written_at // 10,
        }
        for row in state.rows.values()
    ]
    parquet.write_table(pyarrow.Table.from_pylist(rows, SCHEMA), target)
    return len(rows)
