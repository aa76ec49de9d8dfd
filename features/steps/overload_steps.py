"""Steps of overload.feature."""

import re
from typing import Any

from behave import given, then, when

from endivesaddle.fleet.overload.overload import LEAST_RETRY_S, OTHER_ROUTER_RETRY_S
from subjects import overload, overload_listener
from subjects.overload_replay import Load
from subjects.users_platform import NODE, read_node

SEEDS = range(5)
LOADS = (1, 1.5, 2, 3)
OUT_AFTER_S = 1.3
LATE_S = 0.15


@given('measurements each 0.1 s with a tolerated delay of 30 ms')
def measurements(context: Any) -> None:
    """Start at normal."""
    context.levels = overload.Levels()


@when('the delay is {first:d} ms for {first_s:g} s, then {second:d} ms for {second_s:g} s')
def delays(context: Any, first: int, first_s: float, second: int, second_s: float) -> None:
    """Measure two delays after each other."""
    context.levels.changes.clear()
    context.levels.measure(first_s, lambda _: first / 1000)
    context.levels.measure(second_s, lambda _: second / 1000)


@when('the delay is 90 ms on a full link for 0.5 s')
def extreme(context: Any) -> None:
    """Measure a delay of three times the tolerated one."""
    context.levels.measure(0.5, lambda _: 0.09, 0.95)


