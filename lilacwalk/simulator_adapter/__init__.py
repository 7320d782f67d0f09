"""Connects controllers to the simulator through its line protocol on standard input and output.

Only this package uses the words of that protocol.
"""
