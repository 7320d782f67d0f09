"""Discrete-event simulations that run the program's own state machines in simulated time.

`simulation` runs app servers with the real controller; `datagrams` runs fleet membership over links that lose,
delay and cut datagrams. The decision code is imported, not copied."""
