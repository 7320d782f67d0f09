"""Decides whether a node may use a store directory, from its owner file and file names. No I/O."""

from __future__ import annotations

import msgspec

from lilacwalk.errors import LilacwalkError
from lilacwalk.storage.records import FORMAT_VERSION

OWNER_FILE = "owner"
LOCK_FILE = "lock"
STORE_FILE_PREFIXES = ("log-", "snap-", "aside-")


class OwnershipError(LilacwalkError):
    """This process may not use the directory, for a reason other than a disk error.

    Attributes:
        path: the directory.
        reason: why this process may not use it.
    """

    def __init__(self, path: object, reason: str) -> None:
        """Creates an error whose message is the path followed by the reason."""
        super().__init__(f"{path} {reason}")
        self.path = path
        self.reason = reason


class Owner(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the owner file: the node that owns the directory, and its format version."""

    node: str
    format: int


def encode_owner(node: str) -> bytes:
    """Returns the content of the owner file for this node."""
    return msgspec.json.encode(Owner(node, FORMAT_VERSION))


def refusal_reason(owner_bytes: bytes | None, node: str, other_names: list[str]) -> str:
    """Returns why the node may not use the directory; empty if it may.

    Args:
        owner_bytes: content of the owner file; None if the file does not exist.
        node: name of the node that opens the directory.
        other_names: names of the other files in the directory.
    """
    if owner_bytes is None:
        foreign_names = [name for name in other_names if not name.startswith(STORE_FILE_PREFIXES)]
        return f"holds {foreign_names[0]}, which is not a store file" if foreign_names else ""
    try:
        owner = msgspec.json.decode(owner_bytes, type=Owner)
    except msgspec.MsgspecError:
        return "has an owner file that cannot be decoded"
    if owner.node != node:
        return f"belongs to node {owner.node}, this is node {node}"
    if owner.format > FORMAT_VERSION:
        return f"has format {owner.format}, this program supports up to {FORMAT_VERSION}"
    return ""
