"""Plays in which sidecars and engines are lost, refuse requests or lose runs."""

import anyio

from endivesaddle.stand_ins.memory_peers import Fault
from endivesaddle.wire import rpcs, runs_pb2
from subjects.requests_fleet import Fleet
from subjects.requests_plays import B_ROUTERS, MID_ANSWER_S, ONCE, PLAYS, RETRY, WHOLE, part


@PLAYS.add('the sidecar dies during an unstreamed answer')
async def sidecar_dies_whole(fleet: Fleet) -> None:
    """Kill the sidecar before the caller got any output."""
    fleet.begin('ana', 'router-a2', **WHOLE)
    await anyio.sleep(MID_ANSWER_S)
    fleet.kill_sidecar('A')
    await anyio.sleep(20)


@PLAYS.add('the sidecar dies during a streamed answer')
async def sidecar_dies_streamed(fleet: Fleet) -> None:
    """Kill the sidecar after the caller got some tokens."""
    fleet.begin('ana', 'router-a2')
    await anyio.sleep(MID_ANSWER_S)
    fleet.kill_sidecar('A')
    await anyio.sleep(20)


@PLAYS.add('the sidecar dies during a request that may not be repeated')
async def sidecar_dies_once(fleet: Fleet) -> None:
    """Kill the sidecar, and retry."""
    fleet.begin('ana', 'router-a2', **ONCE, **WHOLE)
    await anyio.sleep(MID_ANSWER_S)
    fleet.kill_sidecar('A')
    await anyio.sleep(20)
    await fleet.call('ana again', 'router-b2', **ONCE, **WHOLE, **RETRY)


@PLAYS.add('an attempt is given up, the next is refused, and the first answers late')
async def given_up_answers(fleet: Fleet) -> None:
    """Silence the connection to the first sidecar for a while; the other one drains."""
    drain = runs_pb2.DrainRequest(reason='test', deadline_unix_s=0)
    await fleet.sidecars['B'].runs.answer_drain(drain)
    fleet.begin('ana', 'router-a2', **WHOLE)
    await anyio.sleep(0.2)
    fleet.net.part({'router-a1', 'router-a2', 'router-b1'}, {'sidecar-A'})
    await anyio.sleep(20)
    fleet.net.heal()
    await anyio.sleep(10)
    fleet.notes['billed before the retry'] = len(fleet.ledger.bills)
    await fleet.call('ana again', 'router-b2', **WHOLE, **RETRY)


@PLAYS.add('an attempt is given up and never answers, and the next is refused')
async def given_up_for_good(fleet: Fleet) -> None:
    """Kill the sidecar of the first attempt, so that no instance can report it."""
    drain = runs_pb2.DrainRequest(reason='test', deadline_unix_s=0)
    await fleet.sidecars['B'].runs.answer_drain(drain)
    fleet.begin('ana', 'router-a2', **WHOLE)
    await anyio.sleep(MID_ANSWER_S)
    fleet.kill_sidecar('A')
    await anyio.sleep(400)


@PLAYS.add('a holder dies during a provisional run of a request that ran in another data centre')
async def provisional_holder_dies(fleet: Fleet) -> None:
    """Have the sidecar report to a successor that doesn't know the claim."""
    part(fleet)
    for router in B_ROUTERS:
        fleet.routers[router].routing.servers = {'B': 'sidecar-B'}
    fleet.begin('ana', 'router-a2')
    await anyio.sleep(1)
    fleet.begin('ana again', 'router-b1', **RETRY)
    await anyio.sleep(2)
    fleet.take_over('porto-b', 'router-b2', recovered=True)
    await anyio.sleep(10)
    fleet.net.heal()
    await anyio.sleep(20)


@PLAYS.add('the sidecar restarts between a START and its retry')
async def sidecar_restarts(fleet: Fleet) -> None:
    """Lose the reply to a START, and restart the sidecar before the START is retried."""
    fleet.net.faults['router-a2', 'sidecar-A'] = Fault.LOST_REPLY
    fleet.begin('ana', 'router-a2', **ONCE)
    await anyio.sleep(0.5)
    fleet.kill_sidecar('A')
    fleet.view.listed['sidecar-A'].incarnation = 1
    fleet.add_sidecar('A', 'porto-a', incarnation=2)
    fleet.view.listed['sidecar-A'].incarnation = 1
    fleet.net.heal()
    await anyio.sleep(20)


