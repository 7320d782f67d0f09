"""The program's own machines in simulated time, between links that lose, delay and cut. `datagrams` is the
world of the view of the fleet; nothing of what decides is copied here."""
