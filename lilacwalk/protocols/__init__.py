"""The protocols between this server and the other processes of the platform.

Each protocol has a codec, which converts between bytes and typed messages and does no I/O, and
sockets and threads around it, which post received messages to the event loop's queue:

- `proxy_codec`, `proxy_connection`, `proxy_listener`: proxies that send requests.
- `executor_codec`, `executor_client`: the executor that runs them.
- `dependency_codec`, `dependency_connection`, `dependency_client`: calls to the dependency.
- `registry`: health reports to the service registry.
- `admin_socket`: queries by an operator.

`resp` and `lines` implement the framing that the codecs share; `send_buffer` and `listener` are
shared by all protocols.
"""
