"""Steps of word_of_leaving.feature."""

from typing import Any

from behave import given, then, when

from subjects.announcing_servers import AnnouncingFleet

LATER_BORN_UNIX_MS = 1_800_000_000_000


@given('{routers:d} routers and {servers:d} servers that answer over connections')
def start(context: Any, routers: int, servers: int) -> None:
    """Start them."""
    start_with_sidecars(context, routers, 0, servers)


@given(
    '{routers:d} routers with {sidecars:d} sidecars and {servers:d} servers '
    'that answer over connections'
)
def start_with_sidecars(context: Any, routers: int, sidecars: int, servers: int) -> None:
    """Start them."""
    context.play = AnnouncingFleet(routers, servers, sidecars)
    context.add_cleanup(context.play.close)


@when('the store is down for all of them')
def lose_store(context: Any) -> None:
    """Take it down, and let them notice."""
    context.play.lose_store(True)
    context.play.sleep(1)


@when('the store is back, where server {server:d} rewrites its entry as not leaving')
def regain_store(context: Any, server: int) -> None:
    """Bring it back."""
    context.play.lose_store(False)
    context.play.enter(server)


@when('server {server:d} leaves, and announces it in responses with status {status:d}')
def leave(context: Any, server: int, status: int) -> None:
    """Set the headers of its responses."""
    context.play.servers[server].leave(status)


@when('server {server:d} declines requests, with a retry time of {seconds:d} seconds')
def turn_away(context: Any, server: int, seconds: int) -> None:
    """Set the headers of its responses."""
    context.play.servers[server].turn_away(str(seconds))


@when('server {server:d} declines requests, with "retry-after: {word}"')
def decline_with_text(context: Any, server: int, word: str) -> None:
    """Set the headers of its responses."""
    context.play.servers[server].turn_away(word)


@when('router {router:d} has passed on such an answer')
def meet_leaving(context: Any, router: int) -> None:
    """Send requests until server 0 has answered one."""
    context.play.meet(router, 0)


@when('router {router:d} got such a response')
def meet(context: Any, router: int) -> None:
    """Send requests until server 0 has declined one."""
    context.play.meet(router, 0)


@when('server {server:d} starts again under its name')
def start_again(context: Any, server: int) -> None:
    """Have its next incarnation answer with 200 and write its entry."""
    context.play.servers[server].status = 200
    context.play.servers[server].headers = b''
    context.play.enter(server, LATER_BORN_UNIX_MS)


@when('the entry of server {server:d} is gone for {seconds:d} seconds')
def vanish(context: Any, server: int, seconds: int) -> None:
    """Remove it for a while."""
    context.play.vanish(server, seconds)
    context.play.sleep(1)


@when('{seconds:d} seconds go by for them')
def wait(context: Any, seconds: int) -> None:
    """Let time pass."""
    context.play.sleep(seconds)


@when('{times:d} requests come at router {router:d}')
@when('{times:d} requests come at router {router:d} within 2.5 seconds')
def come(context: Any, times: int, router: int) -> None:
    """Send them, a tenth of a second apart."""
    context.play.come(times, router)


@then('server {server:d} got none of them')
def got_none(context: Any, server: int) -> None:
    """Count what it got."""
    assert not context.play.servers[server].got, context.play.servers[server].got


@then('server {server:d} got some of them')
def got_some(context: Any, server: int) -> None:
    """Count what it got."""
    assert context.play.servers[server].got


@then('each of them was answered by another server')
def answered(context: Any) -> None:
    """Check what the callers got."""
    assert context.play.sinks
    assert {sink.status for sink in context.play.sinks} == {200}


@then('each of them was told to come back in {low:g} to {high:g} seconds')
def told(context: Any, low: float, high: float) -> None:
    """Check what the callers got."""
    assert context.play.sinks
    for sink in context.play.sinks:
        assert sink.status == 503
        assert sink.refusal.not_run == 'true'
        assert low <= sink.refusal.retry_after_s <= high, sink.refusal
