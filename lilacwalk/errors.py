"""The base class of the errors raised by this package."""

from __future__ import annotations


class LilacwalkError(Exception):
    """Base class of this package's errors.

    Subclasses describe the failure in their message and hold its details as attributes.
    """
