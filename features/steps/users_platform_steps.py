"""Steps of users_platform.feature."""

import json
from typing import Any

from behave import given, then, when

from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.sentinels import Absent, Conflict
from subjects import adapter_names, users_platform
from subjects.slow_link import SlowScan

MANY = 5


@given("a router that follows the users' store")
def start(context: Any) -> None:
    """Start following."""
    context.users = users_platform.UsersPlatform()
    context.add_cleanup(context.users.close)
    context.users.follow()


@when('version {version:d} is configured')
def configure(context: Any, version: int) -> None:
    """Write a version and let it arrive."""
    context.users.configure(version)
    context.users.sleep(0.1)


@when('version {version:d} is configured and the history is dropped at once')
def configure_and_drop(context: Any, version: int) -> None:
    """Write a version that no watch tells."""
    context.users.down(True)
    context.users.configure(version)
    context.users.memory.forget()
    context.users.down(False)


@when("the operator's document is {text}")
def document(context: Any, text: str) -> None:
    """Write what is no configuration."""
    context.users.memory.put('op/config', text.encode())
    context.users.sleep(0.1)


@when('the watches fall silent')
def silence(context: Any) -> None:
    """Swallow the two calls that are made next."""
    context.users.transport.silent_calls = 2
    context.users.sleep(1.4)


@when('{seconds:d} seconds pass')
def passes(context: Any, seconds: int) -> None:
    """Let time pass."""
    context.users.sleep(seconds)


@when('server {name} enters')
def enters(context: Any, name: str) -> None:
    """Write an entry."""
    context.users.enter(name)
    context.users.sleep(0.1)


@when('the entry of server {name} is written with {field} as {text}')
def enters_with(context: Any, name: str, field: str, text: str) -> None:
    """Write an entry that differs in one field."""
    context.users.enter_with(name, field, json.loads(text))
    context.users.sleep(0.1)


@then('the life of server {name} that began at {born:d} takes requests')
def life(context: Any, name: str, born: int) -> None:
    """Look at it."""
    lives = [(one.lifetime, one.born_unix_ms) for one in context.users.servers()]
    assert lives == [(name, born)], lives


@when('server {name} drains')
def drains(context: Any, name: str) -> None:
    """Write that it leaves."""
    context.users.enter(name, 'draining')
    context.users.sleep(0.1)


@when('server {name} enters at the address of server {other}')
def enters_at(context: Any, name: str, other: str) -> None:
    """Write an entry."""
    context.users.enter_at(name, other)
    context.users.sleep(0.1)


@then('server {name} alone takes requests')
def alone(context: Any, name: str) -> None:
    """Look at the list."""
    assert [one.lifetime for one in context.users.servers()] == [name]


@when('server {name} vanishes')
def vanishes(context: Any, name: str) -> None:
    """Remove the entry."""
    context.users.expire(name)
    context.users.sleep(0.1)


@when('the store goes down for {seconds:d} seconds while the entries lapse')
def lapse(context: Any, seconds: int) -> None:
    """Lapse while nobody can look."""
    context.users.down(True)
    context.users.sleep(seconds)
    for name in ('one', 'two'):
        context.users.expire(name)
    context.users.down(False)
    context.users.sleep(1)


@then('version {version:d} is in force')
def in_force(context: Any, version: int) -> None:
    """Compare what its declarations say."""
    assert context.users.version() == version, context.users.version()


@then('{count:d} servers take requests')
def count_servers(context: Any, count: int) -> None:
    """Look at the list."""
    assert len(context.users.servers()) == count, context.users.servers()


@then('the example configuration is read into routes, services, accounts and limits')
def read_config(context: Any) -> None:
    """Compare field by field."""
    declared = users_platform.declared()
    route = declared.routes[0]
    assert (route.host, route.prefix, route.max_attempts) == ('boards.example', '/b/', 2)
    assert route.resumable
    assert [target.weight for target in route.targets] == [90, 10]
    assert declared.services[0].event_tokens == 6
    assert not declared.services[1].engine
    assert declared.accounts[0].total_tokens == 2688330
    assert (declared.limits.header_bytes, declared.limits.header_ms) == (999, 2000)


