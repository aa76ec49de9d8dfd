"""Steps of news_at_size.feature."""

from typing import Any

from behave import given, then, when

from endivesaddle.fleet.routing.crash_trials import OUTCOME_S, Trials
from subjects.update_fleet import UpdateFleet

QUIET_S = 10
PART, SHARED = 'part:engines:own', 'part:engines:shared'
HOLD_END_UNIX_S = 1000.0
STEP_S = 0.1


@given('{routers:d} routers that report to the aggregator of a sidecar')
def start(context: Any, routers: int) -> None:
    """Start them."""
    context.updates = UpdateFleet(routers)
    context.add_cleanup(context.updates.close)


@when('one of them learns of a server that leaves, {times:d} times')
def learn(context: Any, times: int) -> None:
    """Report one after the other."""
    before_unix_s = context.updates.now_s()
    context.took_s = context.updates.spread_s(times)
    context.spread_s = context.updates.now_s() - before_unix_s
    context.calls = context.updates.calls


@then('all have learned of it within {within:g} seconds each time')
def learned(context: Any, within: float) -> None:
    """Compare the longest time."""
    assert max(context.took_s) <= within, max(context.took_s)


@then('each time cost the aggregator at most {most:g} calls of each router')
def cost(context: Any, most: float) -> None:
    """Count the calls beyond the polls that routers make without updates."""
    polls = context.updates.calls_while(QUIET_S) / QUIET_S * context.spread_s
    found = (context.calls - polls) / len(context.took_s) / context.updates.count
    assert found <= most, found


@then('it is called at most {most:g} times a second while there are no updates')
def calls(context: Any, most: float) -> None:
    """Count the calls over some time."""
    found = context.updates.calls_while(QUIET_S) / QUIET_S
    assert found <= most, found


@when(
    '{count:d} servers crash under different requests '
    'with a part of their own and one that all share'
)
def crash(context: Any, count: int) -> None:
    """Crash one a second, and answer requests with the shared part alone in between."""
    for number in range(count):
        context.updates.crash((f'{number}-request', SHARED, PART), f'life-{number}')
        context.updates.sleep(0.5)
        context.updates.answer((f'{number}-sound', SHARED))
        context.updates.sleep(0.5)


@then(
    'all routers hold back the part of their own within {seconds:g} seconds, '
    'and none the one that all share'
)
def held_back(context: Any, seconds: float) -> None:
    """Count the routers."""
    context.updates.sleep(seconds)
    holding = context.updates.holding(PART), context.updates.holding(SHARED)
    assert holding == (context.updates.count, 0), holding


@given('{routers:d} routers that take turns with trials')
def take_turns(context: Any, routers: int) -> None:
    """Let them know each other."""
    addresses = [f'10.0.{number // 250}.{number % 250}:1' for number in range(routers)]
    context.trials = [Trials() for _ in addresses]
    for trials, address in zip(context.trials, addresses, strict=True):
        trials.set_routers(address, [other for other in addresses if other != address])


@when('the hold of a part is over and each router gets a request with it all the time')
def hold_ends(context: Any) -> None:
    """Record when each router would send it."""
    context.sent_s = []
    interval_s = context.trials[0].interval_s
    for step in range(round(4 * interval_s / STEP_S)):
        now_unix_s = HOLD_END_UNIX_S + step * STEP_S
        for trials in context.trials:
            if trials.begin(PART, HOLD_END_UNIX_S, now_unix_s):
                context.sent_s.append(step * STEP_S)


@then('one router has sent it after {seconds:g} seconds, and at most {most:d} after 4 intervals')
def turns(context: Any, seconds: float, most: int) -> None:
    """Count the trials; later ones of a router come when its own had no outcome."""
    assert sum(sent_s <= seconds for sent_s in context.sent_s) == 1, context.sent_s
    first = [sent_s for sent_s in context.sent_s if sent_s < OUTCOME_S]
    assert len(first) <= most, context.sent_s
