"""lilacwalk: an overload controller that lives inside each app server of a fleet."""
