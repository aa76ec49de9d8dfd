"""Log events of decisions on forwarded requests."""

from endivesaddle.fleet.events import event

UNWANTED = event(
    3106, 'INFO', 'server_unwanting', 'a server rejected a request and asked for none for a while'
)
HEADER_UNREAD = event(
    3107, 'WARNING', 'server_header_unread', 'an unknown header in the responses of servers'
)
FETCH = event(
    2730,
    'INFO',
    'prefix_fetch',
    'whether engines of a service fetch shared parts of prompts from each other',
)
LIMIT = event(
    3108,
    'INFO',
    'server_limited',
    'the rate limit of a server for all routers together, 0 if it was removed',
)
