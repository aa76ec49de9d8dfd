"""Log events of the supply of routers with tokens of prepaid totals."""

from endivesaddle.fleet.events import event

CALLS_SLOW = event(
    1520,
    'INFO',
    'supply_calls_slow',
    "this router's calls became slow or usual again; the tokens it holds follow their duration",
)
WAITING = event(1521, 'INFO', 'supply_waiting', 'requests of an account wait in order for tokens')
STALLED = event(
    1522,
    'INFO',
    'supply_stalled',
    'no allocator gives the tokens that requests wait for; asking again',
)
RESUMED = event(1523, 'INFO', 'supply_resumed', 'an allocator gives tokens again')
