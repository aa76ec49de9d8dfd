"""Steps of server_reports.feature."""

from typing import Any

from behave import given, then, when

from subjects.server_reports import CLOSE, LATE_REFUSAL, ServerOfStreams


@given('a server that reports {report}, and closes once')
def start_closing(context: Any, report: str) -> None:
    """Start a server that closes its connection behind its first report."""
    start(context, report)
    context.server.closes_once = True


@given('a server that reports {report}, behind a late refusal')
def start_refusing(context: Any, report: str) -> None:
    """Start a server that repeats a refusal before its first report."""
    start(context, report)
    context.server.first_answer = LATE_REFUSAL


@given('a server that reports {report}, and once closes instead')
def start_vanishing(context: Any, report: str) -> None:
    """Start a server that closes its connection when it is asked first."""
    start(context, report)
    context.server.first_answer = CLOSE


@given('a server that reports {report}, after {seconds:f} seconds')
def start_slow(context: Any, report: str, seconds: float) -> None:
    """Start a server that takes its time for a report."""
    start(context, report)
    context.server.report_after_s = seconds


@when('it gets a stream with {seconds:d} seconds left')
def with_deadline(context: Any, seconds: int) -> None:
    """Get one stream."""
    context.server.left_s = seconds
    context.server.read_in_turn(1)


@then('it was told at most {left_ms:d} ms')
def told(context: Any, left_ms: int) -> None:
    """Check the time that the request named."""
    assert 0 < context.server.told_ms <= left_ms, context.server.told_ms


@given('a server that reports {report}')
def start(context: Any, report: str) -> None:
    """Start a server."""
    context.server = ServerOfStreams(report)
    context.add_cleanup(context.server.close)


@when('it gets {count:d} streams in turn')
def in_turn(context: Any, count: int) -> None:
    """Get one after the other."""
    context.server.read_in_turn(count)


@when('it gets {count:d} streams, each before the end of the one before')
def side_by_side(context: Any, count: int) -> None:
    """Get them on several connections."""
    context.server.read_side_by_side(count)


@when('it starts again and gets {count:d} streams in turn')
def after_start(context: Any, count: int) -> None:
    """Get streams of the former incarnation."""
    context.server.start_again()
    context.server.read_in_turn(count)


@when('it breaks a stream and gets {count:d} streams in turn')
def after_break(context: Any, count: int) -> None:
    """Get streams after a connection broke."""
    context.server.break_stream()
    context.server.read_in_turn(count)


@then('{count:d} streams were read whole after {reports:d} reports')
def compare(context: Any, count: int, reports: int) -> None:
    """Compare the counts of all so far."""
    found = (context.server.whole_count, context.server.asked_count)
    assert found == (count, reports), found
