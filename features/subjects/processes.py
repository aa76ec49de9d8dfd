"""Subject: routers and sidecars as real processes, over stand-ins in the test's process."""

import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import anyio
import httpx
import msgspec

from endivesaddle.fleet.clock import WallClock
from endivesaddle.fleet.configuration import SHARD_COUNT
from endivesaddle.operators.access import token_digest
from endivesaddle.stand_ins.engine import EngineApp, Message, Receive, Send
from endivesaddle.stand_ins.engine_state import EngineState
from endivesaddle.stand_ins.etcd_gateway import EtcdGateway
from endivesaddle.stand_ins.etcd_serving import serve_asgi
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.processes_launch import BIN, Launcher, Place, Running, open_launcher

GUARD_S = 240
"""Upper bound for a whole scenario: no step waits for it when all is well."""
CALL_S = 60
LOOK_S = 0.05
TOKEN = 'operator-token'
KEY = 'caller-key'
CHAT = '/v1/chat/completions'
TOKENS = 8
WORDS = 'board for a hall'
USED_TOKENS = TOKENS + len(WORDS.split())
BUDGET_TOKENS = 1_000_000
TOGETHER = ('porto-a', 'porto-a')
APART = ('porto-a', 'porto-b')
ROUTERS = ('router-1', 'router-2')
SERVERS = ('llm-1', 'llm-2')
REQUEST = 'r-1'
ANSWER = ''.join(f'board{index} ' for index in range(TOKENS))
DONE = b'data: [DONE]\n\n'
BODY = msgspec.json.encode(
    {
        'model': 'boards',
        'messages': [{'role': 'user', 'content': WORDS}],
        'max_tokens': TOKENS,
        'stream': True,
    }
)


class HeldEngine:
    """An engine that waits after the first token of an answer until it is let go."""

    def __init__(self) -> None:
        """Hold nothing at first."""
        self.state = EngineState(models=['boards'])
        self.held = False
        self.release = anyio.Event()
        self._app = EngineApp(self.state)

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""

        async def hold(message: Message) -> None:
            await send(message)
            if self.held and message.get('body'):
                await self.release.wait()

        chosen = hold if scope.get('path', '').endswith('/completions') else send
        await self._app(scope, receive, chosen)


