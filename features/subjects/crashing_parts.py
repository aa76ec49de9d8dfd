"""Subject: requests that share parts of their prompts, one of which crashes servers."""

import asyncio
import itertools
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import anyio

from endivesaddle.fleet.routes.declared import RouteAccount
from endivesaddle.fleet.routes.forwarded import ForwardRequest
from subjects.crashing_fleet import OTHER, OWNER, CrashingFleet
from subjects.forward_runs import RecordingSink

STABLE_S = 3.0
STEP_S = 0.05
SOUND_PER_S = 24.0
BAD_PER_S = 1.5
PARTS = 12
RUN_S = 0.15
FIRST = 'first'
OTHER_FIRST = 'other-first'
BAD = 'bad'
OTHER_BAD = 'other-bad'
SUCCESS = 200
CRASHES = 5
"""Crashes after which a part may reach servers three times more."""


class Sent(NamedTuple):
    """A caller's request and what became of it."""

    at_unix_s: float
    parts: tuple[str, ...]
    sink: RecordingSink


class PartTraffic(CrashingFleet):
    """Routers, and callers whose requests are all different but share parts of their prompts."""

    def __init__(self, routers: int, servers: int, sidecars: int = 0) -> None:
        """Start them; nothing crashes servers yet."""
        super().__init__(routers, servers, sidecars)
        self.sent: list[Sent] = []
        self.place = 'middle'
        self.bad: Sequence[str] = (BAD,)
        self.repeats = 1
        self.random = Random(1)
        self._requests = itertools.count()
        self._prompt: tuple[str, ...] = ()
        self._running_requests: set[asyncio.Future[None]] = set()
        self.servers.run_s = RUN_S

    def run(self, seconds: float, bad: bool = True) -> None:
        """Let callers send sound requests, and those with the crashing part if ``bad``."""
        self._loop.run(self._run, seconds, bad)

    def crash_servers(self, count: int) -> None:
        """Crash that many servers at once, for no reason of a request."""
        self._loop.run(self._crash_servers, count)

    def make_up_parts(self, requests: int, parts: int) -> None:
        """Send requests of another account with many parts that nobody shares, beside a bad one."""
        self._loop.run(self._make_up_parts, requests, parts)

    def cut_router(self, number: int) -> None:
        """Cut a router off from the others and from the store."""
        self._routers[number].cut.cut = True
        self._net.kill(self._routers[number].address)

    def records(self) -> int:
        """Return the most records that a router keeps."""
        return max(len(router.dispatcher.crashes) for router in self._routers)

    def late_sendings(self, part: str = BAD) -> int:
        """Return how often a part reached servers long after it had crashed enough of them."""
        crashes_unix_s = [one.at_unix_s for one in self.servers.arrived if part in one.parts]
        if len(crashes_unix_s) <= CRASHES:
            return 0
        stable_unix_s = crashes_unix_s[CRASHES - 1] + self.servers.run_s + STABLE_S
        return sum(at_unix_s > stable_unix_s for at_unix_s in crashes_unix_s)

    def sound_share(self, since_unix_s: float) -> float:
        """Return the share of sound requests from a time on that reached a server."""
        sound = [
            one
            for one in self.sent
            if one.at_unix_s >= since_unix_s and not set(one.parts) & {BAD, OTHER_BAD}
        ]
        refused = sum(one.sink.refusal is not None for one in sound if one.sink.status == 503)
        assert len(sound) > PARTS
        return 1 - refused / len(sound)

    def settled_unix_s(self) -> float:
        """Return when sound requests have to begin as often as before."""
        crashes_unix_s = self.servers.crashes_unix_s
        last = min(len(crashes_unix_s), CRASHES) - 1
        return crashes_unix_s[last] + 2 * STABLE_S

    def refused_bad(self) -> list[RecordingSink]:
        """Return the answers to the last requests with the crashing part."""
        return [one.sink for one in self.sent if BAD in one.parts][-3:]

    async def _run(self, seconds: float, bad: bool) -> None:
        end_unix_s = self._clock.now_s() + seconds
        while self._clock.now_s() < end_unix_s:
            self._send_some(SOUND_PER_S, self._sound_prompt)
            if bad:
                self._send_some(BAD_PER_S * len(self.bad), self._bad_prompt)
            await anyio.sleep(STEP_S)
        await anyio.sleep(1)

    def _send_some(self, per_s: float, prompt) -> None:
        at_s = self.random.expovariate(per_s)
        while at_s < STEP_S:
            self._begin(prompt(), OWNER)
            at_s += self.random.expovariate(per_s)

    def _begin(self, parts: tuple[str, ...], account: RouteAccount) -> None:
        task = asyncio.ensure_future(self._send(parts, account))
        self._running_requests.add(task)
        task.add_done_callback(self._running_requests.discard)

    async def _send(self, parts: tuple[str, ...], account: RouteAccount) -> None:
        """Send a request, and again at another router if it failed and its caller repeats."""
        body = f'request-{next(self._requests)}'.encode()
        for _ in range(self.repeats if set(parts) & {BAD, OTHER_BAD} else 1):
            self._prompt = (*parts, body.decode())
            sink = RecordingSink()
            self.sent.append(Sent(self._clock.now_s(), parts, sink))
            request = self._made(body, account)
            await self._runners[self.random.randrange(len(self._runners))].serve(request, sink)
            if sink.status == SUCCESS:
                return

    def _sound_prompt(self) -> tuple[str, ...]:
        first = self.random.choice((FIRST, FIRST, OTHER_FIRST))
        return (first, f'part-{self.random.randrange(PARTS)}')

    def _bad_prompt(self) -> tuple[str, ...]:
        bad = self.random.choice(self.bad)
        part = f'part-{self.random.randrange(PARTS)}'
        return {
            'first': (bad, part),
            'middle': (FIRST, bad, part),
            'next to last': (FIRST, part, bad),
        }[self.place]

    async def _crash_servers(self, count: int) -> None:
        for lifetime in self.servers.running()[:count]:
            self.servers.crash(lifetime)

    async def _make_up_parts(self, requests: int, parts: int) -> None:
        for number in range(requests):
            made_up = tuple(f'made-up-{number}-{part}' for part in range(parts))
            self._begin((FIRST, *made_up), OTHER)
            await anyio.sleep(0.01)

    def _made(self, body: bytes, account: RouteAccount) -> ForwardRequest:
        made = super()._made(body, account)
        return made._replace(parts=tuple((part, 100) for part in self._prompt))
