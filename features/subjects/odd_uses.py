"""Subject: what uses the documents of others, given each odd number in each numeric field."""

import asyncio
import math
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, NamedTuple

import msgspec

from endivesaddle.backend_servers.engine_control import LoadReport
from endivesaddle.callers.forward_requests import Head, read_request
from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.interfaces import NeverSent, ServerLost
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routes import grants
from endivesaddle.fleet.routes.advertised_limits import AdvertisedLimits
from endivesaddle.fleet.routes.declaration_index import DeclarationIndex
from endivesaddle.fleet.routes.declared import Route, RouteAccount
from endivesaddle.fleet.routes.forwarded import ForwardRequest
from endivesaddle.fleet.routes.leaving_servers import LeavingServers
from endivesaddle.fleet.routes.peer_updates import PeerUpdates, UpdateSources
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routes.store_snapshot import StoreSnapshot
from endivesaddle.fleet.routes.stored_crashes import PREFIX as CRASHES
from endivesaddle.fleet.routes.stored_crashes import StoredCrashes
from endivesaddle.fleet.routing.crash_blame import EndedRun
from endivesaddle.fleet.routing.crash_records import CrashRecord, CrashRecords
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.wire import routers_pb2
from subjects import unreadable
from subjects.odd_values import odd_numbers
from subjects.users_platform import CONFIG, ENTRY, ROUTE, header_names, module

TOTAL = 10_000
NEEDED = 20_000
REFUSED = (FleetError, NeverSent, ServerLost, ValueError)
"""What a reader raises for a document that it does not take."""

SERVER = MappingProxyType({**ENTRY, 'born': 5, 'cold_left_ms': 100})
WEIGHTED = MappingProxyType({'service': 'engines', 'weight': 1.0})
DECLARED = MappingProxyType(
    {
        'version': 7,
        'routes': [
            {
                **ROUTE,
                'service': 'engines',
                'backends': [dict(WEIGHTED), {**WEIGHTED, 'weight': 1.5e308}],
                'allowed_regions': [],
            }
        ],
        'services': [
            {
                'name': 'engines',
                'max_conns': 370,
                'cold_s': 1,
                'cold_per_s': 5,
                'engine': {'stride': 6, 'kv_capacity': 700, 'token_kv_bytes': 9, 'link_mbps': 100},
            }
        ],
        'tenants': [{**CONFIG['tenants'][0], 'allowed_regions': []}],
        'limits': {**CONFIG['limits'], 'max_body_bytes': 99999},
    }
)
RUNS = MappingProxyType({'a/1': [1.0, 2.0], 'b/1': [3.0, 4.0]})
CRASHED = ('digest', dict(RUNS), ['a/1'], 100.0, 1, 100.0, 3, ['request'])
GRANTED = ({'ateliers': [{'other': [1000, 10, 5]}]}, {'other': ['10.0.0.1:1', ['router']]})


class Use(NamedTuple):
    """A document of others: its type, a sound one with all fields, and what reads and uses it."""

    value_type: Any
    sound: Any
    use: Callable[[bytes], None]


class Failure(NamedTuple):
    """A number that breaks what uses it."""

    path: str
    value: str
    error: str


uses: Registry[Callable[[], Use]] = Registry('use of a document')


def failures(document: str) -> list[Failure]:
    """Return the numbers in the fields of a document that break what uses it."""
    value_type, sound, use = uses.find(document)()
    found: list[Failure] = []
    for odd in odd_numbers(value_type, sound):
        try:
            use(odd.document)
        except Exception as error:  # noqa: BLE001 (any error is a fault)
            found.append(Failure(odd.path, odd.value, repr(error)[:100]))
    return found


class _Directory:
    """No other instances."""

    sidecars = ()


class _Exchange:
    """A request whose head has been read."""

    began_unix_s = 1000.0
    method = 'POST'
    target = '/b/x'
    header_list: tuple[tuple[str, str], ...] = ()
    headers: MappingProxyType[str, str] = MappingProxyType({})


