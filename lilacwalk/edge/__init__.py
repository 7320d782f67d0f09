"""Devices on links that stall, lose and come back. What decides, without I/O: `session` (what a device asked,
what is kept for it), `sessions` (which are kept), `repeats` (which asks are the same one), `link` (what a
link can do), `rates` (who is too slow), `arrivals` (who may come in), `tokens`, and `serving`, which holds
them together; `wheel` and `sketch` are structures of theirs. `frames` is the codec, `host` the sockets,
`client` the other end."""
