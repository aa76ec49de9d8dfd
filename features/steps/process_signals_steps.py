"""Steps of process_signals.feature."""

import functools
import subprocess
import sys
from typing import Any

from behave import then, when

from subjects import processes
from subjects.signalled_programs import PATHS, SignalledPrograms
from subjects.slow_callers import SlowCallers

UNHANDLED = 'SIGPIPE'
FLOOD = """
import signal, sys
from endivesaddle.daemon.received_signals import STOP, WITHOUT_STOP, received

signals = received()
signals.take((*STOP, *WITHOUT_STOP))
for _ in range(int(sys.argv[1])):
    signal.raise_signal(signal.SIGHUP)
signal.raise_signal(signal.SIGTERM)
print(*[number.name for number in signals.read()])
"""


@when('routers with requests and streams in flight each get one series of signals')
def send_series(context: Any) -> None:
    """Run one router for each row, side by side."""
    context.series = [row['signals'].split() for row in context.table]
    context.programs = SignalledPrograms()
    context.programs.send_series(context.series)


@then('all callers got whole answers')
def whole_answers(context: Any) -> None:
    """Check what the callers got."""
    given = context.programs.given
    assert len(given) == len(PATHS) * len(context.series), given
    assert all(one.whole and one.status == 200 for one in given), given


@then('each router ended with status 0 and logged the signals that it got')
def ended_and_logged(context: Any) -> None:
    """Check the statuses and the log lines; the routers may end in any order."""
    programs = context.programs
    assert not any(programs.exit_statuses), programs.exit_statuses
    handled = [[name for name in one if name != UNHANDLED] for one in context.series]
    assert sorted(programs.logged) == sorted(handled), programs.logged


@when('a {role} gets SIGHUP and SIGUSR1 again and again, and SIGTERM once it serves')
def send_always(context: Any, role: str) -> None:
    """Run one program."""
    context.programs = SignalledPrograms()
    context.programs.send_always(role)


@then('it served, and ended with status 0')
def served(context: Any) -> None:
    """Check the program."""
    assert context.programs.served == [True]
    assert context.programs.exit_statuses == [0], context.programs.exit_statuses


@when('a process that does not read its signals gets {count:d} times SIGHUP, and SIGTERM')
def flood(context: Any, count: int) -> None:
    """Have a process of its own send them to itself."""
    command = [sys.executable, '-c', FLOOD, str(count)]
    context.read = subprocess.run(command, capture_output=True, text=True, check=True).stdout


@then('it reads SIGHUP and SIGTERM')
def read_both(context: Any) -> None:
    """Check what it read."""
    assert context.read.split() == ['SIGHUP', 'SIGTERM'], context.read


@when('the {role} process of an open stream gets SIGTERM and then {signals}')
def stop_twice(context: Any, role: str, signals: str) -> None:
    """Run the play of a graceful stop, with more signals behind the first."""
    context.subject = processes.Processes()
    play = functools.partial(processes.stop, role=role, signals=tuple(signals.split()))
    context.subject.run(play)


@when('{callers:d} slow callers read answers of {size:d} bytes from a router that gets SIGTERM')
def stop_beside_slow_callers(context: Any, callers: int, size: int) -> None:
    """Run one router."""
    context.slow_callers = SlowCallers(callers, size)
    context.slow_callers.play()


@then('all slow callers got whole answers')
def slow_whole_answers(context: Any) -> None:
    """Compare the lengths of the bodies."""
    slow = context.slow_callers
    assert len(slow.read_bytes) == slow.callers, slow.read_bytes
    assert set(slow.read_bytes) == {slow.answer_bytes}, slow.read_bytes


@then('the router ended by itself with status 0')
def ended_by_itself(context: Any) -> None:
    """Check its status."""
    assert context.slow_callers.exit_status == 0, context.slow_callers.exit_status
