"""Log events of allocators: the intervals between writes."""

from endivesaddle.fleet.events import event

WRITES_EARLY = event(
    1530,
    'INFO',
    'grant_writes_early',
    'grants are written before the interval ends because requests wait, or no longer so',
)
