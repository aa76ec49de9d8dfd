"""Log events of overload, one for each change of a decision."""

from endivesaddle.fleet.events import event

LEVEL = event(
    4630, 'WARNING', 'overload_level', "this router's overload level changed, by these measurements"
)
LEFT = event(
    4631, 'WARNING', 'rotation_left', 'this router is overloaded and fails its readiness checks'
)
RETURNED = event(4632, 'INFO', 'rotation_returned', 'this router accepts new connections again')
KEPT = event(
    4633,
    'INFO',
    'rotation_kept',
    'this router is overloaded but stays ready, as too many others are or may be out',
)
MALFORMED = event(
    4634, 'WARNING', 'overload_report_ignored', "a router's report of its overload is malformed"
)
