"""How long an instance waits before it takes a shard again that it lost."""

_FIRST_S = 2.0
_LONGEST_S = 300.0
_STEADY_S = 60.0


class TakeoverBackoff:
    """Pauses that grow while a shard goes back and forth.

    Two routers that don't see each other both believe to be responsible.  Each
    would take the shard from the other for ever, and strand its tokens every time;
    with growing pauses they do so a few times, and one of them keeps it meanwhile.
    """

    def __init__(self) -> None:
        """Start with no shard lost."""
        self._taken_unix_s: dict[int, float] = {}
        self._losses: dict[int, int] = {}

    def taken(self, shard: int, now_unix_s: float) -> None:
        """Note that a shard was taken."""
        self._taken_unix_s[shard] = now_unix_s

    def lost(self, shard: int, now_unix_s: float) -> float:
        """Note that a shard was lost; return the seconds to wait."""
        if self._taken_unix_s[shard] + _STEADY_S < now_unix_s:
            self._losses[shard] = 0
        losses = self._losses.get(shard, 0)
        self._losses[shard] = losses + 1
        return min(_LONGEST_S, _FIRST_S * 2**losses)
