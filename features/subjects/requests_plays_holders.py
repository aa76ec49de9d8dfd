"""Plays in which callers leave and holders are lost, silent or out of tokens."""

import anyio

from endivesaddle.fleet.interfaces import Answer
from endivesaddle.fleet.requests.batches import decode
from endivesaddle.stand_ins.memory_peers import Fault
from endivesaddle.wire import holders_pb2, rpcs, runs_pb2
from subjects.requests_fleet import Fleet
from subjects.requests_plays import (
    A_ROUTERS,
    B_ROUTERS,
    KEY,
    MID_ANSWER_S,
    ONCE,
    PLAYS,
    RETRY,
    WHOLE,
)


@PLAYS.add('a caller who can not come back goes away')
async def leaves_unnamed(fleet: Fleet) -> None:
    """The router made the id; nobody can retry."""
    await fleet.call_and_leave('ana', 'router-a2', MID_ANSWER_S, named=False)
    await anyio.sleep(20)


@PLAYS.add('a caller who may come back goes away and comes back')
async def leaves_named(fleet: Fleet) -> None:
    """The run goes on for a while."""
    await fleet.call_and_leave('ana', 'router-a2', MID_ANSWER_S)
    await anyio.sleep(0.5)
    await fleet.call('ana again', 'router-b2', **RETRY)
    await anyio.sleep(20)


@PLAYS.add('a caller goes away from a request that may not be repeated')
async def leaves_once(fleet: Fleet) -> None:
    """It is not cancelled: what it began must be ended."""
    await fleet.call_and_leave('ana', 'router-a2', MID_ANSWER_S, named=False, **ONCE)
    await anyio.sleep(20)


@PLAYS.add('the holder dies under a request that may not be repeated, which is retried')
async def holder_dies(fleet: Fleet) -> None:
    """Its successor is not recovered; the copy in the other data centre tells."""
    fleet.begin('ana', 'router-a2', **ONCE)
    await anyio.sleep(MID_ANSWER_S)
    fleet.take_over('porto-a', 'router-a2', recovered=False)
    await fleet.call('ana again', 'router-a2', **ONCE, **RETRY)
    await anyio.sleep(5)


@PLAYS.add('the holder dies with the only copies of a request that may not be repeated')
async def holder_and_copy_die(fleet: Fleet) -> None:
    """Nobody knows whether it ran."""
    fleet.begin('ana', 'router-a2', **ONCE)
    await anyio.sleep(MID_ANSWER_S)
    fleet.take_over('porto-b', 'router-b2', recovered=True)
    fleet.take_over('porto-a', 'router-a2', recovered=False)
    fleet.kill_sidecar('A')
    await fleet.call('ana again', 'router-a2', **ONCE, **RETRY)
    await anyio.sleep(20)


@PLAYS.add('no second instance can keep the dispatch')
async def no_copy(fleet: Fleet) -> None:
    """The holder is alone."""
    everyone = (A_ROUTERS | B_ROUTERS) - {'router-a1'}
    for other in everyone:
        fleet.net.faults['router-a1', other] = Fault.CUT
    await fleet.call('ana', 'router-a1', **ONCE)


@PLAYS.add('the holder is out of reach when the answer ends')
async def holder_silent_at_end(fleet: Fleet) -> None:
    """The bill is kept elsewhere and settled later."""
    fleet.begin('ana', 'router-a2')
    await anyio.sleep(MID_ANSWER_S)
    fleet.net.part({'router-a1'}, {'router-a2', 'sidecar-A'})
    await anyio.sleep(10)
    fleet.notes['billed while parted'] = len(fleet.ledger.bills)
    copies = [router.claims.find_copy(KEY) for router in fleet.routers.values()]
    fleet.notes['copies of the outcome'] = sum(
        copy is not None and copy.state == 'ended' for copy in copies
    )
    fleet.net.heal()
    await anyio.sleep(20)


@PLAYS.add('the holder is out of reach when the answer ends, and the sidecar dies')
async def holder_silent_sidecar_dies(fleet: Fleet) -> None:
    """Only the router is left to report."""
    fleet.begin('ana', 'router-a2')
    await anyio.sleep(MID_ANSWER_S)
    fleet.net.part({'router-a1'}, {'router-a2', 'sidecar-A'})
    await anyio.sleep(10)
    fleet.kill_sidecar('A')
    fleet.net.heal()
    await anyio.sleep(20)


@PLAYS.add('the end of a streamed answer is handed out')
async def end_handed_out(fleet: Fleet) -> None:
    """Look at the bills when the caller has the mark of the end."""
    came_to = await fleet.routers['router-a2'].front.serve(fleet.request())
    assert isinstance(came_to, Answer)
    async for piece in came_to.chunks:
        if b'[DONE]' in piece:
            fleet.notes['bills by then'] = len(fleet.ledger.bills)


@PLAYS.add('a run that nobody can report passes its deadline')
async def unreported(fleet: Fleet) -> None:
    """Router and sidecar are gone."""
    deadline_unix_s = fleet.clock.now_s() + 10
    fleet.begin('ana', 'router-a2', deadline_unix_s=deadline_unix_s, **ONCE)
    await anyio.sleep(MID_ANSWER_S)
    fleet.kill_sidecar('A')
    fleet.kill_router('router-a2')
    await anyio.sleep(100)
    fleet.notes['reserved meanwhile'] = len(fleet.ledger.reserved)
    await anyio.sleep(300)


