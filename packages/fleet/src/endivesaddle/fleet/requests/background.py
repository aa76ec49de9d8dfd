"""Background tasks that outlive the call that started them."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.requests.events import TASK_FAILED

Work = Callable[..., Awaitable[None]]


class BackgroundTasks:
    """Starts tasks in a task group of the instance, never in that of a call.

    A call is cancelled when its connection breaks; the tasks it started must not be.
    """

    def __init__(self) -> None:
        """Initialize; tasks started before ``run`` are queued."""
        self._group: TaskGroup | None = None
        self._waiting: list[tuple[Work, tuple[Any, ...]]] = []

    async def run(self) -> None:
        """Run the started tasks until cancelled."""
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
        """Start ``work(*args)`` as a task."""
        if self._group is None:
            self._waiting.append((work, args))
            return
        self._group.start_soon(_guard, work, args)


async def _guard(work: Work, args: tuple[Any, ...]) -> None:
    # An uncaught exception in the task of one request would cancel all other tasks.
    try:
        await work(*args)
    except Exception as error:  # noqa: BLE001
        TASK_FAILED.log(task=getattr(work, '__qualname__', ''), error=repr(error))
