"""Steps of crashing_parts.feature."""

from typing import Any

from behave import given, then, when

from subjects.crashing_parts import BAD, OTHER_BAD, PartTraffic

SOUND_SHARE = 0.95


@given('{routers:d} routers and {servers:d} servers, and prompts that share parts')
def start(context: Any, routers: int, servers: int) -> None:
    """Start them."""
    start_with_sidecars(context, routers, 0, servers)


@given(
    '{routers:d} routers with {sidecars:d} sidecars and {servers:d} servers, '
    'and prompts that share parts'
)
def start_with_sidecars(context: Any, routers: int, sidecars: int, servers: int) -> None:
    """Start them, and send sound requests for a while."""
    context.fleet = PartTraffic(routers, servers, sidecars)
    context.add_cleanup(context.fleet.close)
    context.fleet.run(5, bad=False)


@given('a part in {place} place crashes servers')
def crashing_part(context: Any, place: str) -> None:
    """Let it."""
    context.fleet.place = place
    context.fleet.servers.fatal_parts = {BAD}


@given('two parts crash servers')
def crashing_parts(context: Any) -> None:
    """Let both."""
    context.fleet.bad = (BAD, OTHER_BAD)
    context.fleet.servers.fatal_parts = {BAD, OTHER_BAD}


@given('callers repeat requests with that part {times:d} times')
def repeats(context: Any, times: int) -> None:
    """Let them."""
    context.fleet.repeats = times


@given('their routers retry at {attempts:d} servers')
def retries(context: Any, attempts: int) -> None:
    """Let the route allow it."""
    context.fleet.repeat(attempts)


@when('the store of the routers is down')
def store_down(context: Any) -> None:
    """Take it down."""
    context.fleet.lose_store(True)


@when('router {number:d} of the fleet loses all links')
def cut(context: Any, number: int) -> None:
    """Cut it off."""
    context.fleet.cut_router(number)


@when('requests come for {seconds:g} seconds')
def run(context: Any, seconds: float) -> None:
    """Send sound and bad ones."""
    context.fleet.run(seconds)


@when('sound requests come for {seconds:g} seconds')
def run_sound(context: Any, seconds: float) -> None:
    """Send sound ones."""
    context.fleet.run(seconds, bad=False)


@when('a router restarts every {seconds:g} seconds while requests come, {times:d} times')
def restart_each(context: Any, seconds: float, times: int) -> None:
    """Restart one after the other."""
    for number in range(times):
        context.fleet.restart(number % 3)
        context.fleet.run(seconds)


@when('all routers of the fleet restart')
def restart_all(context: Any) -> None:
    """Kill all and start their next incarnations."""
    context.fleet.restart_all()


@when('{count:d} servers lose power together, {times:d} times in {seconds:g} seconds')
def lose_power(context: Any, count: int, times: int, seconds: float) -> None:
    """Crash them while sound requests run."""
    for _ in range(times):
        context.fleet.run(seconds / times, bad=False)
        context.fleet.crash_servers(count)


@when('another account makes up {parts:d} parts for each of {requests:d} requests')
def make_up(context: Any, parts: int, requests: int) -> None:
    """Send them beside a bad request, so that they are lost with its server."""
    context.fleet.run(1)
    context.fleet.make_up_parts(requests, parts)


@when('the part no longer crashes servers')
def repaired(context: Any) -> None:
    """Repair the servers."""
    context.fleet.servers.fatal_parts = set()


@then('at most {most:d} requests with that part reach servers late')
def few_late(context: Any, most: int) -> None:
    """Count those later than the bound after the fifth crash."""
    late = context.fleet.late_sendings()
    assert late <= most, (late, len(context.fleet.servers.crashes_unix_s))


@then('at most {most:d} requests with each of the parts reach servers late')
def few_late_of_each(context: Any, most: int) -> None:
    """Count them."""
    late = [context.fleet.late_sendings(part) for part in (BAD, OTHER_BAD)]
    assert max(late) <= most, (late, len(context.fleet.servers.crashes_unix_s))


@then('at most {most:d} servers have crashed')
def few_crashes(context: Any, most: int) -> None:
    """Count all crashes."""
    assert len(context.fleet.servers.crashes_unix_s) <= most, context.fleet.servers.crashes_unix_s


@then('sound requests reach servers as before')
def sound(context: Any) -> None:
    """Compare the share of those that were not refused."""
    share = context.fleet.sound_share(context.fleet.settled_unix_s())
    assert share >= SOUND_SHARE, share


@then('sound requests reached servers all the time')
def sound_throughout(context: Any) -> None:
    """Compare the share from the start on."""
    share = context.fleet.sound_share(0)
    assert share >= SOUND_SHARE, share


@then('requests with that part are refused as not run, with the reason')
def refused(context: Any) -> None:
    """Check the last answers."""
    for sink in context.fleet.refused_bad():
        assert sink.refusal is not None and sink.refusal.not_run == 'true', sink.refusal
        assert 'part' in sink.refusal.reason
        assert sink.refusal.retry_after_s > 0


@then('requests with that part are answered')
def answered(context: Any) -> None:
    """Check the last answers."""
    assert [sink.status for sink in context.fleet.refused_bad()] == [200, 200, 200]


@then('a router keeps at most {most:d} records')
def bounded(context: Any, most: int) -> None:
    """Count them."""
    assert context.fleet.records() <= most, context.fleet.records()
