"""Steps of requests_chaos.feature."""

from typing import Any

from behave import then, when

from subjects import requests_chaos


@when('requests chaos: the seeds from {first:d} to {last:d} are played')
def played(context: Any, first: int, last: int) -> None:
    """Play seeds."""
    context.played = requests_chaos.play(range(first, last + 1))


@then('requests chaos: no promise is broken')
def kept(context: Any) -> None:
    """Check that no promise was broken."""
    broken = [one for chaos in context.played for one in chaos.broken]
    assert not broken, broken


@then('requests chaos: at least half of all calls are answered')
def answered(context: Any) -> None:
    """Check that the plays contain enough answered calls to prove something."""
    outcomes = [outcome for chaos in context.played for outcome in chaos.outcomes]
    assert len(outcomes) > len(context.played), outcomes
    assert outcomes.count('whole') * 2 >= len(outcomes), outcomes
