"""Steps of crashing_requests.feature."""

from typing import Any

from behave import given, then, when

from subjects.crashing_fleet import FATAL, HARMLESS, OTHER, CrashingFleet
from subjects.held_request import HeldRequest

LONGEST_AGAIN_S = 3600


@given('{routers:d} routers and {servers:d} servers that may be ended by a request')
def start(context: Any, routers: int, servers: int) -> None:
    """Start them."""
    start_with_sidecars(context, routers, 0, servers)


@given(
    '{routers:d} routers with {sidecars:d} sidecars and {servers:d} servers '
    'that may be ended by a request'
)
def start_with_sidecars(context: Any, routers: int, sidecars: int, servers: int) -> None:
    """Start them."""
    context.fleet = CrashingFleet(routers, servers, sidecars)
    context.add_cleanup(context.fleet.close)


@when('the routers find the store {how}')
def store(context: Any, how: str) -> None:
    """Leave the store as it is, or take it away."""
    assert how in {'well', 'away'}
    if how == 'away':
        context.fleet.lose_store(True)


@when('{seconds:g} seconds go by in the fleet')
def wait(context: Any, seconds: float) -> None:
    """Let time pass."""
    context.fleet.sleep(seconds)


@when('it may be repeated on {attempts:d} servers')
def repeat(context: Any, attempts: int) -> None:
    """Let its route allow it."""
    context.fleet.repeat(attempts)


@when('the request comes {times:d} times, each {seconds:g} seconds at the next router')
def come(context: Any, times: int, seconds: float) -> None:
    """Send it."""
    context.fleet.come(times, seconds)


@when('the request comes {times:d} times at router {router:d}')
def come_at(context: Any, times: int, router: int) -> None:
    """Send it to one router."""
    context.fleet.come(times, 0.4, router, step=0)


@when('what was written of it into the store has lapsed')
def lapse(context: Any) -> None:
    """Remove it."""
    context.fleet.lapse()


@when('the request comes {times:d} times, each {seconds:g} seconds, at all routers at once')
def come_at_once(context: Any, times: int, seconds: float) -> None:
    """Send it to all, and wait."""
    context.fleet.come_at_once(times, seconds)


@when('a harmless request runs {times:d} times at once, and all servers that run it end together')
def end_together(context: Any, times: int) -> None:
    """Send it, and end the servers."""
    assert context.fleet.end_together(times) >= 3


@when('router {router:d} starts again')
def start_again(context: Any, router: int) -> None:
    """Kill it and start its next life."""
    context.fleet.start_again(router)


@when('all routers start again')
def start_all_again(context: Any) -> None:
    """Kill all and start their next lives."""
    context.fleet.start_all_again()


@when('a harmless request runs at a server that ends, and is then answered, {times:d} times')
def lose_harmless(context: Any, times: int) -> None:
    """Run it again and again."""
    for _ in range(times):
        context.fleet.lose_harmless()


@when('the connections of a harmless request break {times:d} times')
def break_connections(context: Any, times: int) -> None:
    """Break them."""
    context.fleet.break_connections(times)


@then('at most {most:d} of them reach a server later than {seconds:d} seconds after the third end')
def few_late(context: Any, most: int, seconds: int) -> None:
    """Count what arrived."""
    late = context.fleet.late(seconds)
    assert len(late) <= most, f'{len(late)} late, {len(context.fleet.servers.ends_unix_s)} ends'


@then('the last {count:d} of them are told that they did not run, and when to come back')
def told(context: Any, count: int) -> None:
    """Look at the last answers."""
    for sink in context.fleet.sinks[-count:]:
        assert sink.status == 503, sink.status
        assert sink.refusal.not_run == 'true'
        assert 0 < sink.refusal.retry_after_s <= LONGEST_AGAIN_S


@then('the harmless request is answered')
def answered(context: Any) -> None:
    """Send it once more."""
    sink = context.fleet.send(HARMLESS)
    assert sink.status == 200, sink.refusal


@then('an equal request of another account is sent to a server')
def sent(context: Any) -> None:
    """Send it, and look at what arrived."""
    context.fleet.send(FATAL, OTHER)
    assert context.fleet.servers.arrived[-1].account == OTHER.name


@when('the machines of servers that end fall silent')
def silent(context: Any) -> None:
    """Let connections to them hang."""
    context.fleet.servers.silent = True


@when('the machines of servers that end fall silent, and their connections too')
def hang(context: Any) -> None:
    """Let all connections to them hang."""
    context.fleet.servers.silent = True
    context.fleet.servers.hangs = True


@when('the addresses of servers stay open, and each is back at once')
def open_addresses(context: Any) -> None:
    """Take connections whatever the process does."""
    context.fleet.servers.open = True


@when('servers that end start again under their names')
def same_names(context: Any) -> None:
    """Have later births tell their lives apart."""
    context.fleet.servers.same_names = True


@given('records of a request that ended {ends:d} servers, which hold it for {seconds:d} seconds')
def records(context: Any, ends: int, seconds: int) -> None:
    """Note the ends."""
    context.play = HeldRequest(ends)
    assert context.play.held_s() == seconds


@when('{seconds:d} seconds pass for the records')
def later(context: Any, seconds: int) -> None:
    """Let time pass."""
    context.play.now_unix_s += seconds


@then('the request may run')
def free(context: Any) -> None:
    """Look whether it is held back."""
    assert not context.play.held_s()


@when('another server ends under it')
def another(context: Any) -> None:
    """Note it."""
    context.play.end()


@then('it is held back for {seconds:d} seconds')
def held(context: Any, seconds: int) -> None:
    """Look for how long."""
    assert context.play.held_s() == seconds


@when('other records hear of it twice, and that it was answered')
def hear(context: Any) -> None:
    """Tell them."""
    context.play.answer_elsewhere()


@then('neither holds it back, whatever they tell each other again')
def neither(context: Any) -> None:
    """Tell old words once more, both ways."""
    context.play.tell_all_again()
    assert not context.play.held_s()
    assert not context.play.held_elsewhere_s()


@when('{count:d} other requests are lost with a server each')
def crowd(context: Any, count: int) -> None:
    """Note them."""
    for number in range(count):
        context.play.end(f'other-{number}')


@then('it is still held back, and at most {most:d} records are kept')
def kept(context: Any, most: int) -> None:
    """Count them."""
    assert context.play.held_s()
    assert len(context.play.records) <= most
