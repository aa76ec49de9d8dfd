"""The delay before an instance takes over again a shard that it has lost."""

_FIRST_DELAY_S = 2.0
_MAX_DELAY_S = 300.0
_RESET_AFTER_S = 60.0


class TakeoverBackoff:
    """Exponential backoff for a shard that two routers take from each other.

    Two routers that don't see each other both consider the shard assigned to themselves.
    Each would take it from the other forever and strand its tokens every time.  With
    growing delays this happens only a few times, and one of them holds it in between.
    """

    def __init__(self) -> None:
        """Initialize with no lost shards."""
        self._acquired_unix_s: dict[int, float] = {}
        self._losses: dict[int, int] = {}

    def acquired(self, shard: int, now_unix_s: float) -> None:
        """Record that a shard was acquired."""
        self._acquired_unix_s[shard] = now_unix_s

    def lost(self, shard: int, now_unix_s: float) -> float:
        """Record that a shard was lost; return the delay in seconds before the next takeover."""
        if self._acquired_unix_s[shard] + _RESET_AFTER_S < now_unix_s:
            self._losses[shard] = 0
        losses = self._losses.get(shard, 0)
        self._losses[shard] = losses + 1
        return min(_MAX_DELAY_S, _FIRST_DELAY_S * 2**losses)
