"""Run a node as a process: its sockets, its start and its graceful stop."""

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple, Protocol

import anyio

from endivesaddle.callers.server import serve as serve_http
from endivesaddle.daemon import events
from endivesaddle.daemon.node import Node, Ports
from endivesaddle.daemon.settings import InstanceSettings
from endivesaddle.fleet.clock import Clock, WallClock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.membership.instance_list import ListReader
from endivesaddle.fleet.ports import Handlers
from endivesaddle.instances import GrpcPeers, InstancesSettings
from endivesaddle.instances import serve as serve_calls
from endivesaddle.platform import InstanceList, PlatformSettings, open_store

MILLISECONDS = 1000


class ProcessSettings(Protocol):
    """The settings that both kinds of process have."""

    @property
    def place(self) -> InstanceSettings:
        """Who it is and where it listens."""

    @property
    def platform(self) -> PlatformSettings:
        """The platform's services."""

    @property
    def links(self) -> InstancesSettings:
        """The links to other instances."""


class Started(NamedTuple):
    """A process that listens: its node, its addresses and the way to stop it."""

    node: Node
    address: str
    http_address: str
    stop: Callable[[], None]


Build = Callable[[str, Ports, Handlers], Node]
"""Build a node that answers at an address."""


def identity_of(place: InstanceSettings, role: str, address: str, server: str = '') -> Identity:
    """Return the identity of a process that starts now.

    The incarnation is the start in milliseconds: it grows with each start, and a
    returning instance needs no memory of its own for it.
    """
    return Identity(
        instance=place.instance,
        role=role,
        data_centre=place.data_centre,
        region=place.region,
        address=address,
        incarnation=int(time.time() * MILLISECONDS),
        server=server,
    )


async def run(
    settings: ProcessSettings,
    build: Build,
    started: Callable[[Started], None],
) -> None:
    """Run a process until ``Started.stop`` is called and its work has ended."""
    clock = WallClock()
    handlers = Handlers()
    async with (
        _links(settings.links, clock) as peers,
        open_store(settings.platform, clock) as store,
        _instance_list(settings.platform, clock) as reader,
        serve_calls(handlers, settings.place.listen, settings.links) as address,
    ):
        node = build(address, Ports(store, peers, clock, reader, store.rate), handlers)
        async with anyio.create_task_group() as group:
            group.start_soon(node.run)
            await _live(settings.place, node, address, started)
            group.cancel_scope.cancel()
    events.STOPPED.log(instance=settings.place.instance)


async def _live(
    place: InstanceSettings, node: Node, address: str, started: Callable[[Started], None]
) -> None:
    """Serve HTTP from the start to the end of a graceful stop."""
    stopping = anyio.Event()
    closed = anyio.Event()
    async with anyio.create_task_group() as serving:
        http_address: str = await serving.start(
            serve_http, node.app, place.http_listen, closed, place.stop_within_s
        )
        events.STARTED.log(address=address, http_address=http_address)
        started(Started(node, address, http_address, stopping.set))
        await stopping.wait()
        await _stop(node, place)
        closed.set()


async def _stop(node: Node, place: InstanceSettings) -> None:
    """Leave, let the balancer and the peers notice, and end the last work.

    The listeners stay open for ``notice_s``: a balancer that has not looked yet
    still sends requests, and these get "not run" with an answer instead of a
    refused connection.
    """
    events.LEAVING.log(instance=place.instance)
    limit = anyio.move_on_after(place.stop_within_s)
    with limit:
        await node.leave()
        await anyio.sleep(place.notice_s)
        await node.drain()
    (events.CUT if limit.cancelled_caught else events.DRAINED).log(instance=place.instance)


@asynccontextmanager
async def _links(settings: InstancesSettings, clock: Clock) -> AsyncIterator[GrpcPeers]:
    peers = GrpcPeers(settings, clock)
    try:
        yield peers
    finally:
        peers.close()


@asynccontextmanager
async def _instance_list(
    settings: PlatformSettings, clock: Clock
) -> AsyncIterator[ListReader | None]:
    """Yield what reads the platform's list, None where the platform has none."""
    if not settings.instance_list_url:
        yield None
        return
    listed = InstanceList(settings, clock)

    async def read() -> dict[str, str]:
        found = await listed.fetch(clock.now_s() + settings.instance_list_poll_s)
        return {entry.instance: entry.state for entry in found}

    try:
        yield read
    finally:
        await listed.aclose()
