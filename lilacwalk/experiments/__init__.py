"""Experiments in simulated time and reports of plans: tables as Parquet, charts in HTML pages.

Needs the extra `experiments`."""
