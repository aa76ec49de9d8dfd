"""Subject: streams of real routers, taken up again after servers or all routers were replaced."""

import asyncio
import pathlib
import signal
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from types import MappingProxyType
from typing import NamedTuple

import anyio
import httpx
import msgspec

from endivesaddle.fleet.clock import WallClock
from endivesaddle.stand_ins.etcd_serving import serve_asgi
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.kv_gateway import KvGateway
from subjects.processes_launch import Running, open_launcher
from subjects.signalled_programs import AUTHORIZED, STREAMED, Platform
from subjects.users_platform import CONFIG, ENTRY

GUARD_S = 60.0
EVENTS = 40
EVENT_S = 0.1
BEGUN_S = 1.2
BROKEN_AFTER_S = 0.5
WRITE_S = 1.2
"""Interval between check-ins of a server: its first entry may be late by one."""
DEADLINE_S = 14.0
PAUSE_S = 0.2
SETTLE_S = 1.5
ROUTERS = 2
SIDECARS = 2
STREAMS = 16
NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n'


class StreamServer:
    """A server that streams events which name its version; it may start again under its id."""

    def __init__(self, memory: MemoryStore, name: str, version: str, reports: bool) -> None:
        """Initialize a server that writes its entries to ``memory``."""
        self.version = version
        self.reported = 0
        self._memory = memory
        self._name = name
        self._reports = reports
        self._born_unix_ms = 0
        self._address = ('127.0.0.1', 0)
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, entry: bool = True) -> None:
        """Listen, and write the entry."""
        self._born_unix_ms = int(time.time() * 1000)
        self._listener = await asyncio.start_server(self._serve, *self._address)
        self._address = self._listener.sockets[0].getsockname()
        if entry:
            self.write_entry()

    def write_entry(self) -> None:
        """Tell the store what it is now."""
        address = '{}:{}'.format(*self._address)
        own = {'address': address, 'version': self.version, 'born': self._born_unix_ms}
        entry = {**ENTRY, **own, 'sequence': 1}
        self._memory.put(f'servers/{self._name}', msgspec.json.encode(entry))

    def remove_entry(self) -> None:
        """Leave the service."""
        self._memory.remove(f'servers/{self._name}')

    def crash(self) -> None:
        """Reset all connections and listen no more; the entry stays."""
        assert self._listener is not None
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()

    async def replace(self, version: str) -> None:
        """Start again at another version, and write the entry an interval later."""
        self.version = version
        await self.start(entry=False)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                first, *lines = head.strip().split('\r\n')
                pairs = dict(line.lower().split(': ', 1) for line in lines)
                await reader.readexactly(int(pairs.get('content-length', 0)))
                await self._answer(first, pairs, writer)
        except (OSError, EOFError):
            # The router closed the connection, or this server crashed.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, first: str, pairs: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        if first.startswith('GET /report '):
            self.reported += 1
            document = msgspec.json.encode({'stage': 'unified', 'born': self._born_unix_ms})
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(document)}\r\n\r\n'
            writer.write(head.encode() + document if self._reports else NOT_FOUND)
            await writer.drain()
            return
        version = self.version
        head = f'{HEAD}Attempt-Id: {pairs["attempt-id"]}\r\nServer-Seal: s\r\n\r\n'
        writer.write(head.encode())
        for number in range(int(pairs.get('last-event-id', -1)) + 1, EVENTS):
            await asyncio.sleep(EVENT_S)
            event = f'id: {number}\ndata: {version}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


