"""CoAP over UDP (RFC 7252) for devices that do not keep a connection.

Modules without I/O: `reliability` (retransmission, duplicates, congestion control), `blocks`
(block-wise transfer), `address_validation` (the Echo option) and `service`. `messages` is the
codec; the edge's host owns the socket.
"""
