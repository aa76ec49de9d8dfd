"""Steps of cold_servers.feature that replay the policies alone."""

from typing import Any

from behave import then, when

from subjects.cold_bursts import ColdBurst, WarmServer


@when('{per_s:d} requests a second are sent to a cold server by {routers:d} routers with {policy}')
def play(context: Any, per_s: int, routers: int, policy: str) -> None:
    """Send them."""
    context.burst = ColdBurst(policy, routers)
    context.burst.play(per_s)


@then('the cold server got at most {most:d} within any second')
def busiest(context: Any, most: int) -> None:
    """Count what it got."""
    assert context.burst.busiest <= most, context.burst.busiest


@then('it got at least {least:d} while it was cold')
def served(context: Any, least: int) -> None:
    """Count what it got."""
    assert context.burst.served >= least, context.burst.served


@when('{per_s:d} requests a second go to a warm server for {seconds:d} seconds')
def play_warm(context: Any, per_s: int, seconds: int) -> None:
    """Send them."""
    context.warm = WarmServer()
    context.warm.play(per_s, seconds)


@then('no request before the last second is kept')
def kept(context: Any) -> None:
    """Check when the oldest kept request leaves the window."""
    now_unix_s = context.warm.now_unix_s
    assert context.warm.backend.next_send_unix_s(now_unix_s) >= now_unix_s