class Small:
    """Two routers and two sidecars, in one data centre or each pair in its own."""

    def __init__(
        self, launcher: Launcher, client: httpx.AsyncClient, data_centres: tuple[str, ...]
    ) -> None:
        """Start with nothing running."""
        self.data_centres = data_centres
        self.engines = [HeldEngine() for _ in SERVERS]
        self.routers: list[Running] = []
        self.sidecars: list[Running] = []
        self.client = client
        self._launcher = launcher
        self._urls: list[str] = []

    async def start(self, stack: AsyncExitStack) -> None:
        """Start all processes, and return when they serve requests."""
        for engine in self.engines:
            self._urls.append(await stack.enter_async_context(serve_asgi(engine)))
        for instance, data_centre in zip(ROUTERS, self.data_centres, strict=True):
            place = Place(instance, data_centre)
            self.routers.append(await self._launcher.router(place, TOKEN))
            self._launcher.seeds.append(self.routers[-1].address)
        for server, url, data_centre in zip(SERVERS, self._urls, self.data_centres, strict=True):
            place = Place(f'sidecar-{server}', data_centre)
            self.sidecars.append(await self._launcher.sidecar(place, server, url))
        applied = await self.command('\n'.join(['apply base:0', *self._declarations()]))
        assert applied['status'] == 0, applied
        await self.until(self._serves)

    async def command(self, line: str, router: int = -1) -> dict[str, Any]:
        """Run an operators' command over HTTP."""
        url = f'{self.routers[router].http_url}/operators/v1/command'
        headers = {'authorization': f'Bearer {TOKEN}'}
        answer = await self.client.post(url, json={'line': line}, headers=headers)
        return dict(answer.json())

    async def until(self, look: Callable[[], Awaitable[bool]]) -> None:
        """Look again and again until it is so; the scenario's guard bounds it."""
        while not await look():
            await anyio.sleep(LOOK_S)

    async def billed(self, tokens: int) -> bool:
        """Tell whether the store has this much as spent, all of it."""
        rows = (await self.command('account name:atelier')).get('rows', [])
        return {'what': 'spent', 'tokens': tokens} in rows

    def seen(self) -> int:
        """Return how often the request arrived at an engine."""
        arrivals = [name for engine in self.engines for name in engine.state.seen]
        return arrivals.count(f'atelier/{REQUEST}')

    def hold(self) -> None:
        """Have the engines wait after the first token."""
        for engine in self.engines:
            engine.held = True

    def let_go(self) -> None:
        """Have the engines go on."""
        for engine in self.engines:
            engine.release.set()

    def serving_sidecar(self) -> Running:
        """Return the sidecar of the engine that has the request."""
        running = [engine.state.running for engine in self.engines]
        return self.sidecars[running.index(1)]

    async def _serves(self) -> bool:
        """Tell whether all shards are held, and each router carries a request."""
        held: set[str] = set()
        for number, router in enumerate(self.routers):
            headers = {'authorization': f'Bearer {TOKEN}'}
            answer = await self.client.get(f'{router.http_url}/dump', headers=headers)
            shards = answer.json().get('budgets', {}).get('shards', {})
            held.update(shard for shard, row in shards.items() if row.get('recovered'))
            rows = (await self.command('servers', number)).get('rows', [])
            if [row['state'] for row in rows] != ['live', 'live']:
                return False
            warm = Stream(self, router, key=f'warm-{number}')
            await warm.take()
            if not warm.whole():
                return False
        return len(held) == SHARD_COUNT

    def _declarations(self) -> list[str]:
        centres = '\n'.join(f'{name} = "north"' for name in sorted(set(self.data_centres)))
        servers = [
            f'[servers.{server}]\ndata_centre = "{data_centre}"\nurl = "{url}"\n'
            'kind = "engine"\nmodels = ["boards"]'
            for server, url, data_centre in zip(SERVERS, self._urls, self.data_centres, strict=True)
        ]
        return [
            f'[data_centres]\n{centres}\n[models.boards]',
            f'[operators.ines]\ntoken_digest = "{token_digest(TOKEN)}"\nrole = "operator"',
            f'[accounts.atelier]\nkey_digests = ["{token_digest(KEY)}"]',
            f'budget_tokens = {BUDGET_TOKENS}',
            *servers,
        ]


class Stream:
    """One attempt of the request, streamed from a router."""

    def __init__(self, small: Small, router: Running, retry: int = 0, key: str = REQUEST) -> None:
        """Ask ``router``; ``retry`` counts the attempts before this one."""
        self.body = b''
        self.broken = False
        self.status = 0
        self.first = anyio.Event()
        self._client = small.client
        self._url = f'{router.http_url}{CHAT}'
        self._headers = {
            'authorization': f'Bearer {KEY}',
            'idempotency-key': key,
            'x-stainless-retry-count': str(retry),
        }

    async def take(self) -> None:
        """Take the answer to its end."""
        try:
            await self._take()
        except httpx.TransportError:
            self.broken = True
        self.first.set()

    def text(self) -> str:
        """Return the text of the answer so far."""
        events = [line.removeprefix(b'data: ') for line in self.body.split(b'\n\n') if line]
        pieces = [msgspec.json.decode(event) for event in events if event != b'[DONE]']
        choices = [piece['choices'][0] for piece in pieces if piece.get('choices')]
        return ''.join(choice['delta'].get('content') or '' for choice in choices)

    def whole(self) -> bool:
        """Tell whether the answer came whole."""
        return not self.broken and self.body.endswith(DONE) and self.text() == ANSWER

    async def _take(self) -> None:
        async with self._client.stream(
            'POST', self._url, content=BODY, headers=self._headers
        ) as answer:
            self.status = answer.status_code
            async for chunk in answer.aiter_bytes():
                self.body += chunk
                if b'content' in self.body:
                    self.first.set()


@asynccontextmanager
async def open_small(data_centres: tuple[str, ...] = TOGETHER) -> AsyncIterator[Small]:
    """Yield a fleet that serves; all its processes have ended when this returns."""
    clock = WallClock()
    async with AsyncExitStack() as stack:
        url = await stack.enter_async_context(serve_asgi(EtcdGateway(MemoryStore(clock), clock)))
        variables = {
            'ENDIVESADDLE_STORE_URLS': f'etcd+{url}',
            'ENDIVESADDLE_STORE_READS_PER_S': '500',
            'ENDIVESADDLE_STORE_WRITES_PER_S': '200',
            'ENDIVESADDLE_NOTICE_S': '0',
        }
        client = await stack.enter_async_context(httpx.AsyncClient(timeout=CALL_S, trust_env=False))
        launcher = await stack.enter_async_context(open_launcher(variables))
        small = Small(launcher, client, data_centres)
        await small.start(stack)
        yield small


