"""Subject: real router processes that follow a store with odd entries of another writer."""

from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Any

import anyio
import httpx
import msgspec

from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routes.instance_directory import PREFIX, ROUTER, SIDECAR
from endivesaddle.stand_ins.etcd_serving import serve_asgi
from subjects.odd_values import ADDRESSES, TEXTS
from subjects.processes_launch import Running
from subjects.signalled_programs import AUTHORIZED, PLAIN, SEAL, Platform, open_platform
from subjects.unreadable import ENTRIES
from subjects.users_platform import ENTRY

GUARD_S = 60.0
ROUTERS = 2
LISTED_S = 6.0
"""Routers list the other instances within this time, more than once."""
ENTERED_S = 3.0
KEY_BYTES = 200
LATER = 'later'
SERVICE = 'late'
NAMES = tuple(name for name in TEXTS.values() if len(name) < KEY_BYTES)
"""Texts that fit into a key of the users' store."""
ROUTE = MappingProxyType({**PLAIN, 'name': 'r-3', 'prefix': '/l/', 'service': SERVICE})


entries: Registry[Callable[[str], Iterator[tuple[str, bytes]]]] = Registry('kind of odd entries')


@entries.add('instances')
def _instances(_: str) -> Iterator[tuple[str, bytes]]:
    """Yield keys and values of instances whose address is none."""
    for number, address in enumerate(ADDRESSES.values()):
        for role in (ROUTER, SIDECAR):
            entry = msgspec.json.encode([role, f'odd-{number}', address, 'porto-a'])
            yield f'{PREFIX}{role}/odd-{number}', entry


@entries.add('servers')
def _servers(_: str) -> Iterator[tuple[str, bytes]]:
    """Yield keys and values of servers that can't be used."""
    for number, value in enumerate(ENTRIES.values()):
        yield f'servers/odd-value-{number}', value
    for number, address in enumerate(ADDRESSES.values()):
        entry = {**ENTRY, 'service': SERVICE, 'address': address}
        yield f'servers/odd-address-{number}', msgspec.json.encode(entry)


@entries.add('names')
def _names(address: str) -> Iterator[tuple[str, bytes]]:
    """Yield servers at a sound address whose keys no header can carry."""
    for name in NAMES:
        entry = {**ENTRY, 'service': SERVICE, 'address': address}
        yield f'servers/{name}', msgspec.json.encode(entry)


class OddEntries:
    """Router processes beside odd entries, and how a server fares that enters later."""

    def __init__(self) -> None:
        """Initialize without results."""
        self.statuses: list[int] = []
        self.ended: list[str] = []
        self.failed_tasks: list[Mapping[str, Any]] = []
        self.reached: list[str] = []

    def play(self, kind: str, requests: int) -> None:
        """Start routers beside odd entries, and send requests once a server has entered."""
        anyio.run(self._play, kind, requests)

    async def _play(self, kind: str, requests: int) -> None:
        with anyio.fail_after(GUARD_S):
            async with (
                open_platform() as platform,
                serve_asgi(self._work) as url,
                serve_asgi(self._work) as odd_url,
            ):
                config = msgspec.json.decode(platform.memory.kept('op/config').value)
                config['routes'].append(dict(ROUTE))
                config['services'].append({'name': SERVICE, 'max_conns': 110})
                platform.memory.put('op/config', msgspec.json.encode(config))
                for key, value in entries.find(kind)(odd_url.removeprefix('http://')):
                    platform.memory.put(key, value)
                routers = [await platform.start('router') for _ in range(ROUTERS)]
                await self._serve(platform, routers, url.removeprefix('http://'), requests)

    async def _serve(
        self,
        platform: Platform,
        routers: list[tuple[Running, str]],
        address: str,
        requests: int,
    ) -> None:
        with anyio.move_on_after(LISTED_S):
            for _, caller_address in routers:
                await platform.until_ready(caller_address)
            await anyio.sleep(LISTED_S)
        entry = {**ENTRY, 'service': SERVICE, 'address': address}
        platform.memory.put(f'servers/{LATER}', msgspec.json.encode(entry))
        await anyio.sleep(ENTERED_S)
        for number in range(requests):
            await self._send(platform, routers[number % len(routers)][1], number)
        for router, _ in routers:
            if router.ended:
                self.ended.append(router.name)
            self.failed_tasks.extend(router.events('task_failed'))

    async def _send(self, platform: Platform, address: str, number: int) -> None:
        headers = {'host': 'boards.example', 'attempt-id': f'{number}', **AUTHORIZED}
        url = f'http://{address}/l/{number}'
        try:
            answer = await platform.client.post(url, headers=headers)
        except httpx.TransportError:
            self.statuses.append(0)
        else:
            self.statuses.append(answer.status_code)

    async def _work(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer at once, and record for which server a request was meant."""
        headers = dict(scope['headers'])
        named = headers[b'expect-instance'].decode('latin-1')
        self.reached.append(named)
        echoed = (b'attempt-id', headers[b'attempt-id'])
        own = (200, SEAL) if named == LATER else (421, (b'instance-id', LATER.encode()))
        start = {'type': 'http.response.start', 'status': own[0], 'headers': [own[1], echoed]}
        await send(start)
        await send({'type': 'http.response.body', 'body': b'done'})
