"""Steady requests through all routers, and when backend servers got them."""

from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.stand_ins.engine_state import EngineState
from endivesaddle.stand_ins.memory_caller import Got
from subjects.trace_firm import World, key_of

CHAT = '/v1/chat/completions'
EVERY_S = 0.1
MAX_TOKENS = 60


class Sent(NamedTuple):
    """One request: where it was sent and what came back; nobody tries again."""

    router: str
    key: str
    began_unix_s: float
    got: Got


class Seen(list[str]):
    """What an engine has seen, with the time of each arrival."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing."""
        super().__init__()
        self.times_unix_s: list[float] = []
        self._clock = clock

    def append(self, request_key: str) -> None:
        """Note an arrival."""
        super().append(request_key)
        self.times_unix_s.append(self._clock.now_s())


class Load:
    """Sends a streamed request every tenth of a second, to each router in turn."""

    def __init__(self, world: World, account: str) -> None:
        """Send in the name of ``account``."""
        self.sent: list[Sent] = []
        self._world = world
        self._account = account
        self._stopped = False
        self._seen: dict[str, Seen] = {}
        for name, engine in world.engines.items():
            self._seen[name] = self._watch(engine)

    async def run(self) -> None:
        """Send until stopped; returns when the last answer has ended."""
        routers = self._world.routers
        number = 0
        async with anyio.create_task_group() as group:
            while not self._stopped:
                group.start_soon(self._send, routers[number % len(routers)], number)
                number += 1
                await anyio.sleep(EVERY_S)

    def stop(self) -> None:
        """Send no more."""
        self._stopped = True

    def last_arrival_unix_s(self, sidecar: str) -> float:
        """Return when the engine beside a sidecar got its last request; 0: never."""
        return max(self._seen[sidecar].times_unix_s, default=0)

    def arrivals_after(self, sidecar: str, moment_unix_s: float) -> int:
        """Return how many requests the engine got after a moment."""
        return sum(at > moment_unix_s for at in self._seen[sidecar].times_unix_s)

    def arrived(self, key: str) -> bool:
        """Tell whether any engine got a request."""
        return any(f'{self._account}/{key}' in seen for seen in self._seen.values())

    def _watch(self, engine: EngineState) -> Seen:
        seen = Seen(self._world.fleet.clock)
        engine.seen = seen
        return seen

    async def _send(self, router: str, number: int) -> None:
        if self._world.fleet.running[router].address not in self._world.fleet.net.nodes:
            return
        began_unix_s = self._world.fleet.clock.now_s()
        body = {
            'model': 'board',
            'messages': [{'role': 'user', 'content': f'brief-{number}. w w w w'}],
            'max_tokens': MAX_TOKENS,
            'stream': True,
        }
        key = f'brief-{number}'
        headers = {'idempotency-key': key, 'x-stainless-retry-count': '0'}
        caller = self._world.fleet.caller(router, key_of(self._account))
        got = await caller.post(CHAT, body, headers)
        self.sent.append(Sent(router, key, began_unix_s, got))
