"""Experiments in simulated time, failover plan reports and store exports.

Tables are written as Parquet files, charts in HTML pages. Requires the packages of the extra
`experiments`."""
