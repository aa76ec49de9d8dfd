"""Steps of runs_orders.feature."""

from typing import Any

import anyio
from behave import given, then, when

from subjects.runs_orders import Orders


@given('a sidecar that keeps the orders of an engine')
@given('a sidecar that keeps the orders of an engine that checks numbers')
def checking(context: Any) -> None:
    """Start with an engine that refuses old numbers itself."""
    context.subject = Orders()


@given('a sidecar that keeps the orders of an engine that ignores numbers')
def ignoring(context: Any) -> None:
    """Start with an engine that takes any order."""
    context.subject = Orders(checks_orders=False)


@when('the sidecar is ordered to "{text}" with fence {fence:d} as "{order_id}"')
def order(context: Any, text: str, fence: int, order_id: str) -> None:
    """Order the newest keeper."""
    context.subject.later(lambda subject: subject.order(text, fence, order_id))


@when('operators take fencing numbers for "{first}" and "{second}"')
def take_numbers(context: Any, first: str, second: str) -> None:
    """Take numbers as the command of operators does."""
    context.subject.later(lambda subject: subject.take_number(first))
    context.subject.later(lambda subject: subject.take_number(second))


@when('the sidecar is ordered to "{text}" with the number of "{order_id}"')
def order_numbered(context: Any, text: str, order_id: str) -> None:
    """Order with a number that was taken."""
    context.subject.later(
        lambda subject: subject.order(text, dict(subject.numbers)[order_id], order_id)
    )


@when('the store of fences goes down right after the wanted state was written')
def store_down_after_write(context: Any) -> None:
    """Let the write take effect, and nothing after it."""
    context.subject.falls_after_key = 'orders/'


@when('the sidecar is paused right after its check, ordering "{text}" with fence {fence:d}')
def order_paused(context: Any, text: str, fence: int) -> None:
    """Pause between check and order."""
    context.subject.later(lambda subject: subject.order_paused(text, fence))


@when('the paused sidecar wakes')
def wake(context: Any) -> None:
    """Let its order leave."""
    context.subject.later(lambda subject: subject.wake())


@when('a successor keeps the orders of the engine')
def succeed(context: Any) -> None:
    """Start another keeper."""
    context.subject.later(lambda subject: subject.succeed())


@when('nothing happens to the keeper of orders')
def nothing(context: Any) -> None:
    """Leave it as it is."""


@when('{seconds:d} second pass for the keeper of orders')
@when('{seconds:d} seconds pass for the keeper of orders')
def wait(context: Any, seconds: int) -> None:
    """Let time pass."""
    context.subject.later(lambda _: anyio.sleep(seconds))


@when('the store of fences is down')
def store_down(context: Any) -> None:
    """Take it down."""
    context.subject.later(lambda subject: subject.fail_store(True))


@when('the store of fences goes down in {seconds:d} seconds')
def store_down_soon(context: Any, seconds: int) -> None:
    """Take it down beside what comes next."""
    context.subject.later(lambda subject: subject.fail_store(True, seconds))


@when('the store of fences is back')
def store_back(context: Any) -> None:
    """Bring it back."""
    context.subject.later(lambda subject: subject.fail_store(False))


@when('the store of fences loses its next {count:d} answers')
def store_loses(context: Any, count: int) -> None:
    """Let writes take effect without an answer."""
    context.subject.store.lose_answers = count


@when("the ordered engine can't be reached")
def engine_gone(context: Any) -> None:
    """Refuse connections."""
    context.subject.state.switches.unreachable = True


@when('the ordered engine is back')
def engine_back(context: Any) -> None:
    """Take connections again."""

    async def act(subject: Orders) -> None:
        subject.state.switches.unreachable = False

    context.subject.later(act)


@when('the ordered engine refuses orders')
def engine_refuses(context: Any) -> None:
    """Refuse orders."""
    context.subject.state.switches.refuse_orders = True


@when('the ordered engine takes orders again')
def engine_takes(context: Any) -> None:
    """Take orders."""

    async def act(subject: Orders) -> None:
        subject.state.switches.refuse_orders = False

    context.subject.later(act)


@when('an order takes the engine {seconds:d} seconds')
def slow_orders(context: Any, seconds: int) -> None:
    """Make orders slow."""
    context.subject.state.switches.order_s = seconds


@when('the ordered engine\'s models are "" for a moment')
def models_meanwhile(context: Any) -> None:
    """Check that the late order has struck."""

    async def check(subject: Orders) -> None:
        assert subject.state.models == [], subject.state.models

    context.subject.later(check)


@then('the sidecar answered its orders with "{text}"')
def replies(context: Any, text: str) -> None:
    """Compare all replies."""
    found = [reply.code or 'done' for reply in context.subject.played().replies]
    assert ', '.join(found) == text, found


@then('the operators\' numbers are "{text}"')
def numbers(context: Any, text: str) -> None:
    """Compare the numbers in the order in which they were taken."""
    found = ' '.join(str(number) for _, number in context.subject.played().numbers)
    assert found == text, found


@then('the ordered engine got "{text}"')
def engine_got(context: Any, text: str) -> None:
    """Compare the orders that the engine carried out."""
    orders = context.subject.played().state.orders
    assert ', '.join(orders) == text, orders


@then('the ordered engine\'s models are "{text}"')
def engine_models(context: Any, text: str) -> None:
    """Compare the engine's state."""
    models = context.subject.played().state.models
    assert ' '.join(models) == text, models


@then('the keeper of orders tells fence {fence:d} and the wanted role "{role}"')
def dumped(context: Any, fence: int, role: str) -> None:
    """Compare the dump."""
    dump = context.subject.played().dump
    assert (dump['highest_fence'], dump['wanted']['role']) == (fence, role), dump


@then('the ordered engine has no models')
def engine_no_models(context: Any) -> None:
    """Compare the engine's state."""
    assert context.subject.played().state.models == []


@then('the ordered engine has the role "{role}"')
def engine_role(context: Any, role: str) -> None:
    """Compare the engine's role."""
    assert context.subject.played().state.role == role


@then("the sidecar's last order took at most {seconds:d} seconds")
def order_took(context: Any, seconds: int) -> None:
    """Compare the time."""
    assert 0 < context.subject.played().took_s <= seconds, context.subject.took_s
