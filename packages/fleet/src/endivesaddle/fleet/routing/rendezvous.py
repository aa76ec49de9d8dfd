"""An order that is the same on all instances without communication (highest random weight)."""

import hashlib


def weight(subject: str, member: str) -> bytes:
    """Return the sort key of ``member`` for ``subject``, the same on all instances."""
    return hashlib.blake2b(f'{subject}/{member}'.encode(), digest_size=8).digest()
