"""Steps of server_signals.feature."""

from typing import Any

from behave import then, when

from endivesaddle.fleet.routing.server_signals import server_signals
from subjects.logged_events import LoggedEvents
from subjects.pages_documents import PAGES_CONFIG, PAGES_ENTRY, config_with
from subjects.users_platform import module

UNREAD = 'server_header_unread'
UNREAD_NAME = 'stored_name_unread'


@when('server {server:d} answers with the header "{header}"')
def answer_with(context: Any, server: int, header: str) -> None:
    """Have it say so, and keep the lines from here on."""
    _say(context, server, f'{header}\r\n')


@when('server {server:d} answers with {count:d} headers that nobody knows')
def answer_with_many(context: Any, server: int, count: int) -> None:
    """Have it say so, and keep the lines from here on."""
    _say(context, server, ''.join(f'x-{number}: {"y" * 500}\r\n' for number in range(count)))


@then('one line tells that "{header}" is not read, with "{value}" and the server')
@then('one line tells that "{header}" is not read, with "" and the server')
def told_once(context: Any, header: str, value: str = '') -> None:
    """Look at the lines."""
    told = [fields for fields in context.logged.fields(UNREAD) if fields['header'] == header]
    assert told == [{'server': 'life-0', 'header': header, 'value': value}], told


@then('no line tells so of another header')
def told_no_other(context: Any) -> None:
    """Look at the lines."""
    assert len(context.logged.fields(UNREAD)) == 1, context.logged.fields(UNREAD)


@then('{count:d} lines tell of headers that are not read')
def told_often(context: Any, count: int) -> None:
    """Count the log lines."""
    assert len(context.logged.fields(UNREAD)) == count


@then('each of these lines is shorter than {characters:d} characters')
def short(context: Any, characters: int) -> None:
    """Compare the lengths of the log lines."""
    assert max(len(str(fields)) for fields in context.logged.fields(UNREAD)) < characters


@when('the operator writes the key "{key}"')
def write_key(context: Any, key: str) -> None:
    """Write the key, and record log events from now on."""
    context.logged = LoggedEvents()
    context.add_cleanup(context.logged.close)
    context.users.write(key, {})


@when('a configuration has the field "{field}" in each of its parts')
def write_config(context: Any, field: str) -> None:
    """Write a configuration with the field."""
    context.users.write('op/config', config_with(field))


@when('the configuration and the entry of the pages are written')
def write_known(context: Any) -> None:
    """Write them, and record log events from now on."""
    context.logged = LoggedEvents()
    context.add_cleanup(context.logged.close)
    context.users.write('op/config', PAGES_CONFIG)
    context.users.write('servers/one', PAGES_ENTRY)


@then('these names are told of as not read, each once')
def names_told(context: Any) -> None:
    """Compare the logged names."""
    told = [(one['where'], one['met']) for one in context.logged.fields(UNREAD_NAME)]
    assert sorted(told) == sorted((row['where'], row['name']) for row in context.table), told


@then('no name is told of as not read')
def no_name_told(context: Any) -> None:
    """Look at the lines."""
    assert not context.logged.fields(UNREAD_NAME), context.logged.fields(UNREAD_NAME)


@then('the adapter leaves "{header}" to callers')
def passed(context: Any, header: str) -> None:
    """Check the header names of the adapter."""
    assert header in module('headers').HEADER_NAMES.passed


@then('each signal has a header in the adapter, known as read and dropped where a caller sends it')
def all_named(context: Any) -> None:
    """Compare the registry with the adapter's header names."""
    header_names = module('headers').HEADER_NAMES
    assert set(header_names.signals) == set(server_signals)
    assert set(header_names.signals.values()) <= header_names.reserved
    assert set(header_names.signals.values()) <= set(header_names.read_from_responses)


def _say(context: Any, server: int, headers: str) -> None:
    context.logged = LoggedEvents()
    context.add_cleanup(context.logged.close)
    context.play.servers[server].headers = headers.encode()
