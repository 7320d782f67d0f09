"""Connects controllers to the simulator through its line protocol on standard input and output.

Only this package uses the message and field names of that protocol, except for the names of
settings, which `lilacwalk.settings` decodes.
"""
