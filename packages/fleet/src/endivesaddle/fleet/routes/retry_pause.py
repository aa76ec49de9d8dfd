"""Pauses between attempts to read a store that does not answer."""

from endivesaddle.fleet.routes.store_settings import FIRST_PAUSE_S, StoreSettings


class RetryPause:
    """Exponential backoff between the attempts of one task, without I/O.

    Load pattern: the store is down, and all routers try to read it again and again, each directly
    and through sidecars, so that a store that is just coming back gets most of a day's calls.
    """

    def __init__(self, settings: StoreSettings) -> None:
        """Start with the shortest pause; ``settings`` limit the longest."""
        self._settings = settings
        self._next_s = FIRST_PAUSE_S

    def next_s(self) -> float:
        """Return the pause in seconds after another failed attempt; it doubles each time."""
        pause_s = self._next_s
        self._next_s = min(2 * pause_s, self._settings.store_retry_max_s)
        return pause_s

    def reset(self) -> None:
        """Start over after an attempt that succeeded."""
        self._next_s = FIRST_PAUSE_S
