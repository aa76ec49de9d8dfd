"""Run a process from its first line to its last: signals, and the error that ends it."""

import traceback
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from endivesaddle.daemon import events
from endivesaddle.daemon.received_signals import STOP, WITHOUT_STOP, received
from endivesaddle.fleet.errors import UserError

Result = TypeVar('Result')


def run_process(main: Callable[..., Awaitable[Result]], *arguments: object) -> Result:
    """Run ``main`` to its end; no signal but SIGKILL ends the process before.

    ``main`` runs a ``SignalReader``, or it can't be stopped.  Errors are raised again, in groups.
    """
    signals = received()
    signals.take((*STOP, *WITHOUT_STOP))
    try:
        return anyio.run(main, *arguments)
    except* UserError:
        raise
    except* Exception as errors:
        events.FAILED.log(error=repr(errors), trace=traceback.format_exc(limit=-4))
        raise
    finally:
        signals.ignore()
