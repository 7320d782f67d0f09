"""The front ends: each receives requests over one protocol and sends the responses.

- `interface`: what front ends require of the event loop.
- `proxy_resp2`, `proxy_housekeeping`: the front end for proxies.
- `devices`: the front end for devices.

A front end decides which of its connections stay open. The controller decides which requests are
admitted, with one admission probability for all front ends.
"""
