"""Background tasks that are started again when they break off."""

import traceback
from collections.abc import Awaitable, Callable

import anyio

from endivesaddle.daemon import events

RESTART_AFTER_S = 1.0


async def keep(name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Run a background task until it returns; start it again if it fails.

    A fault in one part (a store answer nobody thought of) would otherwise end
    the whole process and cut its streams; started again, the part reads its
    state from the store or from peers as after a restart.
    """
    while True:
        try:
            return await task()
        except Exception as error:  # noqa: BLE001
            trace = traceback.format_exc(limit=-4)
            events.TASK_FAILED.log(task=name, error=repr(error), trace=trace)
        await anyio.sleep(RESTART_AFTER_S)
