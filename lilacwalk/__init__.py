"""lilacwalk: an overload controller that lives inside each app server of a fleet."""

__version__ = "0.1.0"