@PLAYS.add('a dispatched run that was never started passes its deadline')
async def never_started(fleet: Fleet) -> None:
    """The router died in between; the sidecar says that it knows nothing."""
    fleet.net.faults['router-a2', 'sidecar-A'] = Fault.SILENT
    deadline_unix_s = fleet.clock.now_s() + 10
    fleet.begin('ana', 'router-a2', deadline_unix_s=deadline_unix_s, **ONCE)
    await anyio.sleep(0.5)
    fleet.kill_router('router-a2')
    await anyio.sleep(30)


@PLAYS.add('the budget is spent')
async def budget_spent(fleet: Fleet) -> None:
    """The holder refuses."""
    fleet.ledger.free_tokens = 5
    await fleet.call('ana', 'router-a2')


@PLAYS.add('no holder can be reached')
async def no_holder(fleet: Fleet) -> None:
    """Holders are known and don't listen."""
    fleet.net.kill('router-a1')
    fleet.net.kill('router-b1')
    await fleet.call('ana', 'router-a2')


@PLAYS.add('no backend server is free for a request whose retry waits as well')
async def refused_with_retry(fleet: Fleet) -> None:
    """The first call gives up while a second is attached."""
    fleet.routers['router-a2'].routing.refuse = True
    fleet.routers['router-a2'].routing.wait_s = 0.5
    fleet.begin('ana', 'router-a2')
    await anyio.sleep(0.2)
    await fleet.call('ana again', 'router-b2', **RETRY)


@PLAYS.add('the deadline of the caller passes in the middle')
async def deadline(fleet: Fleet) -> None:
    """It reaches the engine."""
    await fleet.call('ana', 'router-a2', deadline_unix_s=fleet.clock.now_s() + 2, **WHOLE)
    await anyio.sleep(5)


@PLAYS.add('the record is asked for after its router and holder are gone')
async def recorded(fleet: Fleet) -> None:
    """It went to the store in a batch."""
    await fleet.call('ana', 'router-a2')
    await anyio.sleep(12)
    fleet.kill_router('router-a2')
    fleet.take_over('porto-a', '', recovered=False)
    question = holders_pb2.FindRequest(request_key=KEY)
    fleet.found = await fleet.routers['router-b2'].recorder.find(question)


@PLAYS.add('the store is down, loses an answer and is back')
async def recorded_late(fleet: Fleet) -> None:
    """Records wait and are written once."""
    fleet.store.fail(True)
    await fleet.call('ana', 'router-a2')
    await anyio.sleep(12)
    fleet.store.fail(False)
    fleet.store.lose_answers = 1
    recorder = fleet.routers['router-a1'].recorder
    await recorder.flush()
    await recorder.flush()
    slots = await fleet.store.list('records/', fleet.clock.now_s() + 1)
    stored = [decode(slot.value or b'').records for slot in slots]
    fleet.notes['records stored'] = sum(len(records) for records in stored)
    fleet.take_over('porto-a', '', recovered=False)
    question = holders_pb2.FindRequest(request_key=KEY)
    fleet.found = await fleet.routers['router-b2'].recorder.find(question)


@PLAYS.add('the budget makes a claim wait for longer than one call lasts')
async def claim_waits(fleet: Fleet) -> None:
    """The holder answers "waiting" meanwhile."""
    fleet.ledger.slow_s = 5
    await fleet.call('ana', 'router-a2')


@PLAYS.add('the link between a router and its holder alone is silent')
async def holder_silent_to_one(fleet: Fleet) -> None:
    """All other links work, and both are listed as live."""
    fleet.net.part({'router-a2'}, {'router-a1'})
    await fleet.call('ana', 'router-a2', **ONCE)


@PLAYS.add('a caller goes away while its claim waits for the budget')
async def leaves_waiting(fleet: Fleet) -> None:
    """The claim is granted afterwards."""
    fleet.ledger.slow_s = 3
    await fleet.call_and_leave('ana', 'router-a2', 1)
    await anyio.sleep(4)


@PLAYS.add('the own holder is back after the claim was granted elsewhere')
async def own_holder_back(fleet: Fleet) -> None:
    """The note of the dispatch gets no reply, so the router claims again, at its own."""
    fleet.net.faults['router-a2', 'router-a1'] = Fault.CUT
    handlers = fleet.net.nodes['router-b1']
    note = handlers.unary[rpcs.NOTE.path]
    heard: list[holders_pb2.NoteRequest] = []

    async def silent_twice(message: holders_pb2.NoteRequest) -> holders_pb2.NoteReply:
        heard.append(message)
        fleet.net.heal()
        if len(heard) < 3:
            await anyio.sleep_forever()
        reply: holders_pb2.NoteReply = await note(message)
        return reply

    handlers.answer(rpcs.NOTE, silent_twice)
    await fleet.call('ana', 'router-a2')


@PLAYS.add('a retry comes when the sidecar has forgotten the answer')
async def answer_gone(fleet: Fleet) -> None:
    """The holder still remembers that it ran."""
    await fleet.call('ana', 'router-a2', **ONCE)
    await anyio.sleep(1500)
    await fleet.call('ana again', 'router-b2', **ONCE, **RETRY)


@PLAYS.add('the only sidecar is full for a moment')
async def full_for_a_moment(fleet: Fleet) -> None:
    """It refuses one start and takes the next."""
    fleet.routers['router-a2'].routing.servers = {'A': 'sidecar-A'}
    handlers = fleet.net.nodes['sidecar-A']
    start = handlers.unary[rpcs.START.path]

    async def refuse_once(message: runs_pb2.StartRequest) -> runs_pb2.StartReply:
        handlers.answer(rpcs.START, start)
        return runs_pb2.StartReply(verdict='refused', code='full', not_run=True)

    handlers.answer(rpcs.START, refuse_once)
    await fleet.call('ana', 'router-a2', **ONCE)
