"""The base class of the errors raised by this package."""

from __future__ import annotations


class LilacwalkError(Exception):
    """Derived errors hold the details of a failure as attributes and state it in their message."""