class Stream:
    """One stream over all tries of its caller, which come to the routers in turn."""

    def __init__(self, number: int) -> None:
        """Initialize without a try."""
        self.numbers: list[int] = []
        self.versions: list[str] = []
        self.refused = False
        self.number = number
        self.read: asyncio.Task[None] | None = None
        self._first = ''
        self._until_s = time.monotonic() + DEADLINE_S

    @property
    def complete(self) -> bool:
        """Whether it has each event once."""
        return self.numbers == list(range(EVENTS))

    async def follow(self, client: httpx.AsyncClient, addresses: list[str]) -> None:
        """Read it, and take it up as long as that may succeed."""
        tries = 0
        while not self.complete and time.monotonic() < self._until_s - 1:
            tries += 1
            address = addresses[(self.number + tries) % len(addresses)]
            self.read = asyncio.create_task(self._read(client, address, f'{self.number}-{tries}'))
            await asyncio.wait([self.read])
            if self.refused:
                return
            await anyio.sleep(PAUSE_S)

    async def _read(self, client: httpx.AsyncClient, address: str, attempt_id: str) -> None:
        left_ms = int((self._until_s - time.monotonic()) * 1000)
        headers = {
            'host': STREAMED['host'],
            'attempt-id': f'{address}/{attempt_id}',
            'deadline-ms': str(left_ms),
            **AUTHORIZED,
        }
        if self._first:
            headers |= {'resumes': self._first, 'last-event-id': str(self.numbers[-1])}
        with suppress(httpx.TransportError):
            await self._read_answer(client, f'http://{address}/b/1', headers)

    async def _read_answer(
        self, client: httpx.AsyncClient, url: str, headers: dict[str, str]
    ) -> None:
        async with client.stream('POST', url, headers=headers) as answer:
            # Without a time to return it is refused for good.
            self.refused = not answer.is_success and 'retry-after' not in answer.headers
            text = ''
            async for chunk in answer.aiter_text():
                if not answer.is_success:
                    continue
                *events, text = (text + chunk).split('\n\n')
                for event in events:
                    number, version = event.split('\n')
                    self.numbers.append(int(number.removeprefix('id: ')))
                    self.versions.append(version.removeprefix('data: '))
                    self._first = self._first or headers['attempt-id']


class Servers(NamedTuple):
    """The versions of the servers at first, and whether servers report when they were born."""

    versions: list[str]
    reports: bool


class Shares(NamedTuple):
    """How many streams that were taken up went on, and how many new ones began meanwhile."""

    continued: float
    begun: float


class JoinedVersions:
    """Routers and sidecars as processes, servers of several versions, and streams."""

    def __init__(self, platform: Platform, memory: MemoryStore) -> None:
        """Initialize without processes and servers."""
        self.servers: list[StreamServer] = []
        self.streams: list[Stream] = []
        self.fresh: list[Stream] = []
        self._platform = platform
        self._memory = memory
        self._routers: list[Running] = []
        self._addresses: list[str] = []
        self._following: list[asyncio.Task[None]] = []

    @property
    def all_streams(self) -> list[Stream]:
        """Those that began first, and those that began later."""
        return [*self.streams, *self.fresh]

    @property
    def mixed(self) -> list[dict[str, int]]:
        """The versions of the events of each stream that holds two."""
        versions = [dict(Counter(one.versions)) for one in self.all_streams]
        return [one for one in versions if len(one) > 1]

    async def start(self, servers: Servers) -> None:
        """Start servers, then sidecars and routers."""
        for number, version in enumerate(servers.versions):
            name = f'i-{number}'
            self.servers.append(StreamServer(self._memory, name, version, servers.reports))
            await self.servers[-1].start()
        for _ in range(SIDECARS):
            await self._platform.start('sidecar')
        for _ in range(ROUTERS):
            router, address = await self._platform.start('router')
            self._routers.append(router)
            self._addresses.append(address)
        await self._ready()

    async def begin(self, count: int = STREAMS) -> list[Stream]:
        """Begin streams and wait until they have some events."""
        streams = [Stream(len(self._following) + number) for number in range(count)]
        for stream in streams:
            follow = stream.follow(self._platform.client, self._addresses)
            self._following.append(asyncio.create_task(follow))
        await anyio.sleep(BEGUN_S)
        return streams

    async def finish(self) -> None:
        """Wait until all streams have ended."""
        await asyncio.gather(*self._following)

    async def kill_routers(self) -> None:
        """Kill all routers at once."""
        for router in self._routers:
            router.signal(signal.SIGKILL)
        for router in self._routers:
            await router.has_ended()

    async def restart_routers(self) -> None:
        """Start them again."""
        self._routers = [await self._platform.restart(one.name) for one in self._routers]
        await self._ready(settle_s=0)

    def break_off(self, streams: list[Stream]) -> None:
        """Break the connections of callers."""
        for stream in streams:
            if stream.read is not None:
                stream.read.cancel()

    async def _ready(self, settle_s: float = SETTLE_S) -> None:
        for address in self._addresses:
            await self._platform.until_ready(address)
        # Versions are on record soon after the servers are known.
        await anyio.sleep(settle_s)


Play = Callable[[JoinedVersions], Awaitable[None]]


