"""Run stand-ins as one process: ``store``, or ``engines N`` with ``services M`` beside them.

Prints "NAME URL" for each stand-in, and a line for each arrival and end of work at a
backend server: "seen UNIX_S SERVER REQUEST_KEY", "ended UNIX_S SERVER REQUEST_KEY TOKENS".
Lines that were printed survive a SIGKILL of the process.
"""

import signal
import sys
import time
from contextlib import AsyncExitStack
from typing import Any

import anyio

from endivesaddle.fleet.clock import WallClock
from endivesaddle.stand_ins.demo_speech import say
from endivesaddle.stand_ins.engine import EngineApp, Message, Receive, Send
from endivesaddle.stand_ins.engine_state import EngineState, EngineSwitches
from endivesaddle.stand_ins.etcd_gateway import EtcdGateway
from endivesaddle.stand_ins.etcd_serving import serve_asgi
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.stand_ins.service import ServiceApp, ServiceState

SPEED = EngineSwitches(answer_tokens=40, first_token_s=0.05, token_s=0.03)


class Told:
    """Prints what arrives at a backend server, and what it generated for it."""

    def __init__(self, name: str, app: Any, state: EngineState | ServiceState) -> None:
        """Stand before ``app``."""
        self._name = name
        self._app = app
        self._state = state

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        headers = dict(scope.get('headers', ()))
        key = headers.get(b'x-request-id', b'').decode()
        if not key:
            await self._app(scope, receive, send)
            return
        say(f'seen {time.time()} {self._name} {key}')
        try:
            await self._app(scope, receive, send)
        finally:
            tokens = getattr(self._state, 'generated_tokens', {}).get(key, 0)
            say(f'ended {time.time()} {self._name} {key} {tokens}')


def apps(arguments: list[str]) -> dict[str, Any]:
    """Return the stand-ins that were asked for, by name."""
    clock = WallClock()
    if arguments[0] == 'store':
        return {'store': EtcdGateway(MemoryStore(clock), clock)}
    found: dict[str, Any] = {}
    for name in arguments:
        if name.startswith('llm-'):
            engine = EngineState(switches=SPEED)
            found[name] = Told(name, EngineApp(engine), engine)
        else:
            service = ServiceState()
            found[name] = Told(name, ServiceApp(service), service)
    return found


async def run(arguments: list[str]) -> None:
    """Serve until a signal comes."""
    async with AsyncExitStack() as stack:
        for name, app in apps(arguments).items():
            say(f'{name} {await stack.enter_async_context(serve_asgi(app))}')
        say('all serve')
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            await anext(signals)


if __name__ == '__main__':
    anyio.run(run, sys.argv[1:])
