"""Steps of odd_values.feature."""

from collections import Counter
from random import Random
from typing import Any

import msgspec
from behave import then, when

from subjects import odd_addresses, odd_uses
from subjects.logged_events import LoggedEvents
from subjects.odd_processes import LATER, OddEntries
from subjects.unreadable import ENTRIES
from subjects.users_platform import ADDRESSES, ENTRY

REQUESTS = 10
SEED = 1
LISTED_S = 2.0


@when('two router processes run beside odd {entries}, and a server enters later')
def run_beside(context: Any, entries: str) -> None:
    """Run them beside all odd entries of one kind."""
    context.odd = OddEntries()
    context.odd.play(entries, REQUESTS)


@then('both run, no background task failed, and {requests:d} requests reach that server')
def both_run(context: Any, requests: int) -> None:
    """Check the processes, their logs and the requests."""
    odd = context.odd
    assert not odd.ended, odd.ended
    assert not odd.failed_tasks, odd.failed_tasks[0]
    assert Counter(odd.statuses) == {200: requests}, odd.statuses
    assert Counter(odd.reached) == {LATER: requests}, odd.reached


@when('{client} connects to each impossible address')
def connect_each(context: Any, client: str) -> None:
    """Connect to one after the other."""
    context.outcomes = odd_addresses.outcomes(client)


@then('each attempt ends with one of: {errors}')
def ends_with(context: Any, errors: str) -> None:
    """Check the errors."""
    allowed = set(errors.split(', '))
    others = {name: kind for name, kind in context.outcomes.items() if kind not in allowed}
    assert not others, others


@then('no number in a {document} breaks what uses it')
def none_breaks(context: Any, document: str) -> None:
    """Give the document to its readers with each number."""
    failures = odd_uses.failures(document)
    assert not failures, failures


@when('an entry of a service that is not declared has the address of server one')
def enter_undeclared(context: Any) -> None:
    """Write the entry of another writer."""
    entry = {**ENTRY, 'service': 'undeclared', 'address': ADDRESSES['one']}
    context.users.write('servers/other', entry)


@then('server one takes requests of its service')
def takes_requests(context: Any) -> None:
    """Check the servers that requests may be sent to."""
    found = context.users.routing_state.available_servers(ENTRY['service'])
    assert [server.lifetime for server in found] == ['one'], found


@when('{servers:d} servers enter among {odd:d} odd entries, in random order')
def enter_among(context: Any, servers: int, odd: int) -> None:
    """Write all entries, and record what is logged."""
    context.logged = LoggedEvents()
    context.add_cleanup(context.logged.close)
    values = list(ENTRIES.values())
    entries = {f'servers/odd-{number}': values[number % len(values)] for number in range(odd)}
    for number in range(servers):
        entry = {**ENTRY, 'address': f'10.1.1.{number}:80'}
        entries[f'servers/sound-{number}'] = msgspec.json.encode(entry)
    for key in Random(SEED).sample(sorted(entries), len(entries)):
        context.users.memory.put(key, entries[key])
    context.users.sleep(LISTED_S)


@then('all {servers:d} servers take requests, and {odd:d} lines name one odd entry each')
def logged_once(context: Any, servers: int, odd: int) -> None:
    """Check the servers in use and the log."""
    assert len(context.users.servers()) == servers, context.users.servers()
    keys = Counter(one['key'] for one in context.logged.fields('declarations_unreadable'))
    assert (len(keys), keys.total()) == (odd, odd), (len(keys), keys.total())


@when('server one enters and the list is read once more')
def enter_later(context: Any) -> None:
    """Write one more entry; the stand-in has two entries on a page."""
    context.users.enter('one')
    context.users.sleep(LISTED_S)
