"""Log events of the HTTP interface."""

from endivesaddle.fleet.events import event

LISTENING = event(6001, 'INFO', 'callers_listening', 'The HTTP listener accepts connections.')
STOPPED = event(
    6002, 'INFO', 'callers_stopped', 'The HTTP listener stopped; no request was cut off.'
)
CUT = event(6003, 'WARNING', 'callers_cut', 'Requests were cut off at the time limit of a stop.')
REFUSED = event(6004, 'INFO', 'caller_refused', 'A request was refused; "code" says why.')
BROKEN = event(
    6005, 'WARNING', 'caller_answer_broken', 'An answer broke off and could not be completed.'
)
DISCONNECTED = event(
    6006, 'INFO', 'caller_gone', 'The caller disconnected before the end of its answer.'
)
STALLED = event(
    6007,
    'WARNING',
    'caller_stalled',
    'The caller left its answer unread and counts as disconnected.',
)
FAULT = event(
    6008, 'ERROR', 'callers_fault', 'A request failed because of an exception in the router itself.'
)
COMMAND = event(
    6009, 'INFO', 'operator_command', 'An operator sent a command; "status" is its result.'
)
READINESS = event(
    6010, 'INFO', 'readiness', 'The router started or stopped accepting new connections.'
)
