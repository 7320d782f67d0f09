"""The other end of the device link: `machine` decides what is sent and what an answer means,
without I/O; `device` holds its connection.
"""
