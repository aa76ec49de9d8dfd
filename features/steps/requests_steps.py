"""Steps of requests*.feature."""

from typing import Any

from behave import given, then, when

from subjects.requests import Requests


@given('requests: a fleet in two data centres')
def fleet(context: Any) -> None:
    """Create the subject."""
    context.subject = Requests()


@given('requests: a fleet in two data centres that remembers {count:d} requests')
def small_fleet(context: Any, count: int) -> None:
    """Create the subject with a small table."""
    context.subject = Requests(max_records=count)


@when('requests: {play}')
def played(context: Any, play: str) -> None:
    """Play the scenario of that name."""
    context.subject.play(play)


@then('requests: {caller} has the whole answer of server {server}')
def whole(context: Any, caller: str, server: str) -> None:
    """Check that a caller got the whole answer of one server."""
    context.subject.check_whole(caller, server)
    context.subject.check_promises()


@then('requests: {caller} is refused with {code} and not_run {not_run}')
def refused(context: Any, caller: str, code: str, not_run: str) -> None:
    """Check the code and the ``not_run`` of a refusal."""
    context.subject.check_refused(caller, code, not_run)
    context.subject.check_promises()


@then('requests: {caller} got "{tokens}" first')
def part(context: Any, caller: str, tokens: str) -> None:
    """Check the tokens received before the answer broke off."""
    assert context.subject.received(caller).body.decode().split() == tokens.split()


@then('requests: backend servers ran it {count:d} times')
def ran(context: Any, count: int) -> None:
    """Check how often servers received the request."""
    assert context.subject.runs() == count, context.subject.runs()


@then('requests: it is billed {tokens:d} tokens once')
def billed(context: Any, tokens: int) -> None:
    """Check that there is one bill and that nothing stays reserved."""
    assert context.subject.billed() == [tokens], context.subject.billed()
    assert not context.subject.reserved(), context.subject.reserved()


@then('requests: it is billed in {data_centre}')
def billed_in(context: Any, data_centre: str) -> None:
    """Check the data centre of the bill."""
    places = [place for place, _, _ in context.subject.fleet.ledger.bills]
    assert places == [data_centre], places


@then('requests: it is not billed and {tokens:d} tokens stay reserved')
def not_billed(context: Any, tokens: int) -> None:
    """Check that there is no bill, and the tokens that stay reserved."""
    assert not context.subject.billed(), context.subject.billed()
    assert context.subject.reserved() == tokens, context.subject.reserved()


@then('requests: the run on server {server} was cancelled')
def stopped(context: Any, server: str) -> None:
    """Check that the engine's run was cancelled."""
    assert context.subject.fleet.sidecars[server].engine.cancelled == 1


@then('requests: no run was cancelled')
def not_stopped(context: Any) -> None:
    """Check that no engine's run was cancelled."""
    sidecars = context.subject.fleet.sidecars.values()
    assert not sum(sidecar.engine.cancelled for sidecar in sidecars)


@then('requests: the note "{name}" says {count:d}')
def noted(context: Any, name: str, count: int) -> None:
    """Check a count that the play has noted."""
    assert context.subject.fleet.notes[name] == count, context.subject.fleet.notes


@then('requests: the record says {outcome} with the steps {names}')
def recorded(context: Any, outcome: str, names: str) -> None:
    """Check the outcome and the steps of the record that was found."""
    record = context.subject.found()
    assert record.outcome == outcome, record
    steps = [step.name for step in record.steps]
    assert set(names.split(', ')) <= set(steps), steps
