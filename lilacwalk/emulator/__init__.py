"""Discrete-event simulations that run the program's own state machines in simulated time.

`simulation` runs app servers with the real controller; `datagrams` runs fleet membership over links that lose
and delay datagrams and can be cut. The decision code is imported, not copied."""
