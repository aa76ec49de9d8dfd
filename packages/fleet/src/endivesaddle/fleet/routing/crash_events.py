"""Log events of requests that end servers."""

from endivesaddle.fleet.events import event

RAN = event(
    3101, 'WARNING', 'crash_noted', "a server's process ended while it ran a request; its digest"
)
HELD = event(
    3102, 'WARNING', 'crash_held', 'a request ended too many servers, and goes to no more for now'
)
ANSWERED = event(
    3103, 'INFO', 'crash_cleared', 'a request was answered: what ended before was not its doing'
)
BROKEN = event(
    3104, 'INFO', 'crash_checked', 'a run broke; whether its server listens still, as a check told'
)
UNWRITTEN = event(
    3105, 'INFO', 'crash_unwritten', 'a record of a request could not be written or read; tried on'
)