Play = Callable[['Processes', Small], Awaitable[None]]


class Processes:
    """What was done with a fleet of processes, and what came of it."""

    def __init__(self) -> None:
        """Start with nothing done."""
        self.streams: list[Stream] = []
        self.documents: list[dict[str, Any]] = []
        self.exit_statuses: list[int | None] = []
        self.events: list[str] = []
        self.seen = 0
        self.billed_tokens = 0

    def run(self, play: Play, data_centres: tuple[str, ...] = TOGETHER) -> None:
        """Start a fleet, do ``play``, and end the fleet."""
        anyio.run(self._run, play, data_centres)

    async def settled(self, small: Small) -> None:
        """Wait until the store has the request's tokens as spent, then read the record.

        Where the only router of a data centre left, its last settlements come to the
        store with its successor: there the record alone tells the bill.
        """
        # One request warmed up each router.
        if small.data_centres == TOGETHER:
            await small.until(lambda: small.billed(USED_TOKENS * (1 + len(ROUTERS))))
        reply = await small.command(f'request id:{REQUEST} account:atelier')
        self.billed_tokens = reply['details']['record']['used_tokens']

    async def _run(self, play: Play, data_centres: tuple[str, ...]) -> None:
        with anyio.fail_after(GUARD_S):
            async with open_small(data_centres) as small:
                await play(self, small)
                self.seen = small.seen()


async def answer_and_tell(done: Processes, small: Small) -> None:
    """Carry one request end to end, then ask for it and for the state of a process."""
    done.streams.append(Stream(small, small.routers[0]))
    await done.streams[0].take()
    await done.settled(small)
    for running in (small.routers[0], small.sidecars[0]):
        running.signal(signal.SIGUSR1)
        done.documents.append(msgspec.json.decode(await running.line_with('{"identity"')))
    for line in (f'request id:{REQUEST} account:atelier', 'account name:atelier', 'members'):
        done.documents.append(await run_command(small.routers[1], line))


async def run_command(router: Running, line: str) -> dict[str, Any]:
    """Run ``endivesaddle`` as a process and return what it prints as JSON."""
    flags = ['--router', router.http_url, '--token', TOKEN, '--json']
    done = await anyio.run_process([str(BIN / 'endivesaddle'), *flags, *line.split()], check=False)
    return {'exit_status': done.returncode, **msgspec.json.decode(done.stdout)}


async def stop(done: Processes, small: Small, role: str, signals: tuple[str, ...] = ()) -> None:
    """Tell a process to stop while a stream goes through it, then let the stream end.

    It gets ``signals`` while it stops.
    """
    small.hold()
    async with anyio.create_task_group() as group:
        done.streams.append(Stream(small, small.routers[0]))
        group.start_soon(done.streams[0].take)
        await done.streams[0].first.wait()
        stopped = small.serving_sidecar() if role == 'sidecar' else small.routers[0]
        stopped.signal(signal.SIGTERM)
        await stopped.line_with('"process_leaving"')
        for name in signals:
            stopped.signal(signal.Signals[name])
            await stopped.line_with(f'"signal":"{name}"')
        small.let_go()
    done.exit_statuses.append(await stopped.has_ended())
    done.events = [
        line
        for line in stopped.lines
        if '"process_drained"' in line or '"stop_deadline_passed"' in line
    ]
    await done.settled(small)


async def kill_router(done: Processes, small: Small) -> None:
    """Kill the router of an open stream; retry at the other while the engine is held."""
    small.hold()
    async with anyio.create_task_group() as group:
        first = Stream(small, small.routers[0])
        group.start_soon(first.take)
        await first.first.wait()
        small.routers[0].signal(signal.SIGKILL)
        await small.routers[0].has_ended()
    retried = Stream(small, small.routers[1], retry=1)
    done.streams.extend((first, retried))
    async with anyio.create_task_group() as group:
        group.start_soon(retried.take)
        # Its first token comes while the engine is held: it is that of the first run.
        await retried.first.wait()
        small.let_go()
    await done.settled(small)
