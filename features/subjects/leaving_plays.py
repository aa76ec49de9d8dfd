"""How an instance or a backend server is made to leave, by name of the notice."""

from collections.abc import Awaitable, Callable

import anyio

from endivesaddle.fleet.registry import Registry
from subjects.trace_firm import World

NOTICE_S = 3.0
STOP_WITHIN_S = 60.0

Notice = Callable[[World, str], Awaitable[None]]
notices: Registry[Notice] = Registry('notice that a backend server leaves')


@notices.add('its own word')
async def own_word(world: World, sidecar: str) -> None:
    """Tell the sidecar to stop."""
    group = world.fleet.net.group
    assert group is not None
    group.start_soon(stop, world, sidecar)


@notices.add("the platform's list")
async def platforms_list(world: World, sidecar: str) -> None:
    """Have the platform list the sidecar's instance as leaving."""
    world.fleet.listed[sidecar] = 'leaving'


@notices.add('an operator')
async def operator(world: World, sidecar: str) -> None:
    """Drain the backend server through a router of the first data centre."""
    server = world.fleet.running[sidecar].place.server
    reply = await world.fleet.command(world.routers[0], f'drain server:{server}')
    assert reply['status'] == 0, reply


async def stop(world: World, name: str) -> None:
    """Stop an instance as its process does: leave, notice, drain, end."""
    node = world.fleet.running[name].node
    await node.leave()
    await anyio.sleep(NOTICE_S)
    with anyio.move_on_after(STOP_WITHIN_S):
        await node.drain()
    world.fleet.kill(name)