def _checked(routing_state: RoutingState) -> None:
    """Report what a router knows to another one."""
    clock = LoopClock()
    directory: Any = _Directory()
    reply = routers_pb2.WordReply()
    StoreSnapshot(routing_state, StoreStatus(clock), directory, clock).add_to(reply)
    reply.SerializeToString()


@uses.add('entry of a server')
def _entry() -> Use:
    return Use(module('documents')._Entry, dict(SERVER), _use_entry)


def _use_entry(document: bytes) -> None:
    async def use() -> None:
        routing_state = RoutingState()
        now_unix_s = LoopClock().now_s()
        try:
            server = (
                module('documents')
                .PlatformDecoder()
                .server(Stored('servers/x', document, 1), now_unix_s)
            )
        except REFUSED:
            return
        routing_state.update_server(server, 'store', 1)
        routing_state.note_server_list(1, now_unix_s)
        _checked(routing_state)

    virtual.run(use)


@uses.add('configuration')
def _configuration() -> Use:
    return Use(module('documents')._Config, dict(DECLARED), _use_configuration)


def _use_configuration(document: bytes) -> None:
    try:
        declared = module('documents').read_config(document)
    except REFUSED:
        return
    routing_state = RoutingState()
    routing_state.declare(declared, document, 'store')
    routers_pb2.Word(version=declared.version)
    math.ceil(declared.limits.idle_ms)
    index = DeclarationIndex(declared)
    account = declared.accounts[0]
    routers_pb2.DrawWord(total=account.total_tokens)
    for route in index.declared.routes:
        _use_route(route, account)


def _use_route(route: Route, account: RouteAccount) -> None:
    exchange: Any = _Exchange()
    request = read_request(exchange, Head(route, account), b'', header_names())
    assert isinstance(request, ForwardRequest), request
    assert str(request.urgency).isdigit()
    assert request.service
    int((request.end_unix_s - exchange.began_unix_s) * 1000)


@uses.add('record of crashes')
def _crashes() -> Use:
    return Use(CrashRecord, list(CRASHED), _use_crashes)


def _use_crashes(document: bytes) -> None:
    async def use() -> None:
        clock = LoopClock()
        store = MemoryStore(clock)
        store.put(f'{CRASHES}digest', document)
        records = CrashRecords(ForwardSettings())
        reading = asyncio.ensure_future(StoredCrashes(store, records, clock).run())
        await asyncio.sleep(1)
        now_unix_s = clock.now_s()
        for number in range(3):
            run = EndedRun(now_unix_s + number, now_unix_s + number)
            records.record_crash(['digest'], f'{number}', run, now_unix_s + number)
        sources = UpdateSources(records, LeavingServers(), AdvertisedLimits())
        PeerUpdates(sources, clock).since(routers_pb2.NewsMark()).SerializeToString()
        reading.cancel()

    virtual.run(use)


@uses.add('record of grants')
def _grants() -> Use:
    return Use(grants.Records, list(GRANTED), _use_grants)


def _use_grants(document: bytes) -> None:
    try:
        records = grants.decode(document)
    except REFUSED:
        return
    record = records.of('ateliers')
    grant = grants.Grant('own', 0.0)
    grant.apply_total(1, TOTAL)
    grant.update(record)
    grant.waiting = NEEDED
    granted = grant.wanted(grant.headroom(1.0))
    assert granted <= TOTAL, f'{granted} of {TOTAL} tokens are granted'
    entered = grant.entered(record, granted, 1.0)
    grants.decode(grants.encode(grants.Records({'ateliers': entered}, records.incarnations)))


@uses.add('load report of an engine')
def _load() -> Use:
    return Use(LoadReport, msgspec.to_builtins(LoadReport()), _use_load)


def _use_load(document: bytes) -> None:
    try:
        load = unreadable.readers.find('the load report of an engine')(document)
    except REFUSED:
        return
    load.SerializeToString()
