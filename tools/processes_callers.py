"""Callers of two client accounts who retry elsewhere, while processes die and pause."""

import itertools
import random
import signal
import time
from collections import Counter
from contextlib import aclosing
from typing import NamedTuple

import anyio
import httpx
import msgspec
from processes_fleet import KEYS, Fleet
from processes_verdict import tell_verdict

from subjects.processes_launch import Running

REQUESTS_PER_S = 24
LOAD_S = 100
READ_S = 5
MOST_ATTEMPTS = 12
MOST_UNKNOWN = 3
PAUSE_S = 0.5
MOST_PAUSE_S = 4
LOOK_S = 0.5
LAST_S = 40
TOKENS = 40
OK = 200
WORDS = 'for a hall'
TIGHT_EVERY = 12
SEED = 7
KINDS = ('stream', 'whole', 'stream', 'service')
DONE = b'data: [DONE]\n\n'


class Attempt(NamedTuple):
    """One attempt of a request at one router; ``not_run`` is None without a refusal."""

    router: str
    began_unix_s: float
    ended_unix_s: float
    outcome: str
    code: str
    not_run: object
    text: str
    retry_after_s: float = 0


class Asked(NamedTuple):
    """A request and its attempts."""

    key: str
    account: str
    kind: str
    attempts: list[Attempt]

    def wanted(self) -> str:
        """Return the text that its whole answer has."""
        if self.kind == 'service':
            return f'{{"plate":"{self.key}","taken":1,"sent_bytes":2}}'
        return ''.join(f'{self.key}{index} ' for index in range(TOKENS))


class Got(NamedTuple):
    """What came of an attempt so far."""

    status: int
    retry_after_s: float
    body: bytearray


class Callers:
    """A steady stream of requests through a balancer that looks at health."""

    def __init__(self, fleet: Fleet, client: httpx.AsyncClient) -> None:
        """Call the routers of a fleet."""
        self.asked: list[Asked] = []
        self.healthy: list[Running] = list(fleet.routers)
        self._fleet = fleet
        self._client = client
        self._random = random.Random(SEED)

    async def balance(self) -> None:
        """Look at the routers' health as a balancer does."""
        while True:
            ready: list[Running] = []
            async with anyio.create_task_group() as group:
                for router in self._fleet.routers:
                    group.start_soon(self._look, router, ready)
            self.healthy = ready or self.healthy
            await anyio.sleep(LOOK_S)

    async def run(self) -> None:
        """Send requests at a steady rate; returns when all have come to an end."""
        until_s = time.perf_counter() + LOAD_S
        with anyio.move_on_after(LOAD_S + LAST_S):
            async with anyio.create_task_group() as group:
                numbers = itertools.count()
                while time.perf_counter() < until_s:
                    group.start_soon(self._ask, next(numbers))
                    await anyio.sleep(1 / REQUESTS_PER_S)

    async def _look(self, router: Running, ready: list[Running]) -> None:
        try:
            answer = await self._client.get(f'{router.http_url}/readyz', timeout=1)
        except httpx.TransportError:
            return
        if answer.is_success:
            ready.append(router)

    async def _ask(self, number: int) -> None:
        account = 'atelier' if number % TIGHT_EVERY else 'tight'
        asked = Asked(f'k{number}x', account, KINDS[number % len(KINDS)], [])
        self.asked.append(asked)
        for count in range(MOST_ATTEMPTS):
            router = self._random.choice(self.healthy)
            attempt = await self._attempt(asked, router, count)
            asked.attempts.append(attempt)
            unknown = [one for one in asked.attempts if one.not_run == 'unknown']
            final = attempt.code in ('budget_exhausted', 'idempotency_conflict')
            if attempt.outcome == 'answered' or final or len(unknown) >= MOST_UNKNOWN:
                return
            pause_s = min(PAUSE_S * 2**count, MOST_PAUSE_S)
            await anyio.sleep(attempt.retry_after_s or pause_s)

    async def _attempt(self, asked: Asked, router: Running, count: int) -> Attempt:
        began_unix_s = time.time()
        got = Got(OK if asked.kind == 'stream' else 0, 0, bytearray())
        try:
            got = await self._send(_request(self._client, asked, router.http_url, count), got)
        except httpx.TransportError as error:
            ended = 'broken', type(error).__name__, None
        else:
            ended = _understand(asked, got)
        text = _text(asked, got) if got.status == OK else ''
        return Attempt(router.name, began_unix_s, time.time(), *ended, text, got.retry_after_s)

    async def _send(self, request: httpx.Request, got: 'Got') -> 'Got':
        answer = await self._client.send(request, stream=True)
        retry_after_s = float(answer.headers.get('retry-after', 0))
        async with aclosing(answer):
            async for chunk in answer.aiter_bytes():
                got.body.extend(chunk)
        return Got(answer.status_code, retry_after_s, got.body)


