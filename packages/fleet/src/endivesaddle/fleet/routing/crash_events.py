"""Log events of requests that crash servers."""

from endivesaddle.fleet.events import event

RAN = event(
    3101, 'WARNING', 'crash_noted', 'a server process ended while it ran a request; its digest'
)
HELD = event(
    3102,
    'WARNING',
    'crash_held',
    'a request, or a part of prompts, crashed too many servers and is held back',
)
ANSWERED = event(
    3103, 'INFO', 'crash_cleared', 'a request was answered: it did not cause the earlier crashes'
)
TRIED = event(
    3109, 'INFO', 'crash_tried', 'a request that was held back is sent, as the hold has ended'
)
BROKEN = event(
    3104, 'INFO', 'crash_checked', 'a run broke; whether its server still accepts connections'
)
UNWRITTEN = event(
    3105, 'INFO', 'crash_unwritten', 'a record of a request could not be read or written; retrying'
)
