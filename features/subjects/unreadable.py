"""Subject: values that can't be read, and the readers that get them."""

import asyncio
import zlib
from base64 import b64encode
from collections.abc import Callable
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import Any

import anyio
import msgspec

from endivesaddle.backend_servers.engine import EngineRequest
from endivesaddle.backend_servers.engine_control import EngineControl
from endivesaddle.backend_servers.settings import BackendSettings
from endivesaddle.backend_servers.usage import parse_piece
from endivesaddle.callers.models import read_document
from endivesaddle.callers.refusals import Invalid
from endivesaddle.fleet import revisions
from endivesaddle.fleet.budgets import min_epochs, record_format
from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.distribution import packing
from endivesaddle.fleet.errors import UserError
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.requests import batches
from endivesaddle.fleet.routes import grants
from endivesaddle.fleet.routes.parts import PartsReader
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.stored_crashes import PREFIX as CRASHES_PREFIX
from endivesaddle.fleet.routes.stored_crashes import StoredCrashes
from endivesaddle.fleet.routes.version_register import KEY as VERSIONS_KEY
from endivesaddle.fleet.routes.version_register import VersionRegister
from endivesaddle.fleet.routing.crash_records import CrashRecords
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.runs.order_state import OrderStore
from endivesaddle.operators.declarations import travelling
from endivesaddle.operators.declarations.reading import read_declarations
from endivesaddle.operators.fences import FENCES_PREFIX, Fences
from endivesaddle.operators.local.explain import line_fields
from endivesaddle.platform.instance_list import decode_list
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.wire import members_pb2, routers_pb2, rpcs, runs_pb2
from subjects.users_platform import CONFIG, ENTRY, NODE, module, read_node

DEPTH = 3000
"""Three times the limit of the interpreter; such a value has a few kilobytes."""
NESTED = b'%b0%b' % (b'{"previous":' * DEPTH, b'}' * DEPTH)

VALUES = MappingProxyType(
    {
        'empty': b'',
        'cut short': b'{"service":"engi',
        'nested deeply': NESTED,
        'open brackets': b'[' * DEPTH,
        'not UTF-8': b'{"service":"\xff\xfe"}',
        'another type': b'[]',
        'a huge number': b'{"service":%b}' % (b'9' * 5000),
    }
)
"""Values that no reader of a JSON object can decode."""


def _changed(document: Any, name: str, field: Any) -> bytes:
    return msgspec.json.encode({**document, name: field})


def _deep(document: Any) -> bytes:
    """Return a sound document but for one more field, which nobody reads."""
    return _changed(document, 'note', 0).replace(b'"note":0', b'"note":%b' % NESTED)


ENTRIES = MappingProxyType(
    {
        **VALUES,
        'an unread deep field': _deep(ENTRY),
        'an impossible port': _changed(ENTRY, 'address', '10.1.0.2:70000'),
        'too many slots': _changed(ENTRY, 'slots', 1 << 32),
    }
)
CONFIGURATIONS = MappingProxyType(
    {
        **VALUES,
        'an unread deep field': _deep({**CONFIG, 'version': 6}),
        'a text for a time': _changed(CONFIG, 'limits', {'idle_timeout_ms': 'long'}),
        'a huge version': _changed(CONFIG, 'version', 1 << 63),
        'a route nowhere': _changed(CONFIG, 'routes', [{**CONFIG['routes'][0], 'backends': []}]),
    }
)

readers: Registry[Callable[[bytes], Any]] = Registry('reader of values')


def outcomes(reader: str) -> dict[str, str]:
    """Return the error, or '' without one, with which a reader ends for each value."""
    found: dict[str, str] = {}
    for name, value in VALUES.items():
        try:
            returned = readers.find(reader)(value)
        except Exception as error:  # noqa: BLE001 (any error but that of the layer is a fault)
            found[name] = type(error).__name__
        else:
            found[name] = 'Invalid' if isinstance(returned, Invalid) else ''
    return found


class _Parts:
    """Other instances that answer with one part."""

    def __init__(self, compressed: bytes) -> None:
        self._compressed = compressed

    async def follow(self, *_: Any) -> Any:
        yield routers_pb2.Part(compressed=self._compressed)


def _packed_message(value: bytes) -> bytes:
    """Return what decompresses to bytes that are no protobuf message."""
    return zlib.compress(b'\xff%b' % value)


def _run(call: Callable[..., Any], *arguments: Any) -> Any:
    async def main() -> Any:
        return await call(*arguments)

    return virtual.run(main)


def _with_stored(key: str, value: bytes, call: Callable[[MemoryStore, LoopClock], Any]) -> Any:
    """Call with a store that holds ``value`` under ``key``."""

    async def main() -> Any:
        clock = LoopClock()
        store = MemoryStore(clock)
        store.put(key, value)
        return await call(store, clock)

    return virtual.run(main)


@readers.add('the entry decoder')
def _entry(value: bytes) -> Any:
    return module('documents').PlatformDecoder().server(Stored('servers/x', value, 1), 0.0)


@readers.add('the configuration decoder')
def _config(value: bytes) -> Any:
    return module('documents').PlatformDecoder().declared(Stored('op/config', value, 1))


@readers.add('the record of a shard')
def _shard(value: bytes) -> Any:
    return record_format.decode(value)


@readers.add('the compressed record of a shard')
def _compressed_shard(value: bytes) -> Any:
    return record_format.decode(zlib.compress(value))


