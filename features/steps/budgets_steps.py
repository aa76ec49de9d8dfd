"""Steps of budgets.feature: they queue actions, which the subject then runs."""

from typing import Any

import anyio
from behave import given, then, when

from endivesaddle.fleet.budgets import records, write_offs
from endivesaddle.fleet.budgets.direct_transfers import HolderEpoch
from endivesaddle.fleet.interfaces import Reserved
from subjects.budget_orders import ACCOUNT
from subjects.budgets import Budgets
from subjects.saying import say

PLACES = ('porto-a', 'porto-b')


@given('budgets with {tokens:d} tokens')
def budgets(context: Any, tokens: int) -> None:
    """Create a fleet with a declared budget."""
    context.subject = Budgets()
    say(context, _declare, tokens)
    say(context, _sleep, 1)


async def _declare(subject: Budgets, fields: Any) -> None:
    await subject.declare(*fields)


async def _sleep(subject: Budgets, fields: Any) -> None:
    await anyio.sleep(fields[0])


@when('budget time passes for {seconds:g} seconds')
def passes(context: Any, seconds: float) -> None:
    """Advance the virtual time."""
    say(context, _sleep, seconds)


@when('budget request "{name}" of {bound:d} that uses {used:d} is sent in {place}')
def send(context: Any, name: str, bound: int, used: int, place: str) -> None:
    """Send a short request."""
    say(context, _send, name, place, bound, used, 0.1)


@when('budget request "{name}" of {bound:d} that uses {used:d} runs {run:g} seconds in {place}')
def send_long(context: Any, name: str, bound: int, used: int, run: float, place: str) -> None:
    """Send a request with a given run time."""
    say(context, _send, name, place, bound, used, run)


async def _send(subject: Budgets, fields: Any) -> None:
    subject.send(*fields)


@when('budget requests of {bound:d} that use {used:d} are sent {times:d} times in turn')
def send_in_turn(context: Any, bound: int, used: int, times: int) -> None:
    """Send requests alternately in all data centres."""
    for number in range(times):
        place = PLACES[number % len(PLACES)]
        say(context, _send, f'{number} of {bound}', place, bound, used, 0.1)
        say(context, _sleep, 0.2)


@when(
    'budget requests of {bound:d} that use {used:d} are sent {times:d} times'
    ' each {gap:g} seconds in {place}'
)
def send_stream(context: Any, bound: int, used: int, times: int, gap: float, place: str) -> None:
    """Send a stream of requests in one data centre."""
    for number in range(times):
        say(context, _send, f'small {number}', place, bound, used, 0.1)
        say(context, _sleep, gap)


@when('a budget reservation of {bound:d} is settled with {used:d}, twice')
def settle_twice(context: Any, bound: int, used: int) -> None:
    """Make one reservation at the holder and settle it twice."""
    say(context, _settle_twice, bound, used)


async def _settle_twice(subject: Budgets, fields: Any) -> None:
    bound, used = fields
    holder = subject.holder('porto-a').budgets
    reserved = await holder.reserve(ACCOUNT, 'key', bound, subject.now_s() + 1)
    assert isinstance(reserved, Reserved), reserved
    subject.notes['bills'] = [holder.settle(ACCOUNT, 'key', reserved.epoch, used) for _ in range(2)]


@then('the budget bills were {one:d} and {other:d}')
def bills(context: Any, one: int, other: int) -> None:
    """Check the tokens billed by the two calls."""
    assert context.subject.play().notes['bills'] == [one, other]


@when('the budget is topped up by {tokens:d} as "{top_up_id}"')
def top_up(context: Any, tokens: int, top_up_id: str) -> None:
    """Top up the budget."""
    say(context, _top_up, tokens, top_up_id)


async def _top_up(subject: Budgets, fields: Any) -> None:
    await subject.top_up(*fields)


@when('the budget is topped up by {tokens:d} in {times:d} pieces')
def top_up_often(context: Any, tokens: int, times: int) -> None:
    """Top up several times, each with its own id."""
    for number in range(times):
        say(context, _top_up, tokens, f'piece-{number}')


