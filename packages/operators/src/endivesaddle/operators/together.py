"""Do several things at once, a few at a time, and fail with the first error."""

from collections.abc import Awaitable, Callable, Iterable

import anyio

AT_ONCE = 16
Job = Callable[[], Awaitable[object]]


async def together(jobs: Iterable[Job], at_once: int = AT_ONCE) -> None:
    """Run all jobs; raise the first error itself, not a group of them."""
    limit = anyio.Semaphore(at_once)
    errors: list[Exception] = []

    async def guarded(job: Job) -> None:
        async with limit:
            if errors:
                return
            try:
                await job()
            except Exception as error:  # noqa: B902 (raised again below)
                errors.append(error)

    async with anyio.create_task_group() as tasks:
        for job in jobs:
            tasks.start_soon(guarded, job)
    if errors:
        raise errors[0]
