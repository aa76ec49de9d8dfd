"""Subject: an event loop in virtual time."""

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.stand_ins import virtual


class VirtualTime:
    """Sleeps on a loop in virtual time and measures it by its clock."""

    def __init__(self) -> None:
        """Initialize with no elapsed time."""
        self.elapsed_s = 0.0

    def sleep(self, seconds: int) -> None:
        """Sleep on a new loop in virtual time."""
        virtual.run(lambda: self._sleep(seconds))

    async def _sleep(self, seconds: int) -> None:
        clock = LoopClock()
        began_unix_s = clock.now_s()
        await anyio.sleep(seconds)
        self.elapsed_s = clock.now_s() - began_unix_s
