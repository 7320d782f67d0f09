"""Stand-ins for the peers of an app server, and fleets of real processes.

Tests, fault-injection scenarios and benchmarks use them.
"""
