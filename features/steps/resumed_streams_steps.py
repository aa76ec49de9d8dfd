"""Steps of resumed_streams.feature."""

from typing import Any

from behave import given, then, when

from subjects.resumed_streams import OTHER_SERVICE, SERVICE, StreamFleet
from subjects.resumed_streams_chaos import StreamChaos

NOT_RUN = 'true'


@given('{routers:d} routers and {sidecars:d} sidecars')
def start(context: Any, routers: int, sidecars: int) -> None:
    """Start a fleet without servers."""
    context.fleet = StreamFleet(routers, sidecars)
    context.add_cleanup(context.fleet.close)


@given('{count:d} servers of version {version}')
@when('{count:d} servers of version {version} start')
def serve(context: Any, count: int, version: str) -> None:
    """Start servers."""
    context.fleet.serve(count, version)


@given('{count:d} servers of version {version} at another service, to which the route leads too')
def serve_other(context: Any, count: int, version: str) -> None:
    """Start servers of a second service."""
    context.fleet.lead_to(SERVICE, OTHER_SERVICE)
    context.fleet.serve(count, version, OTHER_SERVICE)


@when('the route leads to the other service alone')
def move(context: Any) -> None:
    """Change the targets of the route."""
    context.fleet.lead_to(OTHER_SERVICE)


@when('the store refuses writes')
def refuse_writes(context: Any) -> None:
    """Keep new versions off the record."""
    context.fleet.refuse_writes()


@then('all streams are of version {version}')
def all_of(context: Any, version: str) -> None:
    """Look at the events of each."""
    versions = {version for caller in context.fleet.callers for version in caller.versions}
    assert versions == {version}, versions


@when('{minutes:d} minutes pass')
def wait(context: Any, minutes: int) -> None:
    """Let time pass."""
    context.fleet.sleep(60 * minutes)


@when('{count:d} more streams begin')
@given('{count:d} streams that have begun')
def begin(context: Any, count: int) -> None:
    """Begin streams at all routers."""
    context.fleet.begin(count)


@when('they continue {way}')
def take_up(context: Any, way: str) -> None:
    """Break the streams, and take them up."""
    context.fleet.take_up(way)


@when('their callers return to another router while {count:d} new streams begin')
def beside(context: Any, count: int) -> None:
    """Kill the first router, and begin new streams meanwhile."""
    context.fleet.resume_beside(count)


@when('the servers of version {version} leave')
def leave(context: Any, version: str) -> None:
    """Let servers leave."""
    context.fleet.leave(version)


@when('all processes of the fleet are killed and start again')
def lose(context: Any) -> None:
    """Lose everything that processes know."""
    context.fleet.lose_everything()


@when('{per_s:d} streams a second begin at each router for {seconds:d} s')
def begin_steadily(context: Any, per_s: int, seconds: int) -> None:
    """Begin streams steadily."""
    context.seconds = seconds
    context.fleet.begin_steadily(per_s, seconds)


@then('nothing is copied')
def nothing_copied(context: Any) -> None:
    """Look at the calls."""
    assert not context.fleet.copied_bytes()


@then('copies take at most {limit:d} bytes a second of each of {routers:d} routers')
def bandwidth(context: Any, limit: int, routers: int) -> None:
    """Compare the bytes that a router sends and receives."""
    per_s = context.fleet.copied_bytes() / context.seconds / routers
    assert 0 < per_s <= limit, per_s


@then('no stream has events of two versions')
def one_version(context: Any) -> None:
    """Look at the events of each."""
    mixed = [one.versions for one in context.fleet.callers if len(set(one.versions)) > 1]
    assert not mixed, f'{len(mixed)} of {len(context.fleet.callers)}, one: {mixed[0]}'


@then('all streams are complete')
def complete(context: Any) -> None:
    """Look for the end of each."""
    refused = [one.sink.refusal for one in context.fleet.callers if not one.complete]
    assert not refused, f'{len(refused)} of {len(context.fleet.callers)}, one: {refused[0]}'


@then('the streams of version {version} are refused as not run, with code {code}')
def refused(context: Any, version: str, code: str) -> None:
    """Look at the refusals."""
    callers = [one for one in context.fleet.callers if version in one.versions]
    assert callers
    for caller in callers:
        refusal = caller.sink.refusal
        assert refusal is not None, caller.versions
        assert (refusal.code, refusal.not_run) == (code, NOT_RUN), refusal


@then('streams continue at half the rate of new ones at least')
def rate(context: Any) -> None:
    """Compare the shares."""
    continued = [one.complete for one in context.fleet.callers]
    begun = [bool(one.versions) for one in context.fleet.fresh]
    assert all(begun), begun
    assert sum(continued) / len(continued) >= 0.5 * sum(begun) / len(begun), continued


@when('streams are taken up again and again in play {seed:d}')
def play(context: Any, seed: int) -> None:
    """Play faults and releases."""
    context.fleet = StreamChaos(seed)
    context.add_cleanup(context.fleet.close)
    context.fleet.play()
    assert context.fleet.counts['taken up']


@then('at least half of the streams are complete')
def half(context: Any) -> None:
    """Otherwise a router that refuses every stream would pass."""
    complete = [caller.complete for caller in context.fleet.callers]
    assert 2 * sum(complete) >= len(complete), (sum(complete), len(complete))
