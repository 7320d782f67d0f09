"""The operator's own file: `syntax` (statements), `units` (words to values), `schema` (which statements there
are), `reading` (a file to orders, or all its errors), `check` (what a file means, told)."""