async def kill_while_both_serve(fleet: JoinedVersions) -> None:
    """Kill all routers while servers of two versions serve."""
    fleet.streams = await fleet.begin()
    await fleet.kill_routers()
    await fleet.restart_routers()
    fleet.fresh = await fleet.begin()


async def kill_after_leaving(fleet: JoinedVersions) -> None:
    """Kill all routers right after the servers of the older version have left."""
    fleet.streams = await fleet.begin()
    for server in fleet.servers:
        if server.version == 'v1':
            server.remove_entry()
            server.crash()
    await fleet.kill_routers()
    await fleet.restart_routers()


async def kill_and_replace(fleet: JoinedVersions) -> None:
    """Kill all routers and a server, which is back under its id at another version."""
    fleet.streams = await fleet.begin()
    fleet.servers[0].crash()
    await fleet.kill_routers()
    await fleet.servers[0].replace('v2')
    await fleet.restart_routers()
    fleet.fresh = await fleet.begin()
    fleet.servers[0].write_entry()
    fleet.break_off(fleet.all_streams)


async def replace(fleet: JoinedVersions) -> None:
    """Replace a server under its id; streams that begin before its new entry break off later."""
    fleet.streams = await fleet.begin()
    fleet.servers[0].crash()
    await anyio.sleep(BROKEN_AFTER_S)
    await fleet.servers[0].replace('v2')
    fleet.fresh = await fleet.begin()
    await anyio.sleep(WRITE_S)
    fleet.servers[0].write_entry()
    fleet.break_off(fleet.all_streams)


async def replace_quickly(fleet: JoinedVersions) -> None:
    """Replace a server under its id so quickly that no connection to it is refused."""
    fleet.streams = await fleet.begin()
    fleet.servers[0].crash()
    await fleet.servers[0].replace('v2')
    fleet.fresh = await fleet.begin()
    await anyio.sleep(WRITE_S)
    fleet.servers[0].write_entry()
    fleet.break_off(fleet.all_streams)


async def replace_unused(fleet: JoinedVersions) -> None:
    """Replace a server to which the routers have no connection."""
    await anyio.sleep(WRITE_S)
    fleet.servers[0].crash()
    await fleet.servers[0].replace('v2')
    fleet.fresh = await fleet.begin()
    fleet.servers[0].write_entry()
    fleet.break_off(fleet.fresh)


PLAYS: MappingProxyType[str, Play] = MappingProxyType(
    {
        'all routers are killed and both versions serve': kill_while_both_serve,
        'the servers of v1 leave and all routers are killed': kill_after_leaving,
        'all routers are killed and a server is back under its id at v2': kill_and_replace,
        'a server is back under its id at v2': replace,
        'a server is back under its id at v2 at once': replace_quickly,
        'a server that no router uses is back under its id at v2': replace_unused,
    }
)


def play(name: str, servers: Servers) -> JoinedVersions:
    """Run a play and return what came of it."""
    return anyio.run(_play, PLAYS[name], servers)


async def _play(one: Play, servers: Servers) -> JoinedVersions:
    with anyio.fail_after(GUARD_S):
        async with _opened() as fleet:
            await fleet.start(servers)
            await one(fleet)
            await fleet.finish()
            for server in fleet.servers:
                server.crash()
            await fleet.kill_routers()
            return fleet


@asynccontextmanager
async def _opened() -> AsyncIterator[JoinedVersions]:
    memory = MemoryStore(WallClock())
    account = {**CONFIG['tenants'][0], 'prepaid': None}
    route = {**STREAMED, 'stream_resume': True}
    memory.put(
        'op/config', msgspec.json.encode({**CONFIG, 'routes': [route], 'tenants': [account]})
    )
    async with (
        serve_asgi(KvGateway(memory, WallClock())) as store_url,
        httpx.AsyncClient(timeout=GUARD_S, trust_env=False) as client,
        open_launcher({}) as launcher,
    ):
        with tempfile.TemporaryDirectory() as folder:
            platform = Platform(launcher, client, store_url, pathlib.Path(folder), memory)
            yield JoinedVersions(platform, memory)


def shares(fleet: JoinedVersions) -> Shares:
    """Return the shares of streams that went on, and of new ones that began."""
    taken_up = [one for one in fleet.streams if one.numbers]
    return Shares(
        sum(one.complete for one in taken_up) / len(taken_up),
        sum(bool(one.numbers) for one in fleet.fresh) / len(fleet.fresh),
    )
