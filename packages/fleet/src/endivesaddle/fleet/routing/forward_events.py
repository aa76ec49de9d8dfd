"""Log events of decisions on forwarded requests."""

from endivesaddle.fleet.events import event

UNWANTED = event(
    3106, 'INFO', 'server_unwanting', 'a server turned a request away, and wants none for a while'
)
HEADER_UNREAD = event(
    3107, 'WARNING', 'server_header_unread', "a header of servers' answers that nothing here reads"
)
LIMIT = event(
    3108, 'INFO', 'server_limited', 'what a server takes from all routers, 0 for no limit any more'
)