@readers.add('the record of grants')
def _grants(value: bytes) -> Any:
    return grants.decode(value)


@readers.add('the minimum epochs')
def _min_epochs(value: bytes) -> Any:
    def read(store: MemoryStore, clock: LoopClock) -> Any:
        return min_epochs.read_min_epochs(store, clock.now_s() + 1)

    return _with_stored(f'{min_epochs.PREFIX}1', value, read)


@readers.add('the batch of ended records')
def _batch(value: bytes) -> Any:
    return batches.decode(batches.FORMAT + value)


@readers.add('the head of the configuration')
def _head(value: bytes) -> Any:
    return revisions.decode_head(value)


@readers.add('the pushed configuration')
def _push(value: bytes) -> Any:
    return packing.unpacked_push(members_pb2.PushRequest(packed=_packed_message(value)))


@readers.add("the parts of a peer's reply")
def _reply(value: bytes) -> Any:
    peers: Any = _Parts(_packed_message(value))
    reader = PartsReader(peers, LoopClock())
    request, reply = routers_pb2.DeclarationsRequest(), routers_pb2.DeclarationsReply
    return _run(reader.read, 'peer', rpcs.DECLARATIONS, request, reply, 1.0)


@readers.add('the list of instances')
def _instances(value: bytes) -> Any:
    return decode_list(value)


@readers.add('the declarations')
def _declarations(value: bytes) -> Any:
    return read_declarations(f'a = {value.decode(errors="replace")}', 'file')


@readers.add('the packed declarations')
def _packed(value: bytes) -> Any:
    packed = f'zlib:{b64encode(zlib.compress(value or b"{")).decode()}'
    return _run(travelling.read_travelled, packed, 'file')


@readers.add('the settings file')
def _settings(value: bytes) -> Any:
    found = read_node(f'{NODE}\n[more]\nfield = {value.decode("latin-1")}')
    if isinstance(found, str):
        raise UserError(found)
    return found


@readers.add('the body of a call')
def _body(value: bytes) -> Any:
    return read_document(value, frozenset())


@readers.add('the body sent to an engine')
def _engine_body(value: bytes) -> Any:
    return EngineRequest(runs_pb2.StartRequest(body=value))


@readers.add('the event of an engine')
def _event(value: bytes) -> Any:
    return parse_piece(value)


@readers.add('the response to a store read')
def _store_read(value: bytes) -> Any:
    return _store_call(value, 'read', 'key')


@readers.add('the response to a store write')
def _store_write(value: bytes) -> Any:
    return _store_call(value, 'swap', 'key', b'', 0)


@readers.add('the wanted state of an engine')
def _wanted(value: bytes) -> Any:
    def read(store: MemoryStore, clock: LoopClock) -> Any:
        return OrderStore(store, 'llm', clock).read_wanted()

    return _with_stored('orders/llm', value or b'[]', read)


@readers.add('the record of versions')
def _versions(value: bytes) -> Any:
    async def read(store: MemoryStore, clock: LoopClock) -> Any:
        register = VersionRegister(store, RoutingState(), clock, 'r')
        running = asyncio.ensure_future(register.run())
        try:
            # None: as if the store did not answer.
            if await register.read() is None:
                raise LookupError
        finally:
            running.cancel()

    return _with_stored(VERSIONS_KEY, value or b'[]', read)


@readers.add('the counter of orders')
def _fence(value: bytes) -> Any:
    def read(store: MemoryStore, clock: LoopClock) -> Any:
        return Fences(store, clock, 1.0).of('llm', 'order', clock.now_s() + 1)

    return _with_stored(f'{FENCES_PREFIX}llm', value, read)


@readers.add('the records of crashes')
def _crashes(value: bytes) -> Any:
    async def read(store: MemoryStore, clock: LoopClock) -> Any:
        with anyio.move_on_after(1):
            await StoredCrashes(store, CrashRecords(ForwardSettings()), clock).run()

    return _with_stored(f'{CRASHES_PREFIX}digest', value, read)


class _Link:
    """A link to an engine that answers each request with the same bytes."""

    def __init__(self, content: bytes) -> None:
        self.status_code = 200
        self._content = content

    def build(self, *_: Any) -> None:
        """Build no request."""

    @asynccontextmanager
    async def exchange(self, *_: Any) -> Any:
        yield self

    async def pieces(self, *_: Any) -> Any:
        yield self._content


@readers.add('the load report of an engine')
def _load(value: bytes) -> Any:
    link: Any = _Link(value)
    return _run(EngineControl(BackendSettings(), link, LoopClock()).load)


@readers.add('the lines of a log')
def _log_line(value: bytes) -> Any:
    return line_fields(value.decode(errors='replace'))


class _Answering:
    """Connections to a store that answers each call with the same bytes."""

    def __init__(self, content: bytes) -> None:
        self.status = 200
        self._content = content

    def exchange(self, *_: Any) -> '_Answering':
        return self

    async def __aenter__(self) -> '_Answering':
        return self

    async def __aexit__(self, *_: object) -> None:
        """Keep the connection."""

    async def chunks(self) -> Any:
        yield self._content


def _store_call(value: bytes, name: str, *arguments: Any) -> Any:
    store = module('kv_store').KvStore('store', LoopClock(), _Answering(value))
    return _run(getattr(store, name), *arguments, 1.0)