@then('a worker says "{leaving}" and "{again}", and no client says the first for it')
def worker_headers(context: Any, leaving: str, again: str) -> None:
    """Compare the header names of the platform."""
    header_names = users_platform.header_names()
    assert (header_names.leaving, header_names.retry_after) == (leaving, again)
    assert leaving in header_names.reserved


@then('these are the names of its other headers')
def other_headers(context: Any) -> None:
    """Compare them with the header names of the adapter."""
    header_names = users_platform.header_names()
    for row in context.table:
        assert getattr(header_names, row['for']) == row['header'], row


@then('a list that may be seconds old is asked for with "{word}"')
def stale(context: Any, word: str) -> None:
    """Look at what the store was asked."""
    context.users.call('list_stale', 'servers/')
    assert word in context.users.gateway.asked[-1], context.users.gateway.asked


@then("the settings file becomes the product's settings")
def node(context: Any) -> None:
    """Compare some fields."""
    settings, store_address = users_platform.read_node(users_platform.NODE)
    assert (settings.place.instance, settings.place.http_listen) == ('edge-1', '10.1.0.40:8227')
    assert settings.forward.retry_slack == 56
    assert store_address == '10.200.1.7:8223'
    sidecar, store_address = users_platform.read_node(users_platform.NODE, 'sidecar')
    assert (sidecar.listen, sidecar.data_centre) == ('10.1.0.40:7340', 'porto-a')
    assert store_address == '10.200.1.7:8223'


@then('a settings file without "{field}" is refused and named')
def node_without(context: Any, field: str) -> None:
    """Leave a table out."""
    text = users_platform.NODE.replace(f'[{field}]', '[other]')
    refused = users_platform.read_node(text)
    assert isinstance(refused, str), refused
    assert field in refused, refused


@then('a key is read, written under its version, and refused under another')
def key(context: Any) -> None:
    """Go through one key's life."""
    users = context.users
    assert isinstance(users.call('read', 'my/key'), Absent)
    written = users.call('swap', 'my/key', b'one', 0)
    assert isinstance(written, Stored), written
    assert users.call('read', 'my/key') == written
    refused = users.call('swap', 'my/key', b'two', 0)
    assert isinstance(refused, Conflict), refused
    assert (refused.version, refused.value) == (written.version, b'one')


@then('a list of many pages is read whole')
def pages(context: Any) -> None:
    """List more than a page."""
    for number in range(MANY):
        context.users.call('swap', f'many/{number}', b'x', 0)
    assert len(context.users.call('list', 'many/')) == MANY


@then('a lost answer to a write is told as unsure')
def unsure(context: Any) -> None:
    """Lose an answer."""
    context.users.gateway.lose = 1
    outcome = context.users.call('swap', 'my/lost', b'x', 0)
    assert isinstance(outcome, StoreWriteUnconfirmed), outcome
    assert isinstance(context.users.call('read', 'my/lost'), Stored)


@then('a write that the store refuses is told as not done')
def refused(context: Any) -> None:
    """Refuse a write."""
    context.users.gateway.status = 429
    outcome = context.users.call('swap', 'my/refused', b'x', 0)
    assert isinstance(outcome, StoreUnreachable), outcome
    context.users.gateway.status = 0
    assert isinstance(context.users.call('read', 'my/refused'), Absent)


@when('a list takes 2 seconds to arrive, and answers have to begin within half a second')
def slow_list(context: Any) -> None:
    """Scan over such a link."""
    context.scan = SlowScan(stalls=False)


@when('a list stops coming after 1 second, and answers have to begin within half a second')
def stalled_list(context: Any) -> None:
    """Scan over such a link."""
    context.scan = SlowScan(stalls=True)


@then('it is read whole')
def read_whole(context: Any) -> None:
    """Look at the version that it told."""
    assert context.scan.version == 7, context.scan.failure


@then('it counts as lost after {seconds:g} seconds at most')
def counts_as_lost(context: Any, seconds: float) -> None:
    """Look at the time that it took."""
    assert context.scan.failure
    assert context.scan.took_s <= seconds, context.scan.took_s


@then('each of its names stands in a test')
def names_tested(context: Any) -> None:
    """Compare the names of the sources."""
    assert len(adapter_names.known()) > 50
    assert not adapter_names.untested(), adapter_names.untested()
