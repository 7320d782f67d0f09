"""Storage that survives a crash: an append-only log with snapshots on a durable disk.

These modules do no I/O:

- `journal` decides when to write, sync, rotate and snapshot, and how to react to disk errors. It
  uses `acknowledgements` (records that are not acknowledged yet), `snapshot_writer` (the rows of a
  snapshot) and `store_files` (names and sizes of files, and which of them are obsolete).
- `recovery` decides which bytes of the files are valid after a crash.
- `state` holds the rows that result from replaying the records.
- `effect_log` decides which requests with an effect may run.
- `ownership` decides whether a node may use a directory.
- `operations` defines the types that the journal, the store and the store's callers exchange.
- `records` encodes and decodes records and files.
- `config` defines the operator's settings.

`disk` is the interface to files, `store` the thread that runs the journal on a disk, and
`compaction` compacts a closed store for the operator.
"""
