"""The deciding parts of a forwarding router, built from its settings and its ports."""

from typing import Any, NamedTuple

from endivesaddle.backend_servers.incarnation_proofs import ServerReports
from endivesaddle.daemon.forwarder_settings import ForwarderSettings
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.allocator_choice import AllocatorChoice
from endivesaddle.fleet.routes.call_times import TimedPeers
from endivesaddle.fleet.routes.failover_store import FailoverStore
from endivesaddle.fleet.routes.grant_group import AllocatorContext
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.instance_directory import ROUTER, Instance, InstanceDirectory
from endivesaddle.fleet.routes.prepaid_pools import PrepaidPools, PrepaidPoolsParts
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routes.store_watch import Decoder
from endivesaddle.fleet.routes.stream_parts import StreamContext, StreamParts
from endivesaddle.fleet.routing.dispatcher import Dispatcher


class ForwardPorts(NamedTuple):
    """What an adapter brings: its store, how it is read, header names, and servers' reports."""

    store: Any
    decoder: Decoder
    header_names: HeaderNames
    reports: ServerReports | None = None


class Decisions(NamedTuple):
    """What a router believes and decides with."""

    store: FailoverStore
    routing_state: RoutingState
    store_status: StoreStatus
    dispatcher: Dispatcher
    directory: InstanceDirectory
    pools: PrepaidPools
    allocator: Allocator
    streams: StreamParts


def decisions(
    settings: ForwarderSettings, ports: ForwardPorts, peers: TimedPeers, clock: Clock
) -> Decisions:
    """Build the deciding parts of a router."""
    place = settings.place
    store = FailoverStore(ports.store, peers, clock)
    routing_state = RoutingState()
    store_status = StoreStatus(clock)
    dispatcher = Dispatcher(
        settings.forward, routing_state, clock, place.lifetime, settings.waiting
    )
    directory = InstanceDirectory(
        store,
        clock,
        Instance(ROUTER, place.lifetime, place.listen, settings.forward.forward_data_centre),
    )
    allocator = Allocator(
        AllocatorContext(place.lifetime, place.listen, store, clock, peers, settings.allocator)
    )
    choice = AllocatorChoice(directory, place.listen, clock)
    pools = PrepaidPools(
        PrepaidPoolsParts(
            place.lifetime,
            place.listen,
            routing_state,
            choice,
            allocator,
            peers,
            clock,
            settings.supply,
        )
    )
    return Decisions(
        store,
        routing_state,
        store_status,
        dispatcher,
        directory,
        pools,
        allocator,
        StreamParts(
            StreamContext(routing_state, store_status, directory, store, peers, clock),
            place.lifetime,
            place.listen,
        ),
    )
