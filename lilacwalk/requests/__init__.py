"""Requests to this server, independent of any protocol.

- `records`: records of a received request, a request in flight and a response.
- `in_flight`: the table of requests in flight.
- `result_cache`: keys and results of requests, used to detect and answer duplicates.
"""
