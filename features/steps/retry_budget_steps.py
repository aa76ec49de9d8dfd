"""Steps of retry_budget.feature."""

from typing import Any

from behave import given, then, when

from subjects.retry_faults import RetryPlay


@given('{routers:d} routers that retry as much as they may')
def start(context: Any, routers: int) -> None:
    """Start them."""
    context.play = RetryPlay(routers)
    context.add_cleanup(context.play.close)


@given('{routers:d} routers that retry as much as they may in play {seed:d}')
def start_seeded(context: Any, routers: int, seed: int) -> None:
    """Start them."""
    context.play = RetryPlay(routers, seed)
    context.add_cleanup(context.play.close)


@given('{routers:d} routers with the former shares in play {seed:d}')
def start_former(context: Any, routers: int, seed: int) -> None:
    """Start routers whose counts lie in the process, and that divide by those they see."""
    context.play = RetryPlay(routers, seed, former=True)
    context.add_cleanup(context.play.close)


@when('{fault} in their fleet')
def happen(context: Any, fault: str) -> None:
    """Let a fault happen, or several joined by a semicolon."""
    context.play.play(*fault.split('; '))


@then('no window has more retries than the budget of its service')
def bounded(context: Any) -> None:
    """Compare the worst window."""
    worst = context.play.fleet.worst()
    assert worst.excess <= 0, worst


@then('a window has more retries than the budget of its service')
def broken(context: Any) -> None:
    """Compare the worst window."""
    assert context.play.fleet.worst().excess > 0


@then('the shares of granted retries are at least the former ones, in peace and while servers fail')
def granted(context: Any) -> None:
    """Play the same with the former shares."""
    former = RetryPlay(len(context.play.fleet.routers), former=True)
    context.add_cleanup(former.close)
    former.play('nothing happens')
    shares, former_shares = context.play.granted_shares(), former.granted_shares()
    assert all(now >= then for now, then in zip(shares, former_shares, strict=True)), (
        shares,
        former_shares,
    )


@then('it is granted a retry within {seconds:d} seconds of its start')
def started(context: Any, seconds: int) -> None:
    """Check the router that started last."""
    router = context.play.fleet.routers[-1]
    assert router.started_s > 0
    assert router.first_retry_s <= seconds, router.first_retry_s
