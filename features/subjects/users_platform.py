"""Subject: the adapter of the users' platform, over a stand-in of their store."""

import asyncio
import importlib
import os
import pathlib
import sys
import tempfile
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import anyio
import msgspec

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import FleetError, UserError
from endivesaddle.fleet.routes.declared import Repeat, RouteServer
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routes.store_watch import StoreWatcher
from endivesaddle.stand_ins.etcd_transport import AsgiTransport
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.httpx_links import HttpxLinks
from subjects.kv_gateway import KvGateway
from subjects.links_loop import ScenarioLoop

FOLDER = pathlib.Path(__file__).parent.parent.parent / 'platform'
ROUTE: MappingProxyType[str, Any] = MappingProxyType(
    {
        'name': 'r-1',
        'host': 'Boards.example',
        'prefix': '/b/',
        'kind': 'streaming',
        'timeout_ms': 15000,
        'goal_ms': 600,
        'priority': 1,
        'backends': [{'service': 'engines', 'weight': 90}, {'service': 'plain', 'weight': 10}],
        'max_attempts': 2,
        'public': False,
        'session_affinity': True,
        'stream_resume': True,
    }
)
CONFIG: MappingProxyType[str, Any] = MappingProxyType(
    {
        'version': 7,
        'routes': [dict(ROUTE)],
        'services': [
            {'name': 'engines', 'max_conns': 370, 'engine': {'stride': 6, 'kv_capacity': 700}},
            {'name': 'plain', 'max_conns': 110},
        ],
        'limits': {
            'max_header_bytes': 999,
            'header_timeout_ms': 2000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'hule', 'api_keys': ['k1', 'k2'], 'priority': 1, 'prepaid': 2688330}],
    }
)
ENTRY: MappingProxyType[str, Any] = MappingProxyType(
    {
        'service': 'engines',
        'address': '10.1.0.1:80',
        'zone': 'porto-a',
        'version': 'v1',
        'slots': 64,
        'state': 'ready',
        'sequence': 1,
    }
)
ADDRESSES = MappingProxyType({'one': '10.1.0.1:80', 'two': '10.1.0.2:80'})
NODE = """
node_name = "edge-1"
ip = "10.1.0.40"
zone = "porto-a"
internal_ports = [7340, 7355]
seeds = ["10.1.0.40:8229"]
[bind]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
control = "10.1.0.40:8229"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
retry_slack = 56
budget_window_s = 12
[provider]
address = "10.200.1.7:8223"
"""


def module(name: str) -> Any:
    """Import a module of the adapter's folder."""
    if str(FOLDER) not in sys.path:
        sys.path.append(str(FOLDER))
    return importlib.import_module(name)


class UsersPlatform:
    """One adapter, and a router's routing state that follows the store."""

    def __init__(self) -> None:
        """Initialize with an empty store."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self.memory = MemoryStore(self._clock)
        self.gateway = KvGateway(self.memory, self._clock)
        self.routing_state = RoutingState()
        self.store_status = StoreStatus(self._clock)
        self._loop.run(self._open)

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def call(self, name: str, *arguments: Any) -> Any:
        """Call a method of the store client; return its result or its ``FleetError``."""
        return self._loop.run(self._call, name, arguments)

    def follow(self) -> None:
        """Start following the store."""
        self._loop.run(self._follow)

    def sleep(self, seconds: float) -> None:
        """Advance the clock."""
        self._loop.run(anyio.sleep, seconds)

    def configure(self, version: int) -> None:
        """Write a configuration of this version, as the operator does."""
        self._loop.run(self._put, 'op/config', {**CONFIG, 'version': version})

    def write(self, key: str, document: Mapping[str, Any]) -> None:
        """Write a key and wait until the router has it."""
        self._loop.run(self._put, key, dict(document))
        self.sleep(0.1)

    def enter(self, name: str, state: str = 'ready') -> None:
        """Write a server's entry."""
        self.enter_with(name, 'state', state)

    def enter_with(self, name: str, field: str, value: Any) -> None:
        """Write a server's entry with one field changed."""
        entry = {**ENTRY, 'address': ADDRESSES[name], field: value}
        self._loop.run(self._put, f'servers/{name}', entry)

    def enter_at(self, name: str, other: str) -> None:
        """Write a server's entry with the address of another server."""
        self.enter_with(name, 'address', ADDRESSES[other])

    def expire(self, name: str) -> None:
        """Delete a server's entry."""
        self._loop.run(self._remove, f'servers/{name}')

    def down(self, down: bool) -> None:
        """Take the store down or bring it back."""
        self._loop.run(self._fail, down)

    def servers(self) -> tuple[RouteServer, ...]:
        """Return the servers that take requests."""
        return self.routing_state.available_servers('engines')

    def version(self) -> int:
        """Return the version in force."""
        return self.routing_state.declarations.version if self.routing_state.declarations else 0

    async def _open(self) -> None:
        self.transport = AsgiTransport({'store': self.gateway})
        kv_store = module('kv_store')
        self.store = kv_store.KvStore('store', self._clock, HttpxLinks(self.transport))

    async def _call(self, name: str, arguments: tuple[Any, ...]) -> Any:
        try:
            return await getattr(self.store, name)(*arguments, self._clock.now_s() + 1)
        except FleetError as error:
            return error

    async def _follow(self) -> None:
        decoder = module('documents').PlatformDecoder()
        store_watcher = StoreWatcher(
            self.store, decoder, self.routing_state, self._clock, self.store_status
        )
        self._following = asyncio.ensure_future(store_watcher.run())
        await anyio.sleep(0.1)

    async def _put(self, key: str, document: dict[str, Any]) -> None:
        self.memory.put(key, msgspec.json.encode(document))

    async def _remove(self, key: str) -> None:
        self.memory.remove(key)

    async def _fail(self, down: bool) -> None:
        self.memory.fail(down)


def header_names() -> HeaderNames:
    """Return the platform's names of headers."""
    names: HeaderNames = module('headers').HEADER_NAMES
    return names


def read_node(text: str, role: str = 'router') -> Any:
    """Return the settings and the store's address for a role, or the text of the error."""
    node_file = module('node_file')
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'node.toml'
        path.write_text(text)
        os.environ[node_file.NODE_FILE] = str(path)
        try:
            return node_file.read(module(role).settings_of)
        except UserError as error:
            return str(error)


def declared() -> Any:
    """Decode the example configuration."""
    declarations = module('documents').read_config(msgspec.json.encode(dict(CONFIG)))
    assert declarations.routes[0].repeat is Repeat.STREAMED
    return declarations
