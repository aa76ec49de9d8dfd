"""Where streams began: the service and the software version of the server of the first event.

Without I/O.  What two versions write does not fit together, so that a stream can continue only at
servers of its version.  An origin is kept until the caller's deadline: nobody can take the stream
up after that.
"""

import hashlib
from collections.abc import Iterator
from typing import NamedTuple

KEY_BYTES = 12
MAX_ORIGINS = 1 << 16
"""With more streams, the oldest origins are evicted: their streams can't be taken up any more."""


class StreamOrigin(NamedTuple):
    """The service and the software version at which a stream began."""

    service: str
    version: str


class KnownOrigin(NamedTuple):
    """The origin of a stream, when this instance learned it and until when it is kept."""

    origin: StreamOrigin
    learned_unix_s: float
    until_unix_s: float


def stream_key(account: str, request_id: str) -> bytes:
    """Return the key of the stream whose first event came with a request of an account.

    The hash is cryptographic, since callers choose the ids of their requests: nobody can replace
    the origin of another's stream.
    """
    named = f'{len(account)}:{account}{request_id}'.encode()
    return hashlib.blake2b(named, digest_size=KEY_BYTES).digest()


class StreamOrigins:
    """The origins of streams that may be taken up again, by key, oldest first."""

    def __init__(self) -> None:
        """Initialize without streams."""
        self._origins: dict[bytes, KnownOrigin] = {}

    def __len__(self) -> int:
        """Return the number of origins."""
        return len(self._origins)

    def __iter__(self) -> Iterator[tuple[bytes, KnownOrigin]]:
        """Iterate over the keys of streams and their origins."""
        return iter(tuple(self._origins.items()))

    def record(
        self, key: bytes, origin: StreamOrigin, until_unix_s: float, now_unix_s: float
    ) -> bool:
        """Keep an origin until ``until_unix_s``; return whether it was unknown.

        A stream has one origin: a known one is never replaced, only kept for longer.
        """
        known = self.find(key, now_unix_s)
        if known is not None:
            latest_unix_s = max(known.until_unix_s, until_unix_s)
            self._origins[key] = known._replace(until_unix_s=latest_unix_s)
            return False
        self._origins[key] = KnownOrigin(origin, now_unix_s, until_unix_s)
        if len(self._origins) > MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]
        return True

    def find(self, key: bytes, now_unix_s: float) -> KnownOrigin | None:
        """Return the origin of a stream, None if it is unknown or no longer kept."""
        known = self._origins.get(key)
        if known is None:
            return None
        if known.until_unix_s <= now_unix_s:
            del self._origins[key]
            return None
        return known

    def expire(self, now_unix_s: float) -> None:
        """Drop the origins that are no longer kept."""
        expired = [key for key, one in self._origins.items() if one.until_unix_s <= now_unix_s]
        for key in expired:
            del self._origins[key]
