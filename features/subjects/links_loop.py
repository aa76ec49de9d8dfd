"""An event loop in virtual time that lives through all steps of a scenario."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import looptime


class ScenarioLoop:
    """Run one step after the other on one loop; tasks wait between the steps."""

    def __init__(self) -> None:
        """Start at time zero; ``close`` ends it."""
        self._runner = asyncio.Runner(loop_factory=_new_loop)

    def run(self, main: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
        """Run ``main`` to its end."""

        async def wrapped() -> Any:
            return await main(*arguments)

        return self._runner.run(wrapped())

    def close(self) -> None:
        """Cancel what still runs and end the loop."""
        self._runner.close()


def _new_loop() -> asyncio.AbstractEventLoop:
    return looptime.new_event_loop(start=0, _enabled=True)
