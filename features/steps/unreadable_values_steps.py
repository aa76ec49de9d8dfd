"""Steps of unreadable_values.feature."""

import pathlib
import re
from functools import partial
from types import MappingProxyType
from typing import Any

from behave import then, when

from endivesaddle.callers.forward_requests import Head, read_request
from endivesaddle.callers.refusals import Invalid
from endivesaddle.daemon.tasks import keep
from endivesaddle.stand_ins import virtual
from subjects import unreadable, unreadable_tasks
from subjects.logged_events import LoggedEvents
from subjects.users_platform import declared, header_names

ROOT = pathlib.Path(__file__).parent.parent.parent
OTHER = 'servers/other'
CONFIG = 'op/config'
DECODER = 'packages/fleet/src/endivesaddle/fleet/decoding.py'
DECODES = re.compile(
    r'msgspec\.((json|msgpack)\.(decode|Decoder)|convert)|tomllib|FromString|\.decompress'
    r'|import DecodeError'
)
FLEET = 'packages/fleet/src/endivesaddle/fleet'
OWN_VALUES = frozenset(
    f'{FLEET}/{name}.py'
    for name in ('requests/refused_claims', 'requests/table', 'runs/answer', 'runs/run')
)
"""They read back what the same process has encoded in memory."""
COUNTS = MappingProxyType({'one line names': 1, 'two lines name': 2})


@when('an entry of another writer is {value}')
def write_entry(context: Any, value: str) -> None:
    """Write an entry beside those of the servers."""
    context.users.memory.put(OTHER, unreadable.ENTRIES[value])
    context.users.sleep(0.1)


@when('the entry of server two is overwritten with what is {value}')
def overwrite_entry(context: Any, value: str) -> None:
    """Replace a server's own entry."""
    context.users.memory.put('servers/two', unreadable.ENTRIES[value])
    context.users.sleep(0.1)


@when('the configuration is {value}')
def write_config(context: Any, value: str) -> None:
    """Write a configuration, and record what is logged."""
    if 'logged' not in context:
        context.logged = LoggedEvents()
        context.add_cleanup(context.logged.close)
    context.users.memory.put(CONFIG, unreadable.CONFIGURATIONS[value])
    context.users.sleep(0.1)


@when('the store drops its history {count:d} times')
def drop_history(context: Any, count: int) -> None:
    """Have the router list all keys again."""
    for _ in range(count):
        context.users.memory.put('op/other', b'')
        context.users.memory.forget()
        context.users.sleep(2)


@then('{lines} the key "{key}" as unreadable')
def logged_once(context: Any, lines: str, key: str) -> None:
    """Check how often the key was logged."""
    found = [one['key'] for one in context.logged.fields('declarations_unreadable')]
    assert (set(found), len(found)) == ({key}, COUNTS[lines]), found


@when('an instance lists the others beside each unreadable value')
def list_instances(context: Any) -> None:
    """List once for each value."""
    context.listed = {
        name: unreadable_tasks.listed_beside(value) for name, value in unreadable.VALUES.items()
    }


@then('it knows all readable ones each time')
def knows_others(context: Any) -> None:
    """Check the lists."""
    assert all(listed == {'near'} for listed in context.listed.values()), context.listed


@when('an allocator is asked for tokens while its record is each unreadable value')
def draw(context: Any) -> None:
    """Draw beside each value."""
    context.logged = LoggedEvents()
    context.add_cleanup(context.logged.close)
    context.allocator = unreadable_tasks.AllocatorBesideUnreadable()
    context.allocator.draw()


@then('it gives out none, keeps running, and the record is as it was')
def gives_none(context: Any) -> None:
    """Check what was given, and the record."""
    values = [value for value in unreadable.VALUES.values() if value]
    assert not any(context.allocator.given), context.allocator.given
    assert context.allocator.left == values


@then('the log names each version of the record once')
def named_once(context: Any) -> None:
    """Check that no other line repeats the failure."""
    found = [one['version'] for one in context.logged.fields('declarations_unreadable')]
    assert len(found) == len(set(found)), found
    assert len(found) == len(context.allocator.left), found
    assert not context.logged.fields('grant_unwritten'), context.logged.names()


@then('it gives tokens once the record is readable again')
def gives_later(context: Any) -> None:
    """Check the last draw."""
    assert context.allocator.given_later == 100, context.allocator.given_later


@when('{reader} reads each unreadable value')
def read_values(context: Any, reader: str) -> None:
    """Give a reader all values."""
    context.outcomes = unreadable.outcomes(reader)


@then('it ends each time with a value or with {error}')
def ends_with(context: Any, error: str) -> None:
    """Check that no error of another layer came out."""
    others = {name: kind for name, kind in context.outcomes.items() if kind not in {'', error}}
    assert not others, others


class _Exchange:
    """A request whose head has been read."""

    began_unix_s = 0.0
    method = 'POST'
    target = '/b/x'
    header_list: tuple[tuple[str, str], ...] = ()

    def __init__(self, headers: dict[str, str]) -> None:
        self.headers = headers


@then('a request with the header {name} set to {text} is refused as invalid')
def refuses_header(context: Any, name: str, text: str) -> None:
    """Check a request that has one more header."""
    head = Head(declared().routes[0], None)
    exchange: Any = _Exchange({name: text})
    found = read_request(exchange, head, b'', header_names())
    assert isinstance(found, Invalid), found
    assert found.code == 'invalid_header', found


@when('a background task fails {count:d} times and then returns')
def fail_task(context: Any, count: int) -> None:
    """Keep a task that fails."""
    context.logged = LoggedEvents()
    context.add_cleanup(context.logged.close)
    context.runs = 0

    async def fail() -> None:
        context.runs += 1
        if context.runs <= count:
            raise KeyError('entries')

    virtual.run(partial(keep, 'store watch', fail))


@then('it ran {runs:d} times, and {lines:d} lines name it with the error')
def started_again(context: Any, runs: int, lines: int) -> None:
    """Check the runs and the log."""
    assert context.runs == runs, context.runs
    found = context.logged.fields('task_failed')
    assert len(found) == lines, found
    assert all('KeyError' in one['error'] and one['task'] == 'store watch' for one in found), found


@then('only the module of decoders calls the decoders of the libraries')
def one_decoder(context: Any) -> None:
    """Search the sources of the product."""
    paths = [*ROOT.glob('packages/*/src/**/*.py'), *ROOT.glob('platform/*.py')]
    found = {
        str(path.relative_to(ROOT))
        for path in paths
        if 'stand_ins' not in path.parts and DECODES.search(path.read_text())
    }
    assert found == OWN_VALUES | {DECODER}, found
