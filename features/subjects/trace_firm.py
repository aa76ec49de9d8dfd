"""A firm's whole fleet in memory: three data centres, its backend servers and accounts."""

from collections.abc import Mapping
from typing import Any, NamedTuple

import anyio
import msgspec

from endivesaddle.fleet.budgets import record_format, records
from endivesaddle.fleet.configuration import shard_of
from endivesaddle.operators.access import token_digest
from endivesaddle.stand_ins.engine_state import EngineState
from endivesaddle.stand_ins.memory_caller import Got
from endivesaddle.stand_ins.memory_fleet import MemoryFleet, Place
from endivesaddle.stand_ins.service import ServiceState

JOIN_S = 4
IN_FORCE_S = 6
TOKEN_S = 0.027
FIRST_TOKEN_S = 0.2
LOOK_S = 0.5


class Firm(NamedTuple):
    """What is declared: ``engines`` and ``services`` count the servers of each data centre.

    ``once_models`` may not be repeated; calls of ``service`` that are not GET never may.
    """

    data_centres: tuple[str, ...]
    routers: int
    engines: tuple[int, ...]
    services: tuple[int, ...]
    models: tuple[str, ...]
    service: str
    cost_tokens: int
    accounts: Mapping[str, int]
    answer_tokens: int = 24

    def declarations(self) -> str:
        """Return the operators' file, as TOML."""
        tables = [
            _table('data_centres', dict.fromkeys(self.data_centres, 'one')),
            *(_table(f'models.{name}', {'max_output_tokens': 512}) for name in self.models),
            _table(f'services.{self.service}', {'cost_tokens': self.cost_tokens}),
        ]
        for name, budget_tokens in self.accounts.items():
            digests = [token_digest(key_of(name))]
            fields = {'key_digests': digests, 'budget_tokens': budget_tokens}
            tables.append(_table(f'accounts.{name}', fields))
        for place in (*self.engine_places(), *self.service_places()):
            tables.append(self._server(place))
        return '\n'.join(tables)

    def router_places(self) -> list[Place]:
        """Return the routers, named after their data centres."""
        return [
            Place(f'{data_centre}-router-{number}', data_centre)
            for data_centre in self.data_centres
            for number in range(1, self.routers + 1)
        ]

    def engine_places(self) -> list[Place]:
        """Return the sidecars beside engines."""
        return self._beside('llm', self.engines)

    def service_places(self) -> list[Place]:
        """Return the sidecars beside the plain service."""
        return self._beside('app', self.services)

    def _beside(self, word: str, counts: tuple[int, ...]) -> list[Place]:
        return [
            Place(f'{data_centre}-{word}-{number}', data_centre, f'{data_centre}/{word}-{number}')
            for data_centre, count in zip(self.data_centres, counts, strict=True)
            for number in range(1, count + 1)
        ]

    def _server(self, place: Place) -> str:
        fields: dict[str, Any] = {'data_centre': place.data_centre, 'url': 'http://127.0.0.1:1'}
        if '-llm-' in place.name:
            fields.update(kind='engine', models=list(self.models))
        else:
            fields.update(kind='service', service=self.service)
        return _table(f'servers."{place.server}"', fields)


class World:
    """The firm's fleet under way; ``reverted`` has instances whose revision went back."""

    def __init__(self, fleet: MemoryFleet, firm: Firm) -> None:
        """Start nothing yet."""
        self.fleet = fleet
        self.firm = firm
        self.engines: dict[str, EngineState] = {}
        self.services: dict[str, ServiceState] = {}
        self.reverted: list[str] = []
        self._revisions: dict[str, int] = {}

    @property
    def routers(self) -> list[str]:
        """The names of all routers."""
        return [place.name for place in self.firm.router_places()]

    async def open(self) -> None:
        """Start all instances and apply the declarations."""
        self.fleet.add_routers(*self.firm.router_places())
        for place in self.firm.engine_places():
            engine = self.fleet.add_sidecar(place)
            engine.switches.answer_tokens = self.firm.answer_tokens
            engine.switches.token_s = TOKEN_S
            engine.switches.first_token_s = FIRST_TOKEN_S
            self.engines[place.name] = engine
        for place in self.firm.service_places():
            self.services[place.name] = self.fleet.add_service(place)
        await anyio.sleep(JOIN_S)
        line = f'apply file:firm.toml base:0\n{self.firm.declarations()}'
        reply = await self.fleet.command(self.routers[0], line)
        assert reply['status'] == 0, reply
        await anyio.sleep(IN_FORCE_S)

    async def watch_revisions(self) -> None:
        """Note every instance whose configuration goes back within one incarnation."""
        while True:
            for name, running in self.fleet.running.items():
                node: Any = running.node
                incarnation = f'{name}/{node.state.identity.incarnation}'
                revision = node.distribution.revision
                if revision < self._revisions.get(incarnation, 0):
                    self.reverted.append(incarnation)
                self._revisions[incarnation] = revision
            await anyio.sleep(LOOK_S)

    def arrivals(self, request_key: str) -> int:
        """Return how often backend servers got a request."""
        states = (*self.engines.values(), *self.services.values())
        return sum(state.seen.count(request_key) for state in states)

    def budget(self, account: str) -> records.Budget:
        """Return an account's budget as the store has it."""
        stored = self.fleet.store.kept(records.key_of(shard_of(account)))
        assert stored is not None
        assert stored.value is not None
        return record_format.decode(stored.value)['budgets'][account]


def key_of(account: str) -> str:
    """Return the caller key of an account."""
    return f'key-of-{account}'


def text_of(got: Got) -> str:
    """Return the text of a chat's answer, streamed or not."""
    if not got.body.startswith(b'data: '):
        return str(got.json()['choices'][0]['message']['content'])
    events = [event.removeprefix('data: ') for event in got.body.decode().split('\n\n') if event]
    pieces = [msgspec.json.decode(event) for event in events if event != '[DONE]']
    return ''.join(
        piece['choices'][0].get('delta', {}).get('content', '')
        for piece in pieces
        if piece.get('choices')
    )


def is_whole(got: Got) -> bool:
    """Tell whether a caller got a complete answer and no error, also not at its end."""
    if not got.complete or got.status != 200 or b'"error"' in got.body:
        return False
    return not got.body.startswith(b'data: ') or got.body.endswith(b'data: [DONE]\n\n')


def _table(name: str, fields: Mapping[str, Any]) -> str:
    # A JSON text, number or list of texts is written the same in TOML.
    lines = [f'{key} = {msgspec.json.encode(field).decode()}' for key, field in fields.items()]
    return '\n'.join([f'[{name}]', *lines, ''])
