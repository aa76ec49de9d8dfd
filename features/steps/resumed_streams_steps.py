"""Steps of resumed_streams.feature."""

from typing import Any

from behave import given, then, when

from subjects.resumed_streams import StreamFleet

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
