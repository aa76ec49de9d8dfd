"""A bound on the memory of buffered responses, over all requests of a process."""

from collections.abc import Callable

from endivesaddle.fleet.interfaces import ServerLost

MAX_HELD_BYTES = 1 << 25
"""Maximum of buffered bytes of all responses of a process."""
FREE_BYTES = 1 << 14
"""Bytes that each response may always hold, so that ordinary ones never depend on others."""


class ResponseTooLong(ServerLost):
    """A response exceeds a bound, whose size is ``limit``."""

    def __init__(self, bound: str, received: int, limit: int) -> None:
        """Describe what was received; ``bound`` says what is counted, mostly bytes."""
        super().__init__(f'{bound}: {received}, at most {limit}')
        self.bound = bound
        self.received = received
        self.limit = limit


class HeldBytes:
    """The bytes that the responses of one process hold together."""

    def __init__(
        self, unsent_bytes: Callable[[], int] = int, limit_bytes: int = MAX_HELD_BYTES
    ) -> None:
        """Hold nothing yet; ``unsent_bytes`` returns what waits to be sent, which counts too."""
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._unsent_bytes = unsent_bytes

    def has_room(self, more_bytes: int) -> bool:
        """Return whether ``more_bytes`` may be held."""
        return self.total_bytes + more_bytes + self._unsent_bytes() <= self.limit_bytes

    def share(self) -> 'HeldShare':
        """Return the share of one response; it must be released."""
        return HeldShare(self)


class HeldShare:
    """The bytes that one response holds."""

    def __init__(self, held: HeldBytes) -> None:
        """Hold nothing yet of ``held``."""
        self._held = held
        self._counted_bytes = 0

    def resize(self, held_bytes: int) -> bool:
        """Hold ``held_bytes`` from now on; return False, and change nothing, if that is too much.

        The first ``FREE_BYTES`` are not counted.
        """
        counted_bytes = max(0, held_bytes - FREE_BYTES)
        more_bytes = counted_bytes - self._counted_bytes
        if more_bytes > 0 and not self._held.has_room(more_bytes):
            return False
        self._held.total_bytes += more_bytes
        self._counted_bytes = counted_bytes
        return True

    def exceeded(self, held_bytes: int) -> ResponseTooLong:
        """Return the error of a response that can't hold ``held_bytes``."""
        return ResponseTooLong(
            'bytes held for all requests',
            self._held.total_bytes + held_bytes,
            self._held.limit_bytes,
        )

    def release(self) -> None:
        """Hold nothing any more."""
        self.resize(0)