def _request(client: httpx.AsyncClient, asked: Asked, url: str, count: int) -> httpx.Request:
    headers = {
        'authorization': f'Bearer {KEYS[asked.account]}',
        'idempotency-key': asked.key,
        'x-stainless-retry-count': str(count),
    }
    if asked.kind == 'service':
        path = f'/services/labels/plates/{asked.key}'
        return client.build_request('POST', url + path, content=b'{}', headers=headers)
    body = {
        'model': 'boards',
        'messages': [{'role': 'user', 'content': f'{asked.key} {WORDS}'}],
        'max_tokens': TOKENS,
        'stream': asked.kind == 'stream',
    }
    return client.build_request('POST', f'{url}/v1/chat/completions', json=body, headers=headers)


def _understand(asked: Asked, got: Got) -> tuple[str, str, object]:
    if got.status != OK:
        error = msgspec.json.decode(got.body)['error']
        return 'refused', error['code'], error['not_run']
    if asked.kind == 'stream' and not got.body.endswith(DONE):
        errors = [line for line in got.body.split(b'\n\n') if b'"error"' in line]
        if not errors:
            return 'broken', 'no end', None
        error = msgspec.json.decode(errors[-1].removeprefix(b'data: '))['error']
        return 'error event', error['code'], error['not_run']
    return 'answered', '', None


def _text(asked: Asked, got: Got) -> str:
    if asked.kind == 'service':
        return got.body.decode()
    if asked.kind == 'whole':
        answer = msgspec.json.decode(got.body)
        return str(answer['choices'][0]['message']['content']) if 'choices' in answer else ''
    lines = [line for line in got.body.split(b'\n\n')[:-1] if b'"choices"' in line]
    events = [msgspec.json.decode(line.removeprefix(b'data: ')) for line in lines]
    choices = [choice for event in events for choice in event['choices']]
    return ''.join(choice['delta'].get('content') or '' for choice in choices)


async def load_under_faults(fleet: Fleet) -> None:
    """Keep up the load, do the faults, and tell what came of it."""
    faults: list[tuple[float, str]] = []
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=100)
    timeout = httpx.Timeout(READ_S, pool=None)
    async with httpx.AsyncClient(timeout=timeout, limits=limits, trust_env=False) as client:
        callers = Callers(fleet, client)
        async with anyio.create_task_group() as group:
            group.start_soon(callers.balance)
            group.start_soon(_do_faults, fleet, faults)
            await callers.run()
            group.cancel_scope.cancel()
    # A load that ended early leaves a router paused, which would answer no question.
    for running in (*fleet.routers, *fleet.stand_ins.values()):
        running.signal(signal.SIGCONT)
    counted = Counter(
        (one.attempts[-1].outcome if one.attempts else 'none') for one in callers.asked
    )
    print(f'{len(callers.asked)} requests at {REQUESTS_PER_S}/s: {dict(counted)}')
    await tell_verdict(fleet, callers.asked, faults)


async def _do_faults(fleet: Fleet, done: list[tuple[float, str]]) -> None:
    routers = {router.name: router for router in fleet.routers}
    dead, paused, stopped = (f'router-porto-{place}-1' for place in 'abc')
    plan: tuple[tuple[float, str, Running, int], ...] = (
        (5, 'router killed', routers[dead], signal.SIGKILL),
        (15, 'sidecar killed', fleet.sidecars['llm-1'], signal.SIGKILL),
        (25, 'router paused', routers[paused], signal.SIGSTOP),
        (33, 'router continued', routers[paused], signal.SIGCONT),
        (40, 'engine killed', fleet.stand_ins['doomed engine'], signal.SIGKILL),
        (50, 'store paused', fleet.stand_ins['store'], signal.SIGSTOP),
        (70, 'store continued', fleet.stand_ins['store'], signal.SIGCONT),
        (78, 'router told to stop', routers[stopped], signal.SIGTERM),
        (85, 'sidecar told to stop', fleet.sidecars['llm-2'], signal.SIGTERM),
    )
    began_s = time.perf_counter()
    for at_s, what, running, signum in plan:
        await anyio.sleep(max(0, at_s - (time.perf_counter() - began_s)))
        running.signal(signum)
        done.append((time.time(), f'{what} ({running.name})'))
    await anyio.sleep_forever()
