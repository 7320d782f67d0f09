"""What must outlive a crash, for installations with a lasting disk: an append-only log with snapshots. What
decides: `journal` (when to write, sync, rotate, snapshot; what a failing disk means), `recovery` (what of the
files is to be believed), `state` (what the records add up to). `records` is the codec, `disk` the seam to
files, `store` the host."""
