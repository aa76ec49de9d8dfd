"""The plays of the scenarios in requests*.feature, by name."""

from types import MappingProxyType

import anyio

from endivesaddle.fleet.registry import Registry
from endivesaddle.stand_ins.memory_peers import Fault
from subjects.requests_fleet import Fleet, Play

PLAYS: Registry[Play] = Registry('play')
MID_ANSWER_S = 2.2
KEY = 'azulejo/board-1'
A_ROUTERS = frozenset(('router-a1', 'router-a2'))
B_ROUTERS = frozenset(('router-b1', 'router-b2'))
RETRY = MappingProxyType({'first_attempt': False})
ONCE = MappingProxyType({'may_repeat': False})
WHOLE = MappingProxyType({'stream': False})


def part(fleet: Fleet, fault: Fault = Fault.SILENT) -> None:
    """Partition the data centres; each keeps its sidecar."""
    fleet.net.part({*A_ROUTERS, 'sidecar-A'}, {*B_ROUTERS, 'sidecar-B'}, fault)


@PLAYS.add('one request is sent')
async def one(fleet: Fleet) -> None:
    """Send a request without any fault."""
    await fleet.call('ana', 'router-a2')


@PLAYS.add('one request for an unstreamed answer is sent')
async def one_whole(fleet: Fleet) -> None:
    """Send a request for an unstreamed answer without any fault."""
    await fleet.call('ana', 'router-a2', **WHOLE)


@PLAYS.add('a router dies during the answer and the caller retries in another data centre')
async def router_dies(fleet: Fleet) -> None:
    """Retry in the other data centre, where the call attaches to the run."""
    fleet.begin('ana', 'router-a2', **ONCE)
    await anyio.sleep(MID_ANSWER_S)
    fleet.kill_router('router-a2')
    await fleet.call('ana again', 'router-b2', **RETRY, **ONCE)


@PLAYS.add('a router dies between dispatch and start')
async def router_dies_before_start(fleet: Fleet) -> None:
    """Kill the router after the dispatch; the START is sent for the retry."""
    fleet.net.faults['router-a2', 'sidecar-A'] = Fault.SILENT
    fleet.begin('ana', 'router-a2', **ONCE)
    await anyio.sleep(0.5)
    fleet.kill_router('router-a2')
    await fleet.call('ana again', 'router-b2', **RETRY, **ONCE)


@PLAYS.add('a router dies after its claim and before the dispatch')
async def router_dies_claimed(fleet: Fleet) -> None:
    """Kill the router after its claim, which the retry takes over."""
    fleet.net.faults['router-a1', 'router-a2'] = Fault.SILENT
    fleet.begin('ana', 'router-a2')
    await anyio.sleep(0.5)
    fleet.kill_router('router-a2')
    await fleet.call('ana again', 'router-b2', **RETRY)


@PLAYS.add('the caller retries while the first attempt is being answered')
async def retry_meanwhile(fleet: Fleet) -> None:
    """Retry while the first call is still open."""
    fleet.begin('ana', 'router-a2')
    await anyio.sleep(MID_ANSWER_S)
    await fleet.call('ana again', 'router-b2', **RETRY)


@PLAYS.add('the caller retries in a data centre that the configuration does not name')
async def retry_undeclared(fleet: Fleet) -> None:
    """Retry in a data centre that is known only by its visible routers."""
    fleet.view.configuration = fleet.view.configuration._replace(data_centres={})
    fleet.begin('ana', 'router-a2')
    await anyio.sleep(MID_ANSWER_S)
    await fleet.call('ana again', 'router-b2', **RETRY)


@PLAYS.add('the caller retries after the answer is complete')
async def retry_after(fleet: Fleet) -> None:
    """Retry while the sidecar still keeps the answer."""
    await fleet.call('ana', 'router-a2')
    await fleet.call('ana again', 'router-b1', **RETRY)


@PLAYS.add('two calls of one request arrive at once at two routers')
async def two_at_once(fleet: Fleet) -> None:
    """Send two calls whose routers claim at the same holder."""
    fleet.begin('ana', 'router-a1', **RETRY, **ONCE)
    await fleet.call('ana again', 'router-a2', **RETRY, **ONCE)
    await anyio.sleep(1)


@PLAYS.add('the same key is sent with another body')
async def conflict(fleet: Fleet) -> None:
    """Use the key of another request in the other data centre."""
    await fleet.call('ana', 'router-a2')
    await fleet.call('rui', 'router-b2', body=b'{"other": 1}', **RETRY)


@PLAYS.add('the same key is sent with another body to the same data centre')
async def conflict_here(fleet: Fleet) -> None:
    """Use the key of another request whose claim the same holder has."""
    await fleet.call('ana', 'router-a2')
    await fleet.call('rui', 'router-a1', body=b'{"other": 1}', **RETRY)
