"""Steps of store_retries.feature."""

from typing import Any

from behave import given, then, when

from endivesaddle.fleet import settings
from endivesaddle.fleet.errors import UserError
from endivesaddle.fleet.routes.store_settings import StoreSettings
from subjects.store_retries import StoreRetries


@given('{routers:d} routers that retry the store with pauses of up to {pause:g} seconds')
def start(context: Any, routers: int, pause: float) -> None:
    """Start them before a store that works."""
    context.retries = StoreRetries(routers, StoreSettings(store_retry_max_s=pause))
    context.add_cleanup(context.retries.close)


@when('the store is down for {seconds:g} seconds')
def outage(context: Any, seconds: float) -> None:
    """Let it come back after that time."""
    context.retries.outage(seconds)


@when('the store is down for {seconds:g} seconds, and a server is registered at its end')
def outage_with_change(context: Any, seconds: float) -> None:
    """Let it come back, and write an entry."""
    context.retries.outage(seconds)
    context.retries.register_server()


@when('the store is up for {seconds:g} seconds')
def work(context: Any, seconds: float) -> None:
    """Let virtual time pass."""
    context.retries.sleep(seconds)


@then('each router tried to read it at most {most:d} times')
def attempts(context: Any, most: int) -> None:
    """Count the attempts of all routers during the outage; each watches two prefixes."""
    assert 0 < context.retries.attempts_each <= most, context.retries.attempts_each


@then('each router knows the server {seconds:g} seconds later')
def known(context: Any, seconds: float) -> None:
    """Check the routers' lists of servers."""
    context.retries.sleep(seconds)
    assert context.retries.know_server()


@then('a retry pause of {seconds:g} seconds is rejected with the flag and its bounds')
def rejected(context: Any, seconds: float) -> None:
    """Check settings that an adapter builds."""
    try:
        settings.check(StoreSettings(store_retry_max_s=seconds))
    except UserError as error:
        assert '--store-retry-max-s' in str(error), error
        assert '0.1 to 1' in str(error), error
    else:
        raise AssertionError('the setting was accepted')
