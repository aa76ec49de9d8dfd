"""Run a coroutine in virtual time: sleeps cost nothing and never differ."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import looptime

Result = TypeVar('Result')


def run(main: Callable[[], Awaitable[Result]]) -> Result:
    """Run ``main()`` to its end on an event loop in virtual time."""
    return anyio.run(main, backend='asyncio', backend_options={'loop_factory': _new_loop})


def _new_loop() -> asyncio.AbstractEventLoop:
    return looptime.new_event_loop(start=0, noop_cycles=1, _enabled=True)
