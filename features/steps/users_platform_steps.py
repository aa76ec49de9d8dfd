"""Steps of users_platform.feature."""

import json
from typing import Any

from behave import given, then, when

from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes.store_settings import StoreSettings
from endivesaddle.fleet.sentinels import Absent, Conflict
from subjects import adapter_names, users_platform
from subjects.slow_link import SlowScan

KEYS = 5


@given("a router that follows the users' store")
def start(context: Any) -> None:
    """Start a router's store watcher."""
    context.users = users_platform.UsersPlatform()
    context.add_cleanup(context.users.close)
    context.users.follow()


@when('version {version:d} is configured')
def configure(context: Any, version: int) -> None:
    """Write a version and wait until the router has it."""
    context.users.configure(version)
    context.users.sleep(0.1)


@when('version {version:d} is configured and the store drops its history at once')
def configure_and_drop(context: Any, version: int) -> None:
    """Write a version that no watch reports."""
    context.users.down(True)
    context.users.configure(version)
    context.users.memory.forget()
    context.users.down(False)


@when("the operator's document is {text}")
def document(context: Any, text: str) -> None:
    """Write an invalid configuration."""
    context.users.memory.put('op/config', text.encode())
    context.users.sleep(0.1)


@when('the watches stop receiving')
def silence(context: Any) -> None:
    """Leave the next two calls without a response."""
    context.users.transport.silent_calls = 2
    context.users.sleep(1.4)


@when('{seconds:d} seconds pass')
def advance(context: Any, seconds: int) -> None:
    """Advance the clock."""
    context.users.sleep(seconds)


@when('server {name} enters')
def enters(context: Any, name: str) -> None:
    """Write the server's entry."""
    context.users.enter(name)
    context.users.sleep(0.1)


@when('the entry of server {name} is written with {field} as {text}')
def enters_with(context: Any, name: str, field: str, text: str) -> None:
    """Write an entry that differs in one field."""
    context.users.enter_with(name, field, json.loads(text))
    context.users.sleep(0.1)


@then('the incarnation of server {name} that started at {born:d} takes requests')
def incarnation(context: Any, name: str, born: int) -> None:
    """Check the only server in use."""
    found = [(one.lifetime, one.born_unix_ms) for one in context.users.servers()]
    assert found == [(name, born)], found


@when('server {name} starts draining')
def drains(context: Any, name: str) -> None:
    """Write an entry with the state "draining"."""
    context.users.enter(name, 'draining')
    context.users.sleep(0.1)


@when('server {name} enters at the address of server {other}')
def enters_at(context: Any, name: str, other: str) -> None:
    """Write an entry with another server's address."""
    context.users.enter_at(name, other)
    context.users.sleep(0.1)


@then('only server {name} takes requests')
def only_server(context: Any, name: str) -> None:
    """Check the list of servers in use."""
    assert [one.lifetime for one in context.users.servers()] == [name]


@when('the entry of server {name} is deleted')
def delete_entry(context: Any, name: str) -> None:
    """Delete the entry."""
    context.users.expire(name)
    context.users.sleep(0.1)


@when('the store is down for {seconds:d} seconds and the entries expire')
def expire(context: Any, seconds: int) -> None:
    """Delete the entries while the store is down."""
    context.users.down(True)
    context.users.sleep(seconds)
    for name in ('one', 'two'):
        context.users.expire(name)
    context.users.down(False)
    context.users.sleep(1)


@then('version {version:d} is in force')
def in_force(context: Any, version: int) -> None:
    """Check the version of the router's declarations."""
    assert context.users.version() == version, context.users.version()


@then('{count:d} servers take requests')
def count_servers(context: Any, count: int) -> None:
    """Check the number of servers in use."""
    assert len(context.users.servers()) == count, context.users.servers()


@then('the example configuration is read into routes, services, accounts and limits')
def read_config(context: Any) -> None:
    """Check the decoded fields."""
    declared = users_platform.declared()
    route = declared.routes[0]
    assert (route.host, route.prefix, route.max_attempts) == ('boards.example', '/b/', 2)
    assert route.resumable
    assert [target.weight for target in route.targets] == [90, 10]
    assert declared.services[0].event_tokens == 6
    assert not declared.services[1].engine
    assert declared.accounts[0].total_tokens == 2688330
    assert (declared.limits.header_bytes, declared.limits.header_ms) == (999, 2000)


@then('workers send "{leaving}" and "{retry_after}", and no client can set the first')
def worker_headers(context: Any, leaving: str, retry_after: str) -> None:
    """Check the names of these headers, and that the first is reserved."""
    header_names = users_platform.header_names()
    assert (header_names.leaving, header_names.retry_after) == (leaving, retry_after)
    assert leaving in header_names.reserved


@then('these are the names of the other headers')
def other_headers(context: Any) -> None:
    """Check the header names of the adapter."""
    header_names = users_platform.header_names()
    for row in context.table:
        assert getattr(header_names, row['for']) == row['header'], row


@then('a list that may be stale is requested with "{parameter}"')
def stale(context: Any, parameter: str) -> None:
    """Check the query that the store got."""
    context.users.call('list_stale', 'servers/')
    assert parameter in context.users.gateway.queries[-1], context.users.gateway.queries


