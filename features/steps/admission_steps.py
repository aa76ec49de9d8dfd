"""Steps of admission.feature."""

from typing import Any

from behave import given, then, when

from subjects.admission import ReportedAdmission


@given('a router in front of {engines:d} engines with sidecars')
def start(context: Any, engines: int) -> None:
    """Start them."""
    context.told = ReportedAdmission(engines)
    context.add_cleanup(context.told.close)


@when('it forwards {long:d} long and {short:d} short prompts a second for {seconds:d} seconds')
def carry(context: Any, long: int, short: int, seconds: int) -> None:
    """Forward them."""
    context.told.carry(long, short, seconds)


@when('it is killed, and {seconds:d} seconds go by')
def kill(context: Any, seconds: int) -> None:
    """Cancel its task, and let time pass."""
    context.told.kill(seconds)


@then('the sidecars are called at most {most:d} times a second')
def calls(context: Any, most: int) -> None:
    """Count the calls."""
    assert context.told.calls_per_s() <= most, context.told.calls_per_s()


@then('each sidecar got a report of the router in the last {seconds:g} seconds')
def reported(context: Any, seconds: float) -> None:
    """Check the oldest last report."""
    assert context.told.oldest_s() <= seconds, context.told.oldest_s()


@then('the sidecars got {times:d} urgent reports')
def told(context: Any, times: int) -> None:
    """Count the reports that were sent at once."""
    assert context.runs.admission.soon_count == times, context.runs.admission.soon_count


@then('no sidecar counts any load of it')
def expired(context: Any) -> None:
    """Check what they count."""
    assert all(load == (0, 0) for load in context.told.counted()), context.told.counted()
