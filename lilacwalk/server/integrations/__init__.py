"""Connects the event loop to the optional subsystems; each has an integration module."""
