"""Steps of routing_load.feature."""

from typing import Any

from behave import then, when

from subjects.routing_load import EARLIEST, RoutingLoad

P95 = 1
FULL_TOKENS_PER_S = 5935
"""Good tokens a second of azulejo at full capacity; see docs/design/routing.md."""


@when('routing under load runs {firm} at full capacity')
def full(context: Any, firm: str) -> None:
    """Run one firm's trace."""
    context.subject = RoutingLoad()
    context.subject.run(firm)


@when('routing under load runs {firm} at full capacity with each policy')
def each_policy(context: Any, firm: str) -> None:
    """Run the same trace with all policies."""
    context.subject = RoutingLoad()
    for policy in (EARLIEST, 'round_robin', 'least_outstanding', 'prefix_hash'):
        context.subject.run(firm, policy=policy)


@when('routing under load runs {firm} at 1.5 times its capacity')
def overload(context: Any, firm: str) -> None:
    """Run beyond capacity."""
    context.subject = RoutingLoad()
    context.subject.run(firm, load=1.5)


@when('routing under load runs {firm} at half its capacity with one engine {fault}')
def half(context: Any, firm: str, fault: str) -> None:
    """Run with a fault at half load."""
    context.subject = RoutingLoad()
    context.subject.run(firm, load=0.5, fault=fault)


@when('routing under load runs {firm} twice')
def twice(context: Any, firm: str) -> None:
    """Run the same thing again."""
    context.subject = RoutingLoad()
    for _ in range(2):
        context.subject.run(firm, load=0.5)


@then('routing under load gave 95 in 100 first tokens within {seconds:g} s')
def first_tokens(context: Any, seconds: float) -> None:
    """Compare the percentile."""
    assert 0 < context.subject.last.first_token_s[P95] <= seconds, context.subject.last


@then('routing under load kept {ms:g} ms between tokens for 95 in 100')
def between_tokens(context: Any, ms: float) -> None:
    """Compare the percentile."""
    assert 0 < context.subject.last.between_tokens_s[P95] <= ms / 1000, context.subject.last


@then('routing under load refused nothing')
def refused_nothing(context: Any) -> None:
    """Look for refusals of any kind."""
    figures = context.subject.last
    assert figures.offered and not figures.refused, figures


@then('routing under load failed nothing')
def failed_nothing(context: Any) -> None:
    """Look for answers that broke."""
    assert not context.subject.last.failed, context.subject.last


@then('routing under load gave first tokens earlier than {names}')
def earlier(context: Any, names: str) -> None:
    """Compare with each baseline on the same trace."""
    ours, *others = context.subject.runs
    assert len(others) == 3, others
    for other in others:
        assert ours.first_token_s[P95] < other.first_token_s[P95], (ours, other)


@then('routing under load gave at least 95 % of the tokens of full capacity in time')
def goodput(context: Any) -> None:
    """Compare the tokens of answers in time."""
    assert context.subject.last.good_tokens_per_s >= 0.95 * FULL_TOKENS_PER_S, context.subject.last


@then('routing under load gave the same figures twice')
def same(context: Any) -> None:
    """Compare all figures."""
    first, second = context.subject.runs
    assert first == second, (first, second)
