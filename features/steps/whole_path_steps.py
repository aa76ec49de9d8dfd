"""Steps of whole_path.feature."""

from typing import Any

from behave import given, then, when

from subjects.whole_path import WholePath


@given('a whole path through a fleet with declarations applied')
def path(context: Any) -> None:
    """Each play opens its own fleet; the subject collects what to play."""
    context.path = WholePath()


@when('the whole path asks for a streamed, a whole and a service answer at three routers')
def three_answers(context: Any) -> None:
    """One of each kind."""
    context.path.play('three answers')


@when('the whole path loses the router of a stream and asks again in another data centre')
def router_lost(context: Any) -> None:
    """Kill the router after the first tokens."""
    context.path.play('lost router')


@when('the whole path sends another body under a used key through another data centre')
def other_body(context: Any) -> None:
    """Use the key again."""
    context.path.play('other body')


@when('the whole path asks for more than the budget of its small account')
def over_budget(context: Any) -> None:
    """Refuse, top up and ask again in one fleet."""
    context.path.play('over budget')


@when('the whole path tops the small account up and asks again')
def topped_up(context: Any) -> None:
    """Look at what came after the top-up."""
    context.path.look_at('topped up')


@when('the whole path has a request answered and its router dies')
def answered_and_gone(context: Any) -> None:
    """Ask the other routers afterwards."""
    context.path.play('router gone')


@then('the whole path got each answer whole and its own')
def whole_answers(context: Any) -> None:
    """Compare with what each request has to get."""
    context.path.check_answers()


@then('the whole path billed each of them once, by its own cost')
def billed(context: Any) -> None:
    """Compare records and the store with the costs."""
    context.path.check_bills()


@then('the whole path ran and billed that request once')
def ran_once(context: Any) -> None:
    """Count arrivals, and compare bills."""
    context.path.check_one_run()
    context.path.check_bills()


@then('the whole path is answered {status:d} {code}')
def refused(context: Any, status: int, code: str) -> None:
    """Compare status and code of the last answer."""
    assert context.path.last == (status, code), context.path.last


@then('the whole path is answered 200')
def answered(context: Any) -> None:
    """Compare the status of the last answer."""
    assert context.path.last == (200, ''), context.path.last


@then('the whole path has no run of it and nothing reserved')
def nothing_ran(context: Any) -> None:
    """Look at the engines and at the ledgers."""
    context.path.check_nothing_ran()


@then('every other router of the whole path tells its run, its bill and its steps')
def told(context: Any) -> None:
    """Compare what each router tells."""
    context.path.check_told()


@then('the whole path shows the dump of a router and of a sidecar')
def dumped(context: Any) -> None:
    """Look for the parts of each."""
    context.path.check_dumps()