@when('a budget top-up of {tokens:d} as "{name}" is written, its reply lost and the store down')
def top_up_unconfirmed(context: Any, tokens: int, name: str) -> None:
    """Lose the reply to the write, then take the store down."""
    say(context, _top_up_unconfirmed, tokens, name)


async def _top_up_unconfirmed(subject: Budgets, fields: Any) -> None:
    store = subject.fleet.store
    store.lose_answers = 1
    store.delay_s = 0.1
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(subject.top_up, *fields)
        # The read takes the first 0.1 s, the write the next 0.1 s.
        await anyio.sleep(0.25)
        store.fail(True)
    store.delay_s = 0.001


@when('the operator writes off {tokens:d} budget tokens of epoch {epoch:d} in {place}, twice')
def write_off(context: Any, tokens: int, epoch: int, place: str) -> None:
    """Write off stranded tokens, twice."""
    for _ in range(2):
        say(context, _write_off, tokens, HolderEpoch(place, epoch))


async def _write_off(subject: Budgets, fields: Any) -> None:
    fleet = subject.fleet
    tokens, holder_epoch = fields
    subject.operator.append(
        await write_offs.write_off(
            fleet.store, fleet.clock, ACCOUNT, holder_epoch, tokens, subject.now_s() + 1
        )
    )


@when('the budget is declared to be {tokens:d}')
def declare(context: Any, tokens: int) -> None:
    """Declare another base amount."""
    say(context, _declare, tokens)


@then('all {count:d} budget requests are answered')
def all_answered(context: Any, count: int) -> None:
    """Check that every caller got an answer."""
    outcomes = context.subject.play().outcomes
    assert len(outcomes) == count, outcomes
    assert not any(outcome.code for outcome in outcomes.values()), outcomes


@then('the last {count:d} budget requests are not answered')
def not_answered(context: Any, count: int) -> None:
    """Check that the last callers got no answer."""
    outcomes = list(context.subject.play().outcomes.values())
    assert all(outcome.code for outcome in outcomes[-count:]), outcomes
    assert len(outcomes) == count + 1, outcomes


@then('budget request "{name}" is answered')
def answered(context: Any, name: str) -> None:
    """Check that the caller got an answer."""
    outcomes = context.subject.play().outcomes
    assert name in outcomes and not outcomes[name].code, (outcomes, context.subject.notes)


@then('budget request "{name}" is refused with {code} within {seconds:g} seconds')
def refused(context: Any, name: str, code: str, seconds: float) -> None:
    """Check the refusal that the caller got, and its latency."""
    outcome = context.subject.play().outcomes[name]
    sent_unix_s = context.subject.sent_unix_s[name]
    assert outcome.code == code, outcome
    assert outcome.at_unix_s - sent_unix_s <= seconds, outcome.at_unix_s - sent_unix_s


@then('the budget store shows {tokens:d} spent')
def spent(context: Any, tokens: int) -> None:
    """Check the tokens known to be spent in the store."""
    budget = context.subject.play().budget
    assert records.known_spent_tokens(budget) == tokens, (budget, context.subject.outcomes)


@then('the budget store shows {tokens:d} paid in')
def paid(context: Any, tokens: int) -> None:
    """Check the tokens paid in according to the store."""
    budget = context.subject.play().budget
    assert records.total_tokens(budget) == tokens, budget


@then('no budget transfers are left in the store')
def no_moves(context: Any) -> None:
    """Check that both holders have processed all transfers."""
    assert not context.subject.play().budget['moves'], context.subject.budget


@then('nothing of the budget is overspent')
def not_overspent(context: Any) -> None:
    """Check that the usage never exceeded the tokens paid in."""
    assert context.subject.play().overspent == 0, context.subject.overspent


@then('the outcomes for the budget operator are {names}')
def operator_outcomes(context: Any, names: str) -> None:
    """Check all outcomes that the operator got, or only the last one."""
    found = [type(outcome).__name__ for outcome in context.subject.play().operator]
    if names.endswith(' at the end'):
        assert found[-1] == names.removesuffix(' at the end'), found
    else:
        assert found == names.split(', '), context.subject.operator


@then('budget event {number:d} was logged')
def logged(context: Any, number: int) -> None:
    """Check that an event with this number was logged."""
    assert number in context.subject.play().events, sorted(set(context.subject.events))
