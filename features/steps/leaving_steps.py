"""Steps of leaving.feature."""

from typing import Any

from behave import then, when

from subjects.leaving import Leaving


@when('a router leaves under load')
def router_leaves(context: Any) -> None:
    """Stop one router."""
    context.found = Leaving().stop_router()


@when('a backend server leaves under load by {notice}')
def server_leaves(context: Any, notice: str) -> None:
    """Give one kind of notice."""
    context.found = Leaving().drain(notice, 'porto-b-llm-1')


@when('a backend server of a parted data centre leaves under load by {notice}')
def server_leaves_parted(context: Any, notice: str) -> None:
    """Give notice while porto-c is parted and can't reach the store."""
    context.found = Leaving().drain_parted(notice, 'porto-c-llm-1', storeless=True)


@when('a backend server of an isolated data centre leaves under load by {notice}')
def server_leaves_isolated(context: Any, notice: str) -> None:
    """Give notice that porto-c can't hear of."""
    context.found = Leaving().drain_parted(notice, 'porto-c-llm-1', storeless=True)


@when('the configuration changes under load')
def configuration_changes(context: Any) -> None:
    """Change a rule."""
    context.found = Leaving().change()


@then('nothing is cut while leaving')
def nothing_cut(context: Any) -> None:
    """Every request got its whole stream or was refused as not run."""
    assert context.found.sent
    assert not context.found.cut, context.found.cut


@then('nothing is refused while leaving')
def nothing_refused(context: Any) -> None:
    """The other servers have room."""
    assert not context.found.refused, context.found.refused


@then('what the leaving router refused did not run')
def refused_not_run(context: Any) -> None:
    """There were refusals, all of one router, and no engine saw these requests."""
    assert context.found.refused
    assert all('"code":"leaving"' in told for told in context.found.refused), context.found.refused
    assert not context.found.refused_and_run, context.found.refused_and_run


@then('the leaving backend server gets no new work after 3 seconds')
def no_new_work(context: Any) -> None:
    """Look at the arrivals at its engine."""
    assert not context.found.late_arrivals, context.found.last_arrival_s


@then('the isolated backend server gets no new work 3 seconds after the links heal')
def no_new_work_healed(context: Any) -> None:
    """It got work after the notice, and none late after the healing."""
    assert context.found.last_arrival_s > 0
    assert context.found.healed_last_arrival_s <= 3, context.found.healed_last_arrival_s


@then('the change is in force at all instances within 4 seconds')
def in_force(context: Any) -> None:
    """Count from the operator's "accepted"."""
    assert 0 <= context.found.in_force_s <= 4, context.found.in_force_s
