"""Steps of routing_engine.feature."""

from typing import Any

from behave import then, when

from subjects.routing_engine import PROMPT, RoutingEngine

FULL = 24


@when('the batching engine answers 1 request of 100 tokens, and then 24 at once')
def answer(context: Any) -> None:
    """Time one alone and a full batch."""
    context.alone_s = _answer_s(1)
    context.full_s = _answer_s(FULL)


@then('the batching engine took longer for each of the 24')
def longer(context: Any) -> None:
    """Compare; a full batch's steps take half as long again."""
    assert context.alone_s > 0, context.alone_s
    assert context.full_s > 1.4 * context.alone_s, (context.full_s, context.alone_s)


@when('the batching engine reads a prompt, again, and again after many others')
def read(context: Any) -> None:
    """Time three first tokens."""
    subject = RoutingEngine()
    context.took_s = subject.play(subject.read_again)


@then('the batching engine took long, then short, then long for the first token')
def long_short_long(context: Any) -> None:
    """Compare the three."""
    first, cached, evicted = context.took_s
    assert cached < first / 4, context.took_s
    assert evicted > 4 * cached, context.took_s


@when('the batching engine is full and gets a plain and an urgent request')
def urgent(context: Any) -> None:
    """Have both wait."""
    subject = RoutingEngine()
    context.began = subject.play(subject.urgent_first)


@then('the batching engine began the urgent one first')
def urgent_first(context: Any) -> None:
    """Compare the steps."""
    plain, urgent_one = context.began
    assert 0 < urgent_one < plain, context.began


@when('the batching engine has a request cancelled in each of its stages')
def cancel(context: Any) -> None:
    """Cancel all."""
    subject = RoutingEngine()
    context.left = subject.play(subject.cancel_all)


@then('the batching engine has nothing left to do')
def nothing_left(context: Any) -> None:
    """Look at what runs and waits."""
    assert context.left == (0, 0), context.left


@when('the batching engine reports its load twice after a prompt')
def report(context: Any) -> None:
    """Report twice."""
    subject = RoutingEngine()
    context.told = subject.play(subject.report_twice)


@then('the batching engine told of the prompt in the first report alone')
def told_once(context: Any) -> None:
    """Count the blocks."""
    assert context.told == [len(PROMPT), 0], context.told


def _answer_s(count: int) -> float:
    subject = RoutingEngine()
    return subject.play(lambda: subject.answer_s(count))
