"""The demo's people: an operator, and callers of two client accounts, over HTTP."""

import secrets
import time
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, NamedTuple

import anyio
import httpx
import msgspec

from endivesaddle.fleet.configuration import SHARD_COUNT
from endivesaddle.operators.access import token_digest
from endivesaddle.stand_ins.demo_speech import say
from endivesaddle.stand_ins.demo_world import MODEL, SERVICE, World

SOON_S = 30
LOOK_S = 0.1
TRIES = 3
ATELIER = 'atelier'
JOB_SHOP = 'job-shop'
BUDGETS = MappingProxyType({ATELIER: 50_000, JOB_SHOP: 100})
SERVICE_COST = 25


class Keys(NamedTuple):
    """The secrets of one run; only their digests are declared."""

    callers: dict[str, str]
    operator: str


class Got(NamedTuple):
    """An answer to a caller."""

    status: int
    body: bytes
    headers: dict[str, str]
    first_byte_s: float

    @property
    def error(self) -> dict[str, Any]:
        """The error object of a refusal."""
        return dict(msgspec.json.decode(self.body)['error'])

    @property
    def text(self) -> str:
        """The text of a chat answer, streamed or not."""
        if not self.body.startswith(b'data: '):
            return str(msgspec.json.decode(self.body)['choices'][0]['message']['content'])
        events = [line.removeprefix(b'data: ') for line in self.body.split(b'\n\n') if line]
        pieces = [msgspec.json.decode(event) for event in events[:-1]]
        return ''.join(
            piece['choices'][0]['delta'].get('content', '') for piece in pieces if piece['choices']
        )


def new_keys() -> Keys:
    """Make keys for this run."""
    callers = {account: f'sk-{secrets.token_urlsafe()}' for account in BUDGETS}
    return Keys(callers, f'op-{secrets.token_urlsafe()}')


def declarations(world: World, keys: Keys) -> str:
    """Return the operators' file of declarations, as TOML."""
    tables = [
        _table('data_centres', {server.data_centre: 'north' for server in world.servers}),
        _table(f'models.{MODEL}', {'max_output_tokens': 4096}),
        _table(f'services.{SERVICE}', {'cost_tokens': SERVICE_COST}),
        _table('operators.demo', {'token_digest': token_digest(keys.operator), 'role': 'operator'}),
    ]
    for account, budget_tokens in BUDGETS.items():
        digests = [token_digest(keys.callers[account])]
        fields = {'key_digests': digests, 'budget_tokens': budget_tokens}
        tables.append(_table(f'accounts.{account}', fields))
    for server in world.servers:
        serves = {'models': [MODEL]} if server.kind == 'engine' else {'service': SERVICE}
        fields = {'data_centre': server.data_centre, 'url': server.url, 'kind': server.kind}
        tables.append(_table(f'servers.{server.name}', {**fields, **serves}))
    return '\n'.join(tables)


def _table(name: str, fields: dict[str, Any]) -> str:
    # A JSON text, number or list of texts is written the same in TOML.
    lines = [f'{key} = {msgspec.json.encode(field).decode()}' for key, field in fields.items()]
    return '\n'.join([f'[{name}]', *lines, ''])


class OperatorClient:
    """An operator who types command lines at one router."""

    def __init__(self, client: httpx.AsyncClient, base_url: str, token: str) -> None:
        """Send commands to the router at ``base_url``."""
        self._client = client
        self._base_url = base_url
        self._headers = {'authorization': f'Bearer {token}'}

    async def run(self, line: str, change_id: str = '') -> dict[str, Any]:
        """Run a command line, with its document below it if it has one."""
        body = {'line': line, 'change_id': change_id}
        url = f'{self._base_url}/operators/v1/command'
        answer = await self._client.post(url, json=body, headers=self._headers)
        return dict(answer.json())

    async def wait_for(self, line: str, enough: Callable[[list[dict[str, Any]]], bool]) -> bool:
        """Repeat a command until its rows are what was waited for; False when they never were."""
        with anyio.move_on_after(SOON_S):
            while not enough((await self.run(line)).get('rows', [])):
                await anyio.sleep(LOOK_S)
            return True
        return False

    async def wait_for_budgets(self) -> bool:
        """Wait until this router holds all budget shards of its data centre."""
        with anyio.move_on_after(SOON_S):
            while not await self._holds_all():
                await anyio.sleep(LOOK_S)
            return True
        return False

    async def _holds_all(self) -> bool:
        answer = await self._client.get(f'{self._base_url}/dump', headers=self._headers)
        shards = answer.json().get('budgets', {}).get('shards', {})
        return len(shards) == SHARD_COUNT and all(
            shard.get('recovered') for shard in shards.values()
        )


class CallerClient:
    """An application with a key of one client account.

    It waits and tries again where a refusal advises so, as the common SDKs do.
    """

    def __init__(self, client: httpx.AsyncClient, key: str, tries: int = TRIES) -> None:
        """Send requests with ``key``, each ``tries`` times at the most."""
        self._client = client
        self._tries = tries
        self._headers = {'authorization': f'Bearer {key}'}

    async def chat(
        self, base_url: str, words: str, max_tokens: int, request_id: str, stream: bool = False
    ) -> Got:
        """Send a chat."""
        body = {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': words}],
            'max_tokens': max_tokens,
            'stream': stream,
        }
        url = f'{base_url}/v1/chat/completions'
        return await self._send(url, msgspec.json.encode(body), request_id)

    async def call_service(self, base_url: str, path: str, request_id: str) -> Got:
        """Send a call of the plain service that changes something."""
        return await self._send(f'{base_url}/services/{SERVICE}{path}', b'{}', request_id)

    async def _send(self, url: str, body: bytes, request_id: str) -> Got:
        for attempt in range(1, self._tries + 1):
            got = await self._send_once(url, body, request_id)
            retry_after_s = got.headers.get('retry-after')
            if retry_after_s is None or attempt == self._tries:
                break
            code = got.error['code']
            say(f'  {request_id}: refused at first ({code}), again in {retry_after_s} s')
            await anyio.sleep(float(retry_after_s))
        return got

    async def _send_once(self, url: str, body: bytes, request_id: str) -> Got:
        headers = {**self._headers, 'idempotency-key': request_id}
        began_s = time.perf_counter()
        async with self._client.stream('POST', url, content=body, headers=headers) as answer:
            first_byte_s = 0.0
            parts = []
            async for chunk in answer.aiter_bytes():
                first_byte_s = first_byte_s or time.perf_counter() - began_s
                parts.append(chunk)
            return Got(answer.status_code, b''.join(parts), dict(answer.headers), first_byte_s)
