"""Stand-ins for the other side of each protocol: for tests, fault-injection scenarios and benchmarks."""
