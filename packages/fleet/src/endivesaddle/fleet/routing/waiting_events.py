"""Log events of waiting forwarded requests: one for each change of a decision."""

from endivesaddle.fleet.events import event

WAITING_BEGAN = event(
    2720, 'INFO', 'waiting_began', 'no server of a service has capacity; its requests wait'
)
WAITING_ENDED = event(
    2721, 'INFO', 'waiting_ended', 'no request for a service has waited for a second'
)
REJECTING_BEGAN = event(
    2722,
    'WARNING',
    'waiting_rejecting_began',
    'requests are rejected because of load, with the inputs of the first decision',
)
REJECTING_ENDED = event(
    2723,
    'INFO',
    'waiting_rejecting_ended',
    'no request for a service has been rejected because of load for a second',
)
STOPPED = event(
    2724, 'INFO', 'waiting_stopped', 'this router stops and rejects its waiting requests'
)
