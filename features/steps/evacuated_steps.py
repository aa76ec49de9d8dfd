"""Steps of evacuated.feature and cold_servers.feature."""

from typing import Any

from behave import given, then, when

from subjects.evacuated_fleet import DATA_CENTRES, EvacuatedFleet


@given('{routers:d} routers and {servers:d} servers in three data centres')
def start(context: Any, routers: int, servers: int) -> None:
    """Start them."""
    context.play = EvacuatedFleet(routers, servers)
    context.add_cleanup(context.play.close)


@when('data centre {name} is evacuated')
def evacuate(context: Any, name: str) -> None:
    """Write the operator's key."""
    context.play.evacuate(name)


@when('data centre {name} is evacuated, and the store drops its history')
def evacuate_and_forget(context: Any, name: str) -> None:
    """Write the operator's key in a way that watches miss."""
    context.play.evacuate(name)
    context.play.forget()


@when('data centre {name} is taken back')
def take_back(context: Any, name: str) -> None:
    """Write the operator's key."""
    context.play.evacuate(name, now=False)
    context.play.sleep(0.2)


@when('data centre {name} is taken back, and the store drops its history')
def take_back_and_forget(context: Any, name: str) -> None:
    """Write the operator's key in a way that watches miss."""
    context.play.evacuate(name, now=False)
    context.play.forget()


@when('router {router:d} is cut off from the store')
def cut(context: Any, router: int) -> None:
    """Cut it off."""
    context.play.cut(router)


@when('a further router starts')
def start_further(context: Any) -> None:
    """Start it."""
    context.further = context.play.start_router()
    assert context.play.ready(context.further)


@when('{times:d} requests come at it')
def come_further(context: Any, times: int) -> None:
    """Send them."""
    context.play.come(times, context.further)


@when('{times:d} requests come at each router')
def come_each(context: Any, times: int) -> None:
    """Send them, one router after the other."""
    for router in range(3):
        context.play.come(times, router)


@when('server {server:d} writes that it is cold for {seconds:d} seconds')
def enter_cold(context: Any, server: int, seconds: int) -> None:
    """Write its entry."""
    context.play.enter_cold(server, seconds)


@when('server {server:d} refuses connections for {seconds:d} seconds, while requests come')
def refuse(context: Any, server: int, seconds: int) -> None:
    """Refuse connections for that time."""
    context.play.servers[server].refuses = True
    context.play.rush(20, seconds)
    context.play.servers[server].refuses = False
    context.play.forget_requests()


@when('all routers start again, and all servers are cold for {seconds:d} seconds')
def restart(context: Any, seconds: int) -> None:
    """Kill them, and start them at their addresses."""
    context.play.restart(seconds)
    context.play.forget_requests()


@then('no server got more than {most:d} requests in any second')
def busiest_of_all(context: Any, most: int) -> None:
    """Count what they got."""
    found = [server.busiest() for server in context.play.servers]
    assert max(found) <= most, found


@then('at least {least:d} of them were answered by a server')
def served(context: Any, least: int) -> None:
    """Count what the callers got."""
    found = sum(sink.status == 200 for sink in context.play.sinks)
    assert found >= least, found


@when('{per_s:d} requests a second come at all routers for {seconds:d} seconds')
def rush(context: Any, per_s: int, seconds: int) -> None:
    """Send them."""
    context.play.rush(per_s, seconds)


@then('servers of {name} got none of them')
def none_of(context: Any, name: str) -> None:
    """Count what they got."""
    got = [server.got for server in _of(context, name)]
    assert not any(got), got


@then('servers of {name} got some of them')
def some_of(context: Any, name: str) -> None:
    """Count what they got."""
    assert any(server.got for server in _of(context, name))


@then('server {server:d} got at most {most:d} requests in any second')
def busiest(context: Any, server: int, most: int) -> None:
    """Count what it got, and that it got some."""
    found = context.play.servers[server].busiest()
    assert 0 < found <= most, found


@then('servers of {name} got at most {most:d} requests each in any second')
def busiest_of(context: Any, name: str, most: int) -> None:
    """Count what they got, and that they got some."""
    found = [server.busiest() for server in _of(context, name)]
    assert 0 < max(found) <= most, found


@then('those that were refused were told to come back in {low:g} to {high:g} seconds')
def refused(context: Any, low: float, high: float) -> None:
    """Check what the callers got."""
    refusals = [sink.refusal for sink in context.play.sinks if sink.refusal]
    assert refusals
    for refusal in refusals:
        assert refusal.not_run == 'true'
        assert low <= refusal.retry_after_s <= high, refusal


def _of(context: Any, name: str) -> list[Any]:
    servers = context.play.servers
    index = DATA_CENTRES.index(name)
    return [server for number, server in enumerate(servers) if number % 3 == index]
