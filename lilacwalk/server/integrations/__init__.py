"""Connects the event loop to the optional subsystems, by one integration module for each."""
