"""Measurements, each a command that prints a table and writes it to a file in
`benchmarks/results/`.
"""
