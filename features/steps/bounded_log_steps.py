"""Steps of bounded_log.feature."""

from typing import Any

from behave import then, when

from endivesaddle.fleet.routes import run_events
from subjects.bounded_log import LogPipe

MB = 1 << 20
A_SECOND = 100
LEFT_OUT = 'log_lines_left_out'


@when('{count:d} lines are written to a pipe that nobody reads')
def write_unread(context: Any, count: int) -> None:
    """Write at a rate that the bound for one event allows."""
    context.pipe = LogPipe()
    context.add_cleanup(context.pipe.close)
    context.count = count
    context.pipe.write(count, 'answered', 'INFO', A_SECOND)


@then('writing took less than {seconds:d} seconds and held less than {size:d} MB')
def bounded(context: Any, seconds: int, size: int) -> None:
    """Look at the time and at what is held."""
    assert context.pipe.took_s < seconds, context.pipe.took_s
    assert context.pipe.log.held_bytes < size * MB, context.pipe.log.held_bytes


@then('when the pipe is read, a line tells how many were left out')
def told(context: Any) -> None:
    """Read, write one more line, and add up."""
    seen = context.pipe.read()
    context.pipe.clock.unix_s += 1
    context.pipe.write(1, 'answered', 'INFO')
    seen += context.pipe.read()
    left_out = [line['lines']['answered'] for line in seen if line['name'] == LEFT_OUT]
    written = [line for line in seen if line['name'] == 'answered']
    assert len(left_out) == 1, left_out
    assert len(written) + left_out[0] == context.count + 1, (len(written), left_out)


@when('{count:d} lines of one event and {warnings:d} warnings are written within a second')
def write_burst(context: Any, count: int, warnings: int) -> None:
    """Write both kinds."""
    context.pipe = LogPipe()
    context.add_cleanup(context.pipe.close)
    context.pipe.write(count, 'answered', 'INFO')
    context.pipe.write(warnings, 'broken', 'WARNING')


@then('at most {most:d} lines are on the pipe, with all {warnings:d} warnings')
def counted(context: Any, most: int, warnings: int) -> None:
    """Count them."""
    names = [line['name'] for line in context.pipe.read()]
    assert len(names) <= most, len(names)
    assert names.count('broken') == warnings, names.count('broken')


@when('{count:d} refusals are logged, and {after:d} after a sending, within a second')
def write_refusals(context: Any, count: int, after: int) -> None:
    """Write both kinds."""
    context.pipe = LogPipe()
    context.add_cleanup(context.pipe.close)
    for kind, lines in ((run_events.REFUSED, count), (run_events.REFUSED_AFTER_SENDING, after)):
        context.pipe.write(lines, kind.name, kind.level)


@then('the lines of all {count:d} are on the pipe')
def all_written(context: Any, count: int) -> None:
    """Count them."""
    names = [line['name'] for line in context.pipe.read()]
    assert names.count(run_events.REFUSED_AFTER_SENDING.name) == count, names
