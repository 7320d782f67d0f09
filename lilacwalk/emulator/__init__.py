"""Discrete-event simulations that run the program's own state machines in simulated time.

`simulation` runs app servers with the real controller; `datagrams` runs fleet membership over
simulated links that lose and delay datagrams and can be cut. Both import the program's decision
code, so that they run the same code as an app server."""
