"""Tasks that outlive the call that began them."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.requests.events import TASK_FAILED

Work = Callable[..., Awaitable[None]]


class BackgroundTasks:
    """Start tasks in the instance's own task group, never in that of a call.

    A call is cancelled when its link breaks; what it began must not be.
    """

    def __init__(self) -> None:
        """Keep what is started before ``run``."""
        self._group: TaskGroup | None = None
        self._waiting: list[tuple[Work, tuple[Any, ...]]] = []

    async def run(self) -> None:
        """Carry out what is started, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while self._waiting:
                work, args = self._waiting.pop(0)
                self.start(work, *args)
            try:
                await anyio.sleep_forever()
            finally:
                self._group = None

    def start(self, work: Work, *args: Any) -> None:
        """Start ``work(*args)``."""
        if self._group is None:
            self._waiting.append((work, args))
            return
        self._group.start_soon(_guard, work, args)


async def _guard(work: Work, args: tuple[Any, ...]) -> None:
    # A fault in one request's task would cancel the tasks of all others.
    try:
        await work(*args)
    except Exception as error:  # noqa: BLE001
        TASK_FAILED.log(task=getattr(work, '__qualname__', ''), error=repr(error))
