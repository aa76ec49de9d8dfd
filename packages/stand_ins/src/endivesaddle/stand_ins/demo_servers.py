"""Run only the stand-ins, as one process: store, two engines, one service.

Routers and sidecars can then be started beside it as processes of their own; it
prints one line "NAME URL" for each stand-in and ends at SIGINT or SIGTERM.
"""

import signal
import sys
from contextlib import AsyncExitStack

import anyio

from endivesaddle.fleet.clock import WallClock
from endivesaddle.stand_ins.demo_speech import say
from endivesaddle.stand_ins.engine import EngineApp
from endivesaddle.stand_ins.engine_state import EngineState, EngineSwitches
from endivesaddle.stand_ins.etcd_gateway import EtcdGateway
from endivesaddle.stand_ins.etcd_serving import serve_asgi
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.stand_ins.service import ServiceApp, ServiceState

ENGINES = ('engine-1', 'engine-2')
SERVICE = 'labels-1'
STORE = 'store'


def switches(arguments: list[str]) -> EngineSwitches:
    """Return the engines' speed: tokens of an answer, seconds to the first and between two."""
    tokens, first_token_s, token_s = arguments or ('8', '0.01', '0.002')
    return EngineSwitches(int(tokens), float(first_token_s), float(token_s))


async def run(speed: EngineSwitches) -> None:
    """Serve all stand-ins until a signal comes."""
    clock = WallClock()
    async with AsyncExitStack() as stack:
        gateway = EtcdGateway(MemoryStore(clock), clock)
        store_url = await stack.enter_async_context(serve_asgi(gateway))
        say(f'{STORE} etcd+{store_url}')
        for name in ENGINES:
            engine = EngineApp(EngineState(switches=speed))
            url = await stack.enter_async_context(serve_asgi(engine))
            say(f'{name} {url}')
        url = await stack.enter_async_context(serve_asgi(ServiceApp(ServiceState())))
        say(f'{SERVICE} {url}')
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            await anext(signals)


if __name__ == '__main__':
    anyio.run(run, switches(sys.argv[1:]))
