"""CoAP over UDP (RFC 7252) for devices that hold no connection. What decides: `reliability` (retransmission,
duplicates, congestion), `blocks` (bodies in pieces), `proof` (whose address is whose) and `serving`.
`messages` is the codec; the host is the edge's."""
