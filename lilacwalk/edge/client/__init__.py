"""Client side of the device link and of CoAP.

`state` implements the session protocol without I/O; `device` implements the connection. `coap` is
the CoAP client.
"""
