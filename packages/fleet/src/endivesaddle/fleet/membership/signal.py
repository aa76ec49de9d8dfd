"""A signal that several tasks wait for and none of them misses."""

import anyio


class Signal:
    """Count firings; a task waits for the next one that it has not seen."""

    def __init__(self) -> None:
        """Start unfired."""
        self.count = 0
        self._event = anyio.Event()

    def fire(self) -> None:
        """Wake all that wait."""
        self.count += 1
        self._event.set()
        self._event = anyio.Event()

    async def beyond(self, seen: int, timeout_s: float = float('inf')) -> int:
        """Wait until the count is above ``seen`` or time is up; return the count."""
        with anyio.move_on_after(timeout_s):
            while self.count <= seen:
                await self._event.wait()
        return self.count
