"""Steps of processes.feature."""

import functools
from typing import Any

from behave import then, when

from subjects import processes


@when('the processes carry a request end to end and are asked about it')
def carry(context: Any) -> None:
    """Run the play of a fault-free request."""
    context.subject = processes.Processes()
    context.subject.run(processes.answer_and_tell)


@when('the {role} process of an open stream gets SIGTERM')
def terminate(context: Any, role: str) -> None:
    """Run the play of a graceful stop."""
    context.subject = processes.Processes()
    data_centres = processes.APART if role == 'lone router' else processes.TOGETHER
    context.subject.run(functools.partial(processes.stop, role=role), data_centres)


@when('the router process of an open stream is killed and the caller retries elsewhere')
def kill(context: Any) -> None:
    """Run the play of a router that dies."""
    context.subject = processes.Processes()
    context.subject.run(processes.kill_router)


@then('the processes gave the whole answer, from one run, with one bill')
def whole(context: Any) -> None:
    """Look at the last attempt, at the engines and at the budget."""
    subject = context.subject
    last = subject.streams[-1]
    assert last.whole(), (last.status, last.broken, last.body)
    assert subject.seen == 1, subject.seen
    assert subject.billed_tokens == processes.USED_TOKENS, subject.billed_tokens


@then('the process dumped its state as one JSON document on SIGUSR1')
def dumped(context: Any) -> None:
    """Look at the two documents."""
    router, sidecar = context.subject.documents[:2]
    assert router['identity']['role'] == 'router' and router['configuration']['revision'] == 1
    assert sidecar['identity']['role'] == 'sidecar' and 'runs' in sidecar, list(sidecar)


@then('the command process told the request, the account and the members')
def told(context: Any) -> None:
    """Look at the three replies."""
    replies = context.subject.documents[2:]
    assert [reply['exit_status'] for reply in replies] == [0, 0, 0], replies
    request, account, members = replies
    assert request['details']['record']['outcome'] == 'answered', request
    spent = {'what': 'spent', 'tokens': processes.USED_TOKENS * 3}
    assert spent in account['rows'], account
    assert len(members['rows']) == 4, members


@then('the stopped process ended by itself with nothing cut')
def ended(context: Any) -> None:
    """Look at its exit status and its events."""
    subject = context.subject
    assert subject.exit_statuses == [0], subject.exit_statuses
    assert len(subject.events) == 1 and '"process_drained"' in subject.events[0], subject.events
