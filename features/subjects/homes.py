"""Subject: one router that places requests whose route or account has home regions."""

from types import MappingProxyType

import msgspec

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes.forwarded import ForwardRequest
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing.dispatcher import Dispatcher, Placement
from endivesaddle.fleet.sentinels import Refusal
from subjects.links_loop import ScenarioLoop
from subjects.users_platform import CONFIG, ENTRY, NODE, ROUTE, module, read_node

ZONES = '[zones]\nporto-a = "porto"\nporto-b = "porto"\naji-hall = "rajkot"\n'
DATA_CENTRES = ('porto-a', 'aji-hall', 'elsewhere')
REGIONS = MappingProxyType({'porto-a': 'porto', 'aji-hall': 'rajkot', 'elsewhere': 'none'})
TIME_S = 10.0


class Homes:
    """A router that knows one server in each of three data centres."""

    def __init__(self) -> None:
        """Initialize with no data centre evacuated."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self._routing_state = RoutingState()
        self._decoder = module('documents').PlatformDecoder()
        settings, _ = read_node(f'{NODE}{ZONES}')
        self._dispatcher = Dispatcher(
            settings.forward, self._routing_state, self._clock, 'router-1'
        )
        for number, name in enumerate(DATA_CENTRES):
            entry = {**ENTRY, 'zone': name, 'address': f'10.0.{number}.1:80'}
            stored = Stored(f'servers/{name}', msgspec.json.encode(entry), 1)
            self._routing_state.update_server(self._decoder.server(stored, 0), 'test')
        self.outcomes: list[Placement | Refusal] = []

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def evacuate(self, region: str) -> None:
        """Evacuate the data centre of a region."""
        names = [name for name, found in REGIONS.items() if found == region]
        self._routing_state.evacuations.replace(names, 1, 0, 'test')

    def come(self, count: int, route_homes: list[str], account_homes: list[str]) -> None:
        """Place requests of a route and an account."""
        route = {**ROUTE, 'backends': [{'service': 'engines', 'weight': 1}]}
        account = {**CONFIG['tenants'][0], 'allowed_regions': account_homes}
        config = {
            **CONFIG,
            'routes': [{**route, 'allowed_regions': route_homes}],
            'tenants': [account],
        }
        declared = module('documents').read_config(msgspec.json.encode(config))
        self._routing_state.declare(declared, b'', 'test')
        for number in range(count):
            self._loop.run(self._place, number)

    def regions(self) -> set[str]:
        """Return the regions in which requests were placed."""
        placements = [outcome for outcome in self.outcomes if isinstance(outcome, Placement)]
        return {REGIONS[placement.backend.server.data_centre] for placement in placements}

    async def _place(self, number: int) -> None:
        declarations = self._routing_state.declarations
        assert declarations
        end_unix_s = self._clock.now_s() + TIME_S
        request = ForwardRequest(
            request_id=f'attempt-{number}',
            route=declarations.declared.routes[0],
            account=declarations.declared.accounts[0],
            method='POST',
            target='/b/x',
            headers=(),
            body=b'',
            deadline_unix_s=end_unix_s,
            end_unix_s=end_unix_s,
            prompt_tokens=100,
            max_tokens=10,
            parts=(),
            last_event=-1,
            began_unix_s=self._clock.now_s(),
        )
        placement = await self._dispatcher.place(request, frozenset())
        if isinstance(placement, Placement):
            placement.start()
        self.outcomes.append(placement)
