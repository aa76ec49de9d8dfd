"""Plays with late, lost, duplicated or crossing messages, and with partitions."""

from collections.abc import AsyncIterator
from typing import Any

import anyio

from endivesaddle.fleet.ports import Handler, Handlers
from endivesaddle.stand_ins.memory_peers import Fault
from endivesaddle.wire import rpcs, runs_pb2
from subjects.requests_fleet import Fleet
from subjects.requests_plays import B_ROUTERS, KEY, MID_ANSWER_S, ONCE, PLAYS, RETRY, part


@PLAYS.add('the first attempt is delayed and its retry runs in another data centre')
async def late_first(fleet: Fleet) -> None:
    """Send the first attempt after its retry, whose query has left a mark."""
    fleet.begin('ana again', 'router-a2', **RETRY, **ONCE)
    await anyio.sleep(0.3)
    await fleet.call('ana', 'router-b2', **ONCE)


@PLAYS.add('the holder with the mark is replaced before the delayed first attempt arrives')
async def late_first_new_holder(fleet: Fleet) -> None:
    """Replace the holder with the mark; the new one treats first attempts as retries."""
    fleet.begin('ana again', 'router-a2', **RETRY, **ONCE)
    await anyio.sleep(0.3)
    fleet.kill_router('router-b1')
    fleet.ledger.holders['porto-b'] = 'router-b2'
    fleet.ledger.epochs['porto-b'] += 1
    await fleet.call('ana', 'router-b2', **ONCE)


@PLAYS.add('retries cross in two data centres')
async def crossing(fleet: Fleet) -> None:
    """Have two retry queries cross while both claims are pending."""
    fleet.ledger.slow_s = 0.2
    fleet.begin('ana', 'router-a2', **RETRY, **ONCE)
    await fleet.call('ana again', 'router-b2', **RETRY, **ONCE)
    await anyio.sleep(5)


@PLAYS.add('a request that may not be repeated is retried across a partition')
async def parted_once(fleet: Fleet) -> None:
    """Retry while the other data centre can't be queried."""
    part(fleet)
    fleet.begin('ana', 'router-a2', **ONCE)
    await anyio.sleep(1)
    await fleet.call('ana again', 'router-b2', **RETRY, **ONCE)
    await anyio.sleep(5)


@PLAYS.add('a request is run on both sides of a partition, which then heals')
async def parted_both(fleet: Fleet) -> None:
    """Run on both sides, with provisional bills until the partition heals."""
    part(fleet)
    fleet.begin('ana', 'router-a2', **RETRY)
    for router in B_ROUTERS:
        fleet.routers[router].routing.servers = {'B': 'sidecar-B'}
    await fleet.call('ana again', 'router-b2', **RETRY)
    await anyio.sleep(10)
    fleet.notes['billed during the partition'] = len(fleet.ledger.bills)
    fleet.notes['reserved during the partition'] = len(fleet.ledger.reserved)
    fleet.net.heal()
    await anyio.sleep(20)


@PLAYS.add('a retry runs across a partition while the first attempt ran')
async def parted_first(fleet: Fleet) -> None:
    """Run a first attempt, whose bill is certain, and a retry with a provisional bill."""
    part(fleet)
    for router in B_ROUTERS:
        fleet.routers[router].routing.servers = {'B': 'sidecar-B'}
    fleet.begin('ana', 'router-a2')
    await anyio.sleep(1)
    await fleet.call('ana again', 'router-b2', **RETRY)
    await anyio.sleep(5)
    fleet.net.heal()
    await anyio.sleep(20)


def lose_first_reply(fleet: Fleet, address: str, rpc: rpcs.Rpc) -> None:
    """Carry out the first call of a kind at an address and lose its reply."""
    handlers: Handlers = fleet.net.nodes[address]
    handler = handlers.unary[rpc.path]

    async def losing(message: object) -> object:
        handlers.unary[rpc.path] = handler
        await handler(message)
        await anyio.sleep_forever()

    handlers.unary[rpc.path] = losing


def repeat_each(fleet: Fleet, address: str) -> None:
    """Deliver each call to an address twice, the second time a little later."""
    handlers: Handlers = fleet.net.nodes[address]
    for path, handler in list(handlers.unary.items()):
        handlers.unary[path] = _twice(handler)


def _twice(handler: Handler) -> Handler:
    async def twice(message: Any) -> Any:
        await handler(message)
        await anyio.sleep(0.05)
        return await handler(message)

    return twice


@PLAYS.add('the reply to a claim, a note, a start and a settlement is lost')
async def lost_replies(fleet: Fleet) -> None:
    """Lose one reply of each kind, so that the call is sent again."""
    for rpc in (rpcs.CLAIM, rpcs.NOTE, rpcs.SETTLE):
        lose_first_reply(fleet, 'router-a1', rpc)
    lose_first_reply(fleet, 'sidecar-A', rpcs.START)
    await fleet.call('ana', 'router-a2', **ONCE)
    await anyio.sleep(5)


@PLAYS.add('every call arrives twice')
async def duplicates(fleet: Fleet) -> None:
    """Deliver each call to routers and sidecars twice."""
    for address in (*fleet.routers, 'sidecar-A', 'sidecar-B'):
        repeat_each(fleet, address)
    await fleet.call('ana', 'router-a2', **RETRY, **ONCE)
    await anyio.sleep(5)


@PLAYS.add('the connection of an answer falls silent')
async def silent(fleet: Fleet) -> None:
    """Silence the sidecar during its answer, until a new connection works."""
    fleet.begin('ana', 'router-a2')
    await anyio.sleep(MID_ANSWER_S)
    fleet.net.faults['sidecar-A', 'router-a2'] = Fault.SILENT
    await anyio.sleep(2)
    fleet.net.heal()
    await anyio.sleep(15)


@PLAYS.add('chunks of another attempt, of another request and out of order arrive in between')
async def crossed(fleet: Fleet) -> None:
    """Insert foreign chunks into the answer of the sidecar."""
    handlers = fleet.net.nodes['sidecar-A']
    follow = handlers.streams[rpcs.FOLLOW.path]

    async def follow_crossed(message: runs_pb2.FollowRequest) -> AsyncIterator[runs_pb2.Chunk]:
        strange = {'data': b'STRANGE', 'offset_bytes': message.offset_bytes}
        yield runs_pb2.Chunk(request_key='azulejo/other', attempt=1, **strange)
        yield runs_pb2.Chunk(request_key=KEY, attempt=7, **strange)
        last = None
        async for chunk in follow(message):
            if last is not None:
                yield last
            yield chunk
            last = chunk if chunk.data else last
            if chunk.offset_bytes == 6 and chunk.data:
                beyond = chunk.offset_bytes + 9
                yield runs_pb2.Chunk(
                    request_key=KEY, attempt=1, offset_bytes=beyond, data=b'BEYOND'
                )

    handlers.streams[rpcs.FOLLOW.path] = follow_crossed
    await fleet.call('ana', 'router-a2')
