"""BGP announcements of service addresses, beside RFC 4271. What decides: `session` (one connection's finite
state machine), `peering` (a peer's two possible connections, its routes both ways), `announcing` and
`damping` (when this node is announced and how), `policy`, `trie`, `routes`, and `speaking`, which holds them
together. `messages`, `attributes` and `capabilities` are the codec, `speaker` and `answering` the host."""
