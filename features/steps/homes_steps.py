"""Steps of homes.feature."""

from typing import Any

from behave import given, then, when

from endivesaddle.fleet.sentinels import Refusal
from subjects.homes import Homes


@given('servers in "porto", "rajkot" and a data centre of no known region')
def start(context: Any) -> None:
    """Start the router."""
    context.homes = Homes()
    context.add_cleanup(context.homes.close)


@when('the data centre of "{region}" is evacuated')
def evacuate(context: Any, region: str) -> None:
    """Evacuate it."""
    context.homes.evacuate(region)


@when(
    '{count:d} requests come on a route with homes "{route}" for an account with homes "{account}"'
)
def come(context: Any, count: int, route: str, account: str) -> None:
    """Send them."""
    context.homes.come(count, _names(route), _names(account))


@when('{count:d} requests come on a route with homes "{route}" for an account with homes ""')
def come_route(context: Any, count: int, route: str) -> None:
    """Send them."""
    context.homes.come(count, _names(route), [])


@when('{count:d} requests come on a route with homes "" for an account with homes "{account}"')
def come_account(context: Any, count: int, account: str) -> None:
    """Send them."""
    context.homes.come(count, [], _names(account))


@when('{count:d} requests come on a route with homes "" for an account with homes ""')
def come_any(context: Any, count: int) -> None:
    """Send them."""
    context.homes.come(count, [], [])


@then('they are placed in "{regions}" alone')
def placed(context: Any, regions: str) -> None:
    """Compare the regions."""
    assert context.homes.regions() == set(_names(regions)), context.homes.regions()


@then('each is refused as not run, for "{reason}"')
def refused(context: Any, reason: str) -> None:
    """Check the refusals."""
    assert context.homes.outcomes
    for outcome in context.homes.outcomes:
        assert isinstance(outcome, Refusal), outcome
        assert (outcome.not_run, outcome.reason) == ('true', reason), outcome


def _names(text: str) -> list[str]:
    return [name.strip() for name in text.split(',') if name.strip()]
