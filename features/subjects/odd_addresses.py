"""Subject: clients that connect to impossible addresses."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from endivesaddle.backend_servers.server_connection import connect
from endivesaddle.fleet.clock import WallClock
from endivesaddle.fleet.registry import Registry
from endivesaddle.instances.peers import GrpcPeers
from endivesaddle.instances.settings import InstancesSettings
from endivesaddle.wire import routers_pb2, rpcs
from subjects.odd_values import ADDRESSES

CALL_S = 2.0

clients: Registry[Callable[[str], Awaitable[Any]]] = Registry('client')


@clients.add('the client of other instances')
async def _call(address: str) -> None:
    clock = WallClock()
    peers = GrpcPeers(InstancesSettings(link_in_the_open='yes'), clock)
    try:
        await peers.call(address, rpcs.WORD, routers_pb2.Word(), clock.now_s() + CALL_S)
    finally:
        peers.close()


@clients.add('the client of backend servers')
async def _connect(address: str) -> None:
    await connect(address)


def outcomes(client: str) -> dict[str, str]:
    """Return the name of the error with which a client ends, by address."""
    return anyio.run(_outcomes, client)


async def _outcomes(client: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for name, address in ADDRESSES.items():
        try:
            await clients.find(client)(address)
        except Exception as error:  # noqa: BLE001 (any error but that of the layer is a fault)
            found[name] = type(error).__name__
        else:
            found[name] = ''
    return found
