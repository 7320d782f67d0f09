"""lilacwalk: an overload controller that runs inside each app server of a fleet."""

__version__ = "0.1.0"
