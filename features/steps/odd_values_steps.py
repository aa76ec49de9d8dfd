"""Steps of odd_values.feature."""

from collections import Counter
from typing import Any

from behave import then, when

from subjects import odd_addresses, odd_uses
from subjects.odd_processes import LATER, OddEntries
from subjects.users_platform import ADDRESSES, ENTRY

REQUESTS = 10


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
