"""Log events of the HTTP side."""

from endivesaddle.fleet.events import event

LISTENING = event(6001, 'INFO', 'callers_listening', 'The HTTP listener takes connections.')
STOPPED = event(6002, 'INFO', 'callers_stopped', 'The HTTP listener ended; no request was cut.')
CUT = event(
    6003, 'WARNING', 'callers_cut', 'Requests were still open when the time for a stop was over.'
)
REFUSED = event(6004, 'INFO', 'caller_refused', 'A request was turned away; "code" says why.')
BROKEN = event(6005, 'WARNING', 'caller_answer_broken', 'An answer could not be completed.')
GONE = event(6006, 'INFO', 'caller_gone', 'The caller closed its connection before the end.')
STALLED = event(
    6007, 'WARNING', 'caller_stalled', 'The caller left its answer unread and counts as gone.'
)
FAULT = event(6008, 'ERROR', 'callers_fault', 'A request met a fault of the router itself.')
COMMAND = event(6009, 'INFO', 'operator_command', 'An operator sent a command; "status" tells.')
READINESS = event(6010, 'INFO', 'readiness', 'The router began or ceased to take new connections.')
