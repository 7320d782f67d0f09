"""Reports of plans and measurements: tables as Parquet, charts in a page. Needs the extra `experiments`."""
