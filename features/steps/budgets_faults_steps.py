"""Steps of budgets.feature for failures and their effects on the stored records."""

from typing import Any

import anyio
import msgspec
from behave import then, when

from endivesaddle.fleet.budgets import record_format, records
from endivesaddle.fleet.interfaces import Reserved
from endivesaddle.stand_ins.budget_sidecars import Work
from endivesaddle.stand_ins.memory_peers import Fault
from endivesaddle.wire import runs_pb2
from subjects.budget_orders import ACCOUNT
from subjects.budgets import Budgets
from subjects.saying import say

PLACES = ('porto-a', 'porto-b')


@when('the budget store loses the replies to {times:d} writes')
def lose(context: Any, times: int) -> None:
    """Lose the replies to writes that take effect."""
    say(context, _lose, times)


async def _lose(subject: Budgets, fields: Any) -> None:
    subject.fleet.store.lose_answers = fields[0]


@when('the budget store becomes unavailable')
def store_down(context: Any) -> None:
    """Make the store unavailable."""
    say(context, _store, True)


@when('the budget store is available again')
def store_back(context: Any) -> None:
    """Make the store available again."""
    say(context, _store, False)


async def _store(subject: Budgets, fields: Any) -> None:
    subject.fleet.store.fail(fields[0])


@when('the budget store takes {seconds:g} seconds for each call')
def store_slow(context: Any, seconds: float) -> None:
    """Set the latency of the store."""
    say(context, _slow, seconds)


async def _slow(subject: Budgets, fields: Any) -> None:
    subject.fleet.store.delay_s = fields[0]


@when('replies between the budget holders are lost')
def lose_replies(context: Any) -> None:
    """Drop the replies on the link between the two holders."""
    say(context, _lose_replies)


async def _lose_replies(subject: Budgets, fields: Any) -> None:
    one, other = ({subject.holder(place).identity.address} for place in PLACES)
    subject.fleet.net.part(one, other, Fault.LOST_REPLY)


@when('the budget store is available again and the links are restored')
def recover(context: Any) -> None:
    """Make the store available and restore the links."""
    say(context, _store, False)
    say(context, _heal)


async def _heal(subject: Budgets, fields: Any) -> None:
    subject.fleet.net.heal()


@when('the budget holder of {place} is killed and detected as failed')
def kill(context: Any, place: str) -> None:
    """Kill the holder and remove it from the view 1 s later."""
    say(context, _kill, place)


async def _kill(subject: Budgets, fields: Any) -> None:
    name = subject.holder(fields[0]).identity.instance
    subject.fleet.kill(name)
    await anyio.sleep(1)
    subject.fleet.forget(name)


@when(
    'the budget holder of {place} is killed, detected as failed'
    ' and restarted after {seconds:g} seconds'
)
def kill_for_a_while(context: Any, place: str, seconds: float) -> None:
    """Kill the holder, remove it from the view, and restart it."""
    say(context, _kill_for_a_while, place, seconds)


async def _kill_for_a_while(subject: Budgets, fields: Any) -> None:
    place, seconds = fields
    name = subject.holder(place).identity.instance
    subject.fleet.kill(name)
    await anyio.sleep(1)
    subject.fleet.forget(name)
    await anyio.sleep(seconds)
    subject.fleet.start_router(place, name, 2)
    await anyio.sleep(1)


@then('the budget shard of {place} is at epoch {epoch:d}')
def at_epoch(context: Any, place: str, epoch: int) -> None:
    """Check the epoch in the store."""
    record = record_format.decode(context.subject.play().notes['raw'])
    assert record['holders'][place]['epoch'] == epoch, record['holders']


@when('the budget task of the holder in {place} is restarted')
def restart_task(context: Any, place: str) -> None:
    """Cancel the background task and start it again."""
    say(context, _restart_task, place)


async def _restart_task(subject: Budgets, fields: Any) -> None:
    router = subject.holder(fields[0])
    router.scope.cancel()
    await anyio.sleep(0.1)
    router.scope = anyio.CancelScope()
    subject.fleet.tasks.start_soon(router.run)


@when('all budget sidecars of {place} are restarted')
def restart_sidecars(context: Any, place: str) -> None:
    """Restart the sidecars of a data centre."""
    say(context, _restart_sidecars, place)


