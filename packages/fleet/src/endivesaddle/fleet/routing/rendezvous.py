"""An order that all instances agree on without a word (highest random weight)."""

import hashlib


def weight(subject: str, member: str) -> bytes:
    """Return what ``member`` is ordered by for ``subject``, the same at all instances."""
    return hashlib.blake2b(f'{subject}/{member}'.encode(), digest_size=8).digest()
