"""Steps of crashing_requests.feature."""

from typing import Any

from behave import given, then, when

from subjects.crashing_fleet import FATAL, HARMLESS, OTHER, CrashingFleet
from subjects.held_request import HeldRequest

MAX_RETRY_AFTER_S = 3600


@given('{routers:d} routers and {servers:d} servers that a request may crash')
def start(context: Any, routers: int, servers: int) -> None:
    """Start them."""
    start_with_sidecars(context, routers, 0, servers)


@given(
    '{routers:d} routers with {sidecars:d} sidecars and {servers:d} servers '
    'that a request may crash'
)
def start_with_sidecars(context: Any, routers: int, sidecars: int, servers: int) -> None:
    """Start them."""
    context.fleet = CrashingFleet(routers, servers, sidecars)
    context.add_cleanup(context.fleet.close)


@when('the routers run with the store {how}')
def store(context: Any, how: str) -> None:
    """Leave the store up, or take it down."""
    assert how in {'up', 'down'}
    if how == 'down':
        context.fleet.lose_store(True)


@when('{seconds:g} seconds pass in the fleet')
def wait(context: Any, seconds: float) -> None:
    """Let time pass."""
    context.fleet.sleep(seconds)


@when('it may be retried on {attempts:d} servers')
def repeat(context: Any, attempts: int) -> None:
    """Let its route allow it."""
    context.fleet.repeat(attempts)


@when('the request is sent {times:d} times, each {seconds:g} seconds to the next router')
def send_repeatedly(context: Any, times: int, seconds: float) -> None:
    """Send it."""
    context.fleet.send_repeatedly(times, seconds)


@when('the request is sent {times:d} times to router {router:d}')
def send_to_router(context: Any, times: int, router: int) -> None:
    """Send it to one router."""
    context.fleet.send_repeatedly(times, 0.4, router, step=0)


@when('its stored records have expired')
def expire_records(context: Any) -> None:
    """Remove it."""
    context.fleet.expire_records()


@when('the request is sent {times:d} times, each {seconds:g} seconds, to all routers at once')
def send_to_all(context: Any, times: int, seconds: float) -> None:
    """Send it to all, and wait."""
    context.fleet.send_to_all(times, seconds)


@when('a harmless request runs {times:d} times at once, and all servers that run it crash together')
def crash_together(context: Any, times: int) -> None:
    """Send it, and crash the servers."""
    assert context.fleet.crash_together(times) >= 3


@when('router {router:d} restarts')
def restart(context: Any, router: int) -> None:
    """Kill it and start its next incarnation."""
    context.fleet.restart(router)


@when('all routers restart')
def restart_all(context: Any) -> None:
    """Kill all and start their next incarnations."""
    context.fleet.restart_all()


@when('a harmless request runs at a server that crashes, and is then answered, {times:d} times')
def lose_harmless(context: Any, times: int) -> None:
    """Run it again and again."""
    for _ in range(times):
        context.fleet.lose_harmless()


@when('the connections of a harmless request break {times:d} times')
def break_connections(context: Any, times: int) -> None:
    """Break them."""
    context.fleet.break_connections(times)


@then('at most {most:d} of them reach a server more than {seconds:d} seconds after the third crash')
def few_late(context: Any, most: int, seconds: int) -> None:
    """Count what arrived."""
    late = context.fleet.late(seconds)
    assert len(late) <= most, (
        f'{len(late)} late, {len(context.fleet.servers.crashes_unix_s)} crashes'
    )


@then('the last {count:d} of them are refused as not run, with a time to retry')
def refused(context: Any, count: int) -> None:
    """Check the last answers."""
    for sink in context.fleet.sinks[-count:]:
        assert sink.status == 503, sink.status
        assert sink.refusal.not_run == 'true'
        assert 0 < sink.refusal.retry_after_s <= MAX_RETRY_AFTER_S


@then('the harmless request is answered')
def answered(context: Any) -> None:
    """Send it once more."""
    sink = context.fleet.send(HARMLESS)
    assert sink.status == 200, sink.refusal


@then('an equal request of another account reaches a server')
def sent(context: Any) -> None:
    """Send it, and check what arrived."""
    context.fleet.send(FATAL, OTHER)
    assert context.fleet.servers.arrived[-1].account == OTHER.name


@when('crashed servers leave connection attempts unanswered')
def silent(context: Any) -> None:
    """Let connections to them hang."""
    context.fleet.servers.silent = True


@when('crashed servers accept no connections and leave open ones silent')
def hang(context: Any) -> None:
    """Let all connections to them hang."""
    context.fleet.servers.silent = True
    context.fleet.servers.hanging_connections = True


@when('the addresses of crashed servers stay open, and each restarts at once')
def open_addresses(context: Any) -> None:
    """Accept connections while the process is down."""
    context.fleet.servers.open_addresses = True


@when('crashed servers restart under their names')
def same_names(context: Any) -> None:
    """Give each incarnation the same name and a later start time."""
    context.fleet.servers.same_names = True


@given(
    'records of a request that crashed {crashes:d} servers, '
    'which hold it back for {seconds:d} seconds'
)
def records(context: Any, crashes: int, seconds: int) -> None:
    """Record the crashes."""
    context.play = HeldRequest(crashes)
    assert context.play.held_s() == seconds


@when('{seconds:d} seconds pass for the records')
def pass_time(context: Any, seconds: int) -> None:
    """Let time pass."""
    context.play.now_unix_s += seconds


@then('the request may run')
def free(context: Any) -> None:
    """Check that it is not held back."""
    assert not context.play.held_s()


@when('it crashes another server')
def crash_another(context: Any) -> None:
    """Record it."""
    context.play.crash()


@then('it is held back for {seconds:d} seconds')
def held(context: Any, seconds: int) -> None:
    """Compare the time."""
    assert context.play.held_s() == seconds


@when('another instance merges them twice, and the request is answered there')
def merge_twice(context: Any) -> None:
    """Exchange the updates."""
    context.play.merge_elsewhere()


@then('neither instance holds it back after they exchange old and new updates')
def neither(context: Any) -> None:
    """Exchange old and new updates, both ways."""
    context.play.exchange_again()
    assert not context.play.held_s()
    assert not context.play.held_elsewhere_s()


@when('{count:d} other requests are each lost with a server')
def crowd(context: Any, count: int) -> None:
    """Record them."""
    for number in range(count):
        context.play.crash(f'other-{number}')


@then('it is still held back, and at most {most:d} records are kept')
def kept(context: Any, most: int) -> None:
    """Count them."""
    assert context.play.held_s()
    assert len(context.play.records) <= most
