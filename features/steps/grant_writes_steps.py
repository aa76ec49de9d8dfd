"""Steps of grant_writes.feature."""

from typing import Any

from behave import then, when

from subjects import users_platform
from subjects.grant_writes import GrantWrites

SEEDS = 5
INTERVAL_S = 0.1


@when(
    '{routers:d} routers send {requests:d} requests within half a second, with and without an '
    'interval'
)
def compare(context: Any, routers: int, requests: int) -> None:
    """Replay the same requests with both settings."""
    context.shares = []
    context.refused_more = []
    context.longest_s = 0.0
    for seed in range(SEEDS):
        before, after = GrantWrites(0, routers), GrantWrites(INTERVAL_S, routers)
        calls = before.replay(requests, seed)
        context.shares.append(after.replay(requests, seed) / calls)
        context.refused_more.append(after.refused - before.refused)
        context.longest_s = max(context.longest_s, after.longest_s)


@when('2 routers send 2 requests with an interval of 1 second and {lost:d} lost answers')
def long_interval(context: Any, lost: int) -> None:
    """Replay with a long interval, and lose the answers to writes."""
    writes = GrantWrites(1, 2, lost)
    writes.replay(2, 1)
    context.refused = writes.refused
    context.longest_s = writes.longest_s


@then('with the interval there were at most {share:g} of the calls to the store, with 5 seeds')
def fewer(context: Any, share: float) -> None:
    """Check each seed."""
    assert max(context.shares) <= share, context.shares


@then('no request was refused that was not refused without the interval')
def none_more(context: Any) -> None:
    """Check each seed."""
    assert max(context.refused_more) <= 0, context.refused_more


@then('no request waited longer than {seconds:g} seconds')
def longest(context: Any, seconds: float) -> None:
    """Check the longest wait for tokens."""
    assert 0 < context.longest_s <= seconds, context.longest_s


@then('the settings of both roles have an interval of {seconds:g} with the contract "{name}"')
def contract(context: Any, seconds: float, name: str) -> None:
    """Read the settings file with the contract in its list."""
    text = f'contracts = ["{name}"]\n{users_platform.NODE}'
    for role in ('router', 'sidecar'):
        settings, _ = users_platform.read_node(text, role)
        assert settings.allocator.grant_write_interval_s == seconds, settings.allocator