@PLAYS.add('an unreachable sidecar is given up, continues its run, and is reachable again')
async def unknown_runs_on(fleet: Fleet) -> None:
    """Refuse the caller with "unknown" while the run continues, and retry."""
    fleet.sidecars['A'].engine.token_s = 3.0
    fleet.begin('ana', 'router-a2', **ONCE, **WHOLE)
    await anyio.sleep(1)
    fleet.net.part({'router-a2'}, {'sidecar-A'})
    await anyio.sleep(18)
    fleet.net.heal()
    await fleet.call('ana again', 'router-b2', **ONCE, **WHOLE, **RETRY)


@PLAYS.add('a sidecar is restarted during a request that may not be repeated')
async def sidecar_restarts_once(fleet: Fleet) -> None:
    """Restart the sidecar; its new incarnation is visible."""
    fleet.begin('ana', 'router-a2', **ONCE, **WHOLE)
    await anyio.sleep(MID_ANSWER_S)
    fleet.kill_sidecar('A')
    fleet.add_sidecar('A', 'porto-a', incarnation=2)
    await anyio.sleep(30)


@PLAYS.add('the engine breaks off before any output was passed on')
async def engine_breaks(fleet: Fleet) -> None:
    """Have the engine break off before its first token."""
    fleet.sidecars['A'].engine.lose_after = 0
    await fleet.call('ana', 'router-a2')


@PLAYS.add('the engine breaks off during a request that may not be repeated')
async def engine_breaks_once(fleet: Fleet) -> None:
    """Have the engine break off after three tokens; its sidecar keeps running."""
    fleet.sidecars['A'].engine.lose_after = 3
    await fleet.call('ana', 'router-a2', **ONCE, **WHOLE)
    await anyio.sleep(10)


@PLAYS.add('the engine of the first server is unreachable')
async def engine_unsent(fleet: Fleet) -> None:
    """Make the first engine unreachable, so that the request is sent to the second."""
    fleet.sidecars['A'].engine.unsent = True
    await fleet.call('ana', 'router-a2', **ONCE)


@PLAYS.add('every sidecar refuses to start the run, and later accepts it')
async def all_refuse(fleet: Fleet) -> None:
    """Drain all sidecars, and send the same key again when one accepts requests."""
    drain = runs_pb2.DrainRequest(reason='test', deadline_unix_s=0)
    for sidecar in fleet.sidecars.values():
        await sidecar.runs.answer_drain(drain)
    await fleet.call('ana', 'router-a2', **ONCE)
    fleet.add_sidecar('A', 'porto-a', incarnation=2)
    await fleet.call('ana again', 'router-b2', **ONCE, **RETRY)


@PLAYS.add('a dispatch is refused and released although its copy remains')
async def stale_copy(fleet: Fleet) -> None:
    """Retry in the same data centre while the other one still has the copy."""
    drain = runs_pb2.DrainRequest(reason='test', deadline_unix_s=0)
    for sidecar in fleet.sidecars.values():
        await sidecar.runs.answer_drain(drain)
    await fleet.call('ana', 'router-a2', **ONCE)
    for server, data_centre in (('A', 'porto-a'), ('B', 'porto-b')):
        fleet.add_sidecar(server, data_centre, incarnation=2)
    await fleet.call('ana again', 'router-a2', **ONCE, **RETRY)


@PLAYS.add('a sidecar refuses the START of one router while that of another is in transit')
async def refused_then_taken(fleet: Fleet) -> None:
    """Refuse the first of two STARTs; the second arrives after the withdrawal."""
    handlers = fleet.net.nodes['sidecar-A']
    start = handlers.unary[rpcs.START.path]
    calls: list[runs_pb2.StartRequest] = []

    async def refuse_first(message: runs_pb2.StartRequest) -> runs_pb2.StartReply:
        calls.append(message)
        if len(calls) == 1:
            await anyio.sleep(0.3)
            return runs_pb2.StartReply(verdict='refused', code='full', not_run=True)
        await anyio.sleep(0.6)
        reply: runs_pb2.StartReply = await start(message)
        return reply

    handlers.answer(rpcs.START, refuse_first)
    fleet.begin('ana', 'router-a1', **ONCE)
    await anyio.sleep(0.1)
    fleet.begin('ana again', 'router-a2', **RETRY, **ONCE)
    await anyio.sleep(15)