@then("the settings file becomes the product's settings")
def node(context: Any) -> None:
    """Check some fields of a router's and a sidecar's settings."""
    settings, store_address = users_platform.read_node(users_platform.NODE)
    assert (settings.place.instance, settings.place.http_listen) == ('edge-1', '10.1.0.40:8227')
    assert settings.forward.retry_slack == 56
    assert settings.forward.retry_window_s == 12
    limited, _ = users_platform.read_node(f'{users_platform.NODE}[limits]\nmax_fds = 4100\n')
    assert limited.http.max_connections == 1950
    few = users_platform.read_node(f'{users_platform.NODE}[limits]\nmax_fds = 100\n')
    assert 'limits.max_fds' in str(few), few
    assert store_address == '10.200.1.7:8223'
    sidecar, store_address = users_platform.read_node(users_platform.NODE, 'sidecar')
    assert (sidecar.listen, sidecar.data_centre) == ('10.1.0.40:7340', 'porto-a')
    assert store_address == '10.200.1.7:8223'


@then('waiting-policy is "{policy}" for the contracts "{contracts}"')
def waiting_policy(context: Any, policy: str, contracts: str) -> None:
    """Read a file with these contracts."""
    names = [name for name in contracts.split(',') if name != 'none']
    settings, _ = users_platform.read_node(f'contracts = {names}\n{users_platform.NODE}')
    assert settings.waiting.waiting_policy == policy, settings.waiting
    settings, _ = users_platform.read_node(users_platform.NODE)
    assert settings.waiting.waiting_policy == 'off', settings.waiting


@then('a settings file without "{field}" is rejected with an error that names it')
def node_without(context: Any, field: str) -> None:
    """Read a file without this table."""
    text = users_platform.NODE.replace(f'[{field}]', '[other]')
    error = users_platform.read_node(text)
    assert isinstance(error, str), error
    assert field in error, error


@then('a settings file with a negative retry slack is rejected with the flag and its bounds')
def node_out_of_range(context: Any) -> None:
    """Read a file with a value that no flag would accept."""
    text = users_platform.NODE.replace('retry_slack = 56', 'retry_slack = -1')
    error = users_platform.read_node(text)
    assert isinstance(error, str), error
    assert '--retry-slack is -1' in error, error


@then('a settings file without the contract "{name}" leaves the new settings at their defaults')
def node_without_contract(context: Any, name: str) -> None:
    """Read files without contracts and with another one."""
    for contracts in ('', 'contracts = ["base"]'):
        settings, _ = users_platform.read_node(f'{contracts}\n{users_platform.NODE}')
        assert settings.store == StoreSettings(), (name, settings.store)


@then('one with it sets a longer pause between attempts to read the store')
def node_with_contract(context: Any) -> None:
    """Read a file that names it."""
    settings, _ = users_platform.read_node(f'contracts = ["pressure"]\n{users_platform.NODE}')
    assert settings.store.store_retry_max_s > StoreSettings().store_retry_max_s, settings.store


@then('a key is read, written with its version, and a write with another version is refused')
def key(context: Any) -> None:
    """Read, create, read and overwrite a key."""
    users = context.users
    assert isinstance(users.call('read', 'my/key'), Absent)
    written = users.call('swap', 'my/key', b'one', 0)
    assert isinstance(written, Stored), written
    assert users.call('read', 'my/key') == written
    refused = users.call('swap', 'my/key', b'two', 0)
    assert isinstance(refused, Conflict), refused
    assert (refused.version, refused.value) == (written.version, b'one')


@then('a list of several pages is read completely')
def pages(context: Any) -> None:
    """List more keys than a page holds."""
    for number in range(KEYS):
        context.users.call('swap', f'many/{number}', b'x', 0)
    assert len(context.users.call('list', 'many/')) == KEYS


@then('a write whose response is lost is reported as unconfirmed')
def unconfirmed(context: Any) -> None:
    """Lose the response to a write."""
    context.users.gateway.lost_responses = 1
    outcome = context.users.call('swap', 'my/lost', b'x', 0)
    assert isinstance(outcome, StoreWriteUnconfirmed), outcome
    assert isinstance(context.users.call('read', 'my/lost'), Stored)


@then('a write that the store refuses is reported as not applied')
def refused(context: Any) -> None:
    """Write while the store refuses all calls."""
    context.users.gateway.status = 429
    outcome = context.users.call('swap', 'my/refused', b'x', 0)
    assert isinstance(outcome, StoreUnreachable), outcome
    context.users.gateway.status = 0
    assert isinstance(context.users.call('read', 'my/refused'), Absent)


@when('a list takes 2 seconds to arrive, and responses must begin within half a second')
def slow_list(context: Any) -> None:
    """Scan over a link that delivers the response slowly."""
    context.scan = SlowScan(stalls=False)


@when('a list stops arriving after 1 second, and responses must begin within half a second')
def stalled_list(context: Any) -> None:
    """Scan over a link that delivers half of the response."""
    context.scan = SlowScan(stalls=True)


@then('the list is read completely')
def read_completely(context: Any) -> None:
    """Check the version that the scan returned."""
    assert context.scan.version == 7, context.scan.failure


@then('the list counts as lost after {seconds:g} seconds at most')
def counts_as_lost(context: Any, seconds: float) -> None:
    """Check that the scan failed, and its duration."""
    assert context.scan.failure
    assert context.scan.took_s <= seconds, context.scan.took_s


@then('each of its names occurs in a test')
def names_tested(context: Any) -> None:
    """Look for the names of the adapter's source in the tests."""
    assert len(adapter_names.known()) > 50
    assert not adapter_names.untested(), adapter_names.untested()
