"""BGP announcements of service addresses (RFC 4271 and extensions).

Protocol logic without I/O: `session` (finite state machine of one connection), `peer` (a peer's
connections, Adj-RIB-In and Adj-RIB-Out), `announcement_policy` and `damping` (when and how this
node is announced), `readiness` (the node's status), `policy` (import and export), `routes` and
`trie` (received routes), and `speaker_state`, which combines them.

Codec: `messages`, `attributes`, `capabilities`, `prefixes`, `errors`. I/O: `speaker_io` (sockets
and threads) and `admin` (admin socket). `config` has the operator's settings.
"""
