"""Serves devices whose links stall, drop and reconnect.

Modules without I/O: `device_service` handles connections, sessions and frames, with the help of
`session` (the requests and unacknowledged answers of one session), `sessions` (the session table),
`duplicate_detector`, `link` (estimates of a link's round trip, loss and throughput), `rates`
(detection of slow senders), `connection_limiter` and `tokens`. `timer_wheel` and `sketch` are data
structures. `frames` encodes and decodes the frames of the device link, `session_codec` the stored
sessions. `coap` serves devices over CoAP, `host` owns the sockets, and `client` is the device's
side.
"""
