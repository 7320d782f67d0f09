"""Gossip-based group membership: the members, their state, and how reliable this view is.

The protocol is SWIM (Das, Gupta, Motivala 2002) with the Lifeguard refinements (Dadgar, Phillips,
Currey 2017) and an anti-entropy exchange of full state between members whose views differ.

The state machine does no I/O: `swim` (coordinates the components), `local_node` (the member's own
metadata and shared state), `incarnation` (its identity and name conflicts), `member` and `view`
(the member table), `receiving` and `claims` (handling of datagrams and of the claims in them),
`probing`, `suspicion` and `failure_detector` (detection of failed members), `dissemination`
(piggybacked gossip), `join` and `state_exchange` (finding members, repairing what gossip missed),
`assessment`, `conclusions`, `partitions` and `minimum_healthy` (conclusions drawn from the view),
`persistence` (which data is stored, and when).

Codec: `messages`. Host: `host` (thread of the state machine), `transport` and `datagram_reader`
(socket), `member_store` (disk), `keys` (key file), `admin` (admin socket), `hooks` (callbacks),
`errors`.
"""
