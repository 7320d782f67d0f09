"""A view of the fleet that the app servers keep themselves: who is there, in what state, and how far that
can be relied on. What decides: `member` (which of two claims is newer), `view` (the table), `probing` (whom
to ask, when to doubt), `spreading` (what to tell along), `syncing` (settling what gossip missed), `naming`
(our own life and twins), `concluding` (what one node may conclude), `floor` (how many may withdraw at
once), and `membership`, which puts them together. `messages` is the codec, `host` the sockets and the
clock."""