async def _restart_sidecars(subject: Budgets, fields: Any) -> None:
    for name, sidecar in list(subject.fleet.sidecars.items()):
        if sidecar.member.data_centre == fields[0]:
            subject.fleet.start_sidecar(name, 2)


@when('the budget holder of {place} is paused and detected as failed')
def pause(context: Any, place: str) -> None:
    """Pause the holder and remove it from the view 1 s later."""
    say(context, _pause, place)


async def _pause(subject: Budgets, fields: Any) -> None:
    name = subject.holder(fields[0]).identity.instance
    subject.notes['paused'] = name
    subject.fleet.pause(name)
    await anyio.sleep(1)
    subject.fleet.forget(name)


@when('the budget holder of {place} leaves, and its successor reaches no sidecar')
def hand_over(context: Any, place: str) -> None:
    """Replace a holder that is alive."""
    say(context, _hand_over, place)


async def _hand_over(subject: Budgets, fields: Any) -> None:
    fleet = subject.fleet
    name = subject.holder(fields[0]).identity.instance
    fleet.view.left.add(name)
    successor = subject.holder(fields[0]).identity.address
    fleet.net.part({successor}, {f'{server}:1' for server in fleet.sidecars}, Fault.CUT)


@when('the paused budget holder resumes')
def resume(context: Any) -> None:
    """Resume the paused holder."""
    say(context, _resume)


async def _resume(subject: Budgets, fields: Any) -> None:
    subject.fleet.resume(subject.notes['paused'])


@when('the paused budget holder resumes and grants {tokens:d} to a router that starts the run')
def resume_and_grant(context: Any, tokens: int) -> None:
    """Have the resumed holder grant a reservation before it receives any message."""
    say(context, _resume_and_grant, tokens)


async def _resume_and_grant(subject: Budgets, fields: Any) -> None:
    fleet = subject.fleet
    resumed = fleet.routers[subject.notes['paused']]
    work = Work(ACCOUNT, f'{ACCOUNT}/resumed', fields[0], fields[0], 0.1, subject.now_s() + 5)
    fleet.truth.expect(work)
    reserved = await resumed.budgets.reserve(
        ACCOUNT, work.request_key, fields[0], subject.now_s() + 1
    )
    assert isinstance(reserved, Reserved), reserved
    message = runs_pb2.StartRequest(
        request_key=work.request_key,
        account=ACCOUNT,
        shard=reserved.shard,
        data_centre=reserved.data_centre,
        epoch=reserved.epoch,
        bound_tokens=fields[0],
    )
    fleet.resume(subject.notes['paused'])
    starts = [await sidecar.start(message) for sidecar in fleet.sidecars.values()]
    subject.notes['starts'] = {reply.code for reply in starts}


@then('the request of the resumed budget holder was refused by its sidecar')
def refused_by_sidecar(context: Any) -> None:
    """Check that every sidecar refuses the old epoch."""
    assert context.subject.play().notes['starts'] == {'epoch_sealed'}


@when('the budget record becomes {fault}')
def corrupt(context: Any, fault: str) -> None:
    """Replace the record by an unusable one."""
    say(context, _corrupt, fault)


async def _corrupt(subject: Budgets, fields: Any) -> None:
    record = await subject.record()
    if fields[0] == 'of a newer version':
        record['format'] = records.FORMAT + 1
    if fields[0] == 'over its budget':
        record['budgets'][ACCOUNT]['spent'] += 10**6
    raw = b'{"format": 1, "holders": ' if fields[0] == 'broken' else _json(record)
    subject.notes['corrupt'] = raw
    await subject.write(raw)


@when('the budget record is broken for {seconds:g} seconds and then restored')
def break_for_a_while(context: Any, seconds: float) -> None:
    """Replace the record by an unusable one and restore it later."""
    say(context, _break_for_a_while, seconds)


async def _break_for_a_while(subject: Budgets, fields: Any) -> None:
    stored = await subject.fleet.store.read(subject.key, float('inf'))
    await subject.write(b'{}')
    await anyio.sleep(fields[0])
    await subject.write(stored.value)


def _json(record: records.ShardRecord) -> bytes:
    return msgspec.json.encode(record)


@then('the budget record is still {fault}')
def still_corrupt(context: Any, fault: str) -> None:
    """Check that the record was not rewritten."""
    notes = context.subject.play().notes
    assert notes['raw'] == notes['corrupt'], (fault, notes['raw'])