@when('the delay moves between 20 and 40 ms for 20 s')
def moves(context: Any) -> None:
    """Measure a delay that alternates each half second."""
    context.levels.measure(20, lambda number: 0.02 if number // 5 % 2 else 0.04)


@then('the level stays normal')
def normal(context: Any) -> None:
    """Check that there was no change."""
    assert not context.levels.changes, context.levels.changes


@then('the level is {text}')
def changes(context: Any, text: str) -> None:
    """Check the changes and their times."""
    expected = [(name, float(at)) for name, at in re.findall(r'(\w+) after ([\d.]+) s', text)]
    found = context.levels.changes
    assert [name for name, _ in found] == [name for name, _ in expected], found
    # Periods of tenths of a second end with one measurement or the next one.
    late_s = [is_at - at for (_, is_at), (_, at) in zip(found, expected, strict=True)]
    assert min(late_s) >= 0, found
    assert max(late_s) < LATE_S, found


@then('the level changes at most {most:d} times')
def few_changes(context: Any, most: int) -> None:
    """Count the changes."""
    assert len(context.levels.changes) <= most, context.levels.changes


@given('{count:d} routers of which each {lists}, with {lost:d} percent of the reports lost')
def routers(context: Any, count: int, lists: str, lost: int) -> None:
    """Describe the routers."""
    context.rotation = (count, lists == 'lacks another', lost / 100)


@when('all become closed within a second, for 20 s')
def closed(context: Any) -> None:
    """Run five seeds."""
    context.out = [overload.Rotations(*context.rotation, seed).most_out() for seed in SEEDS]


@then('at most {most:d} are out at any moment, and at least {least:d} at some moment')
def out(context: Any, most: int, least: int) -> None:
    """Check the greatest number of routers that were out, for all seeds."""
    assert least <= min(context.out) and max(context.out) <= most, context.out


@when('a router without others has five times the tolerated delay for 20 s')
def alone(context: Any) -> None:
    """Measure for 20 s."""
    context.alone = overload.alone()


@then('it stays in the rotation, and logs its level {levels:d} times and that it stays once')
def few_lines(context: Any, levels: int) -> None:
    """Count the lines."""
    assert context.alone == {'overload_level': levels, 'rotation_kept': 1}, context.alone


@when('one of 8 routers gets ten times the requests of the others, with five seeds')
def hot(context: Any) -> None:
    """Describe the load: 200 requests a second where the link carries 104."""
    context.load = Load((100, 10, 10, 10, 10, 10, 10, 10), 2, 4000, 8000)


@then('without the policy its callers get less than {most:g} of their answers on time after 3 s')
def hot_off(context: Any, most: float) -> None:
    """Replay the old decision."""
    runs = [overload.hot(context.load, seed, policy=False) for seed in SEEDS]
    assert max(run.hot for run in runs) < most, runs


@then('with the policy at most {most:g} less than the others after 3 s, and it is out after 1.3 s')
def hot_on(context: Any, most: float) -> None:
    """Replay with the policy."""
    runs = [overload.hot(context.load, seed) for seed in SEEDS]
    assert max(run.others - run.hot for run in runs) <= most, runs
    assert all(run.out_s for run in runs), runs
    assert max(run.out_s for run in runs) <= OUT_AFTER_S, runs


@then('with the policy and an unknown link at most {most:g} less than the others after 3 s')
def hot_unknown(context: Any, most: float) -> None:
    """Replay without ``link-mbps``."""
    runs = [overload.hot(context.load, seed, known_link=False) for seed in SEEDS]
    assert max(run.others - run.hot for run in runs) <= most, runs


@when('all routers get 1, 1.5, 2 and 3 times what their links carry, with five seeds')
def all_overloaded(context: Any) -> None:
    """Replay with and without the policy."""
    context.goodput = {
        times: sum(overload.goodput(times, seed, policy=True) for seed in SEEDS) for times in LOADS
    }
    context.goodput_off = [overload.goodput(times, 0, policy=False) for times in (1, 3)]


@then(
    'the requests answered on time are at least {least:g} of those at 1, '
    'and less than {off:g} at 3 without the policy'
)
def goodput_kept(context: Any, least: float, off: float) -> None:
    """Compare the sums over all seeds."""
    goodput = context.goodput
    for times in LOADS[1:]:
        assert goodput[times] >= least * goodput[1], goodput
    at_one, at_three = context.goodput_off
    assert at_three < off * at_one, context.goodput_off


@given('a router that is shedding')
def shedding(context: Any) -> None:
    """Create the router."""
    context.router = overload.shedding_router()


@when('600 requests of ranks 0, 5 and 9 come at once')
def burst(context: Any) -> None:
    """Ask for admission, with and without another router that has capacity."""
    context.burst = overload.burst(context.router, 600)


@then('more are admitted of a more urgent rank, and the rejected ones have certainly not run')
def by_rank(context: Any) -> None:
    """Check the order of the counts."""
    admitted = context.burst.admitted
    assert admitted[0] > admitted[5], admitted
    assert admitted[5] > admitted[9], admitted
    assert {(one.code, one.status, one.not_run) for one in context.burst.refusals} == {
        ('router_overloaded', 503, 'true')
    }


@then(
    'callers are told to come back within 0.15 s if another router has capacity, '
    'else after 0.5 to 1 s'
)
def retry_after(context: Any) -> None:
    """Check the bounds of Retry-After."""
    alone = sorted(one.retry_after_s for one in context.burst.refusals)
    assert alone[0] >= LEAST_RETRY_S, alone
    assert alone[-1] <= 1, alone
    other = overload.burst(context.router, 600, other_has_capacity=True).refusals
    others = sorted(one.retry_after_s for one in other)
    assert others[0] >= OTHER_ROUTER_RETRY_S, others
    assert others[-1] <= 3 * OTHER_ROUTER_RETRY_S, others


@then('the policy is off for a settings file without the contract "{name}"')
def policy_off(context: Any, name: str) -> None:
    """Read a file without the list."""
    context.contract = name
    settings, _ = read_node(NODE)
    assert not settings.overload.enabled


@then('it is "{policy}" with {mbps:g} Mbit/s for one with it')
def policy_on(context: Any, policy: str, mbps: float) -> None:
    """Read a file with the list and the limit."""
    settings, _ = read_node(
        f'contracts = ["{context.contract}"]\n{NODE}[limits]\nlink_mbps = {mbps}\n'
    )
    assert settings.overload.overload_policy == policy
    assert settings.overload.link_mbps == mbps


@then('a link of {mbps:g} Mbit/s is rejected with the flag and its bounds')
def bad_link(context: Any, mbps: float) -> None:
    """Read a file with a limit out of range."""
    error = read_node(f'{NODE}[limits]\nlink_mbps = {mbps}\n')
    assert 'link-mbps' in error and 'from 0 to 1000000' in error, error


@given('a router whose calls to 4 instances take 2 ms')
def calls(context: Any) -> None:
    """Create the router."""
    context.calls = overload.Calls()


@when('the calls to 3 of them get no answer')
def silent(context: Any) -> None:
    """Cut three instances off."""
    context.calls.silent = 3


@when('all its calls take {delay:d} ms more')
def slower(context: Any, delay: int) -> None:
    """Delay all calls, over a link that is in use."""
    context.calls.silent = 0
    context.calls.delay_s += delay / 1000


@then('its delay is below {most:d} ms while its link is idle')
def no_delay(context: Any, most: int) -> None:
    """Check the delay of answered calls."""
    assert context.calls.measured_s(link_idle=True) < most / 1000


@then('its delay is above {least:d} ms')
def some_delay(context: Any, least: int) -> None:
    """Check the delay."""
    assert context.calls.measured_s(link_idle=False) > least / 1000


@when('a report with level 7 comes twice')
def malformed(context: Any) -> None:
    """Pass the report in."""
    context.malformed = overload.malformed()


@then('it is counted twice, logged once, and no router is known')
def counted(context: Any) -> None:
    """Check the count and the log."""
    reports, lines = context.malformed
    assert reports.malformed_count == 2
    assert len(lines) == 1, lines
    assert not reports.others(0).reports


@given('{count:d} routers of one data centre that exchange reports')
def fleet(context: Any, count: int) -> None:
    """Start the routers."""
    context.reporting = overload.ReportFleet(count)
    context.add_cleanup(context.reporting.close)


@then('that a router is out reaches all others within {most:g} s')
def spread(context: Any, most: float) -> None:
    """Measure five times."""
    took_s = context.reporting.spread_s(5)
    assert max(took_s) <= most, took_s


@given('the listener of a router that is out of the rotation')
def listener(context: Any) -> None:
    """Create the listener."""
    context.listener = overload_listener.OutListener()


@when('a caller sends requests on one of 2 connections until it is closed')
def requests(context: Any) -> None:
    """Send requests with pauses."""
    context.listener.play()


@then('each response was complete and the last one announced the close')
def responses(context: Any) -> None:
    """Check the responses."""
    responses = context.listener.responses
    closes = [b'connection: close' in one for one in responses]
    assert len(closes) > 1, responses
    assert closes.index(True) == len(closes) - 1, responses


@then('the other connection is still open, and all bytes were counted')
def others_open(context: Any) -> None:
    """Check the idle connection and the counters."""
    assert context.listener.other_open
    traffic = context.listener.traffic
    assert traffic.received_bytes > context.listener.sent_bytes
    assert traffic.sent_bytes > sum(map(len, context.listener.responses))
    assert not traffic.callers and not traffic.writing


@when(
    'a router is shedding for 0.5 s, hears the 7 others {heard_s:g} s after it began, '
    'then closes and hears nobody'
)
def close_unheard(context: Any, heard_s: float) -> None:
    """Update its place in the rotation for 10 s."""
    context.out = overload.close_unheard(heard_s)


@then('it is {place} from the moment at which it closed until its level drops')
def place_kept(context: Any, place: str) -> None:
    """Check each update."""
    assert context.out and set(context.out) == {place == 'out'}, context.out


@when('600 requests come at once, after a second in which requests were {share:g} of what came in')
def burst_after_reads(context: Any, share: float) -> None:
    """Ask for admission after requests of that share were read."""
    overload.read_share(context.router, share)
    context.burst = overload.burst(context.router, 600)


@then('{rejected} are rejected')
def rejected_count(context: Any, rejected: str) -> None:
    """Check whether there are refusals."""
    assert bool(context.burst.refusals) is (rejected == 'some'), len(context.burst.refusals)
