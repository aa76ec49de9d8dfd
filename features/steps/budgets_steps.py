"""Steps of budgets.feature: they say what happens; the subject plays it."""

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
    """Start a fleet with a declared budget."""
    context.subject = Budgets()
    say(context, _declare, tokens)
    say(context, _sleep, 1)


async def _declare(subject: Budgets, fields: Any) -> None:
    await subject.declare(*fields)


async def _sleep(subject: Budgets, fields: Any) -> None:
    await anyio.sleep(fields[0])


@when('budget time passes for {seconds:g} seconds')
def passes(context: Any, seconds: float) -> None:
    """Let time pass."""
    say(context, _sleep, seconds)


@when('budget request "{name}" of {bound:d} that uses {used:d} is sent in {place}')
def send(context: Any, name: str, bound: int, used: int, place: str) -> None:
    """Send a short request."""
    say(context, _send, name, place, bound, used, 0.1)


@when('budget request "{name}" of {bound:d} that uses {used:d} runs {run:g} seconds in {place}')
def send_long(context: Any, name: str, bound: int, used: int, run: float, place: str) -> None:
    """Send a request that runs for a while."""
    say(context, _send, name, place, bound, used, run)


async def _send(subject: Budgets, fields: Any) -> None:
    subject.send(*fields)


@when('budget requests of {bound:d} that use {used:d} are sent {times:d} times in turn')
def send_in_turn(context: Any, bound: int, used: int, times: int) -> None:
    """Send requests in all data centres in turn."""
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
    """Reserve and settle at the holder."""
    say(context, _settle_twice, bound, used)


async def _settle_twice(subject: Budgets, fields: Any) -> None:
    bound, used = fields
    holder = subject.holder('porto-a').budgets
    reserved = await holder.reserve(ACCOUNT, 'key', bound, subject.now_s() + 1)
    assert isinstance(reserved, Reserved), reserved
    subject.notes['bills'] = [holder.settle(ACCOUNT, 'key', reserved.epoch, used) for _ in range(2)]


@then('the budget bills were {one:d} and {other:d}')
def bills(context: Any, one: int, other: int) -> None:
    """Compare what was billed."""
    assert context.subject.play().notes['bills'] == [one, other]


@when('the budget is topped up by {tokens:d} as "{top_up_id}"')
def top_up(context: Any, tokens: int, top_up_id: str) -> None:
    """Top up."""
    say(context, _top_up, tokens, top_up_id)


async def _top_up(subject: Budgets, fields: Any) -> None:
    await subject.top_up(*fields)


@when('the budget is topped up by {tokens:d} in {times:d} pieces')
def top_up_often(context: Any, tokens: int, times: int) -> None:
    """Top up often."""
    for number in range(times):
        say(context, _top_up, tokens, f'piece-{number}')


@when('a budget top-up of {tokens:d} as "{name}" is written, its answer lost and the store down')
def top_up_unsure(context: Any, tokens: int, name: str) -> None:
    """Lose the answer, and everything after it."""
    say(context, _top_up_unsure, tokens, name)


async def _top_up_unsure(subject: Budgets, fields: Any) -> None:
    store = subject.fleet.store
    store.lose_answers = 1
    store.delay_s = 0.1
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(subject.top_up, *fields)
        # The read takes the first tenth of a second, the write the second.
        await anyio.sleep(0.25)
        store.fail(True)
    store.delay_s = 0.001


@when('the operator writes off {tokens:d} budget tokens of epoch {epoch:d} in {place}, twice')
def write_off(context: Any, tokens: int, epoch: int, place: str) -> None:
    """Write stranded tokens off."""
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
    """Declare another amount."""
    say(context, _declare, tokens)


@then('all {count:d} budget requests are answered')
def all_answered(context: Any, count: int) -> None:
    """Every caller got an answer."""
    outcomes = context.subject.play().outcomes
    assert len(outcomes) == count, outcomes
    assert not any(outcome.code for outcome in outcomes.values()), outcomes


@then('the last {count:d} budget requests are not answered')
def not_answered(context: Any, count: int) -> None:
    """The last callers got none."""
    outcomes = list(context.subject.play().outcomes.values())
    assert all(outcome.code for outcome in outcomes[-count:]), outcomes
    assert len(outcomes) == count + 1, outcomes


@then('budget request "{name}" is answered')
def answered(context: Any, name: str) -> None:
    """The caller got its answer."""
    outcomes = context.subject.play().outcomes
    assert name in outcomes and not outcomes[name].code, (outcomes, context.subject.notes)


@then('budget request "{name}" is refused with {code} within {seconds:g} seconds')
def refused(context: Any, name: str, code: str, seconds: float) -> None:
    """The caller got a refusal, soon."""
    outcome = context.subject.play().outcomes[name]
    sent_unix_s = context.subject.sent_unix_s[name]
    assert outcome.code == code, outcome
    assert outcome.at_unix_s - sent_unix_s <= seconds, outcome.at_unix_s - sent_unix_s


@then('the budget store shows {tokens:d} spent')
def spent(context: Any, tokens: int) -> None:
    """Compare what the store knows to be spent."""
    budget = context.subject.play().budget
    assert records.known_spent_tokens(budget) == tokens, (budget, context.subject.outcomes)


@then('the budget store shows {tokens:d} paid in')
def paid(context: Any, tokens: int) -> None:
    """Compare what was paid in."""
    budget = context.subject.play().budget
    assert records.total_tokens(budget) == tokens, budget


@then('no budget transfers are left in the store')
def no_moves(context: Any) -> None:
    """All transfers were seen by both sides."""
    assert not context.subject.play().budget['moves'], context.subject.budget


@then('nothing of the budget is overspent')
def not_overspent(context: Any) -> None:
    """What ran never exceeded what was paid in."""
    assert context.subject.play().overspent == 0, context.subject.overspent


@then('the budget operator heard {names}')
def heard(context: Any, names: str) -> None:
    """Compare the answers to the operator, all or the last."""
    answers = [type(outcome).__name__ for outcome in context.subject.play().operator]
    if names.endswith(' at last'):
        assert answers[-1] == names.removesuffix(' at last'), answers
    else:
        assert answers == names.split(', '), context.subject.operator


@then('budget event {number:d} was logged')
def logged(context: Any, number: int) -> None:
    """Look for a numbered event."""
    assert number in context.subject.play().events, sorted(set(context.subject.events))
