"""Log events of forwarded requests, each with the request's id."""

from endivesaddle.fleet.events import event

PLACED = event(2701, 'INFO', 'forward_placed', 'a request goes to a backend server')
SENDING_FAILED = event(
    2702, 'INFO', 'forward_sending_failed', 'one sending brought no answer that can be passed on'
)
SENT_AGAIN = event(2703, 'INFO', 'forward_sent_again', 'a request is sent to another server')
NOT_SENT_AGAIN = event(
    2704, 'INFO', 'forward_not_sent_again', 'a request is given up, and why it is not repeated'
)
REFUSED = event(2705, 'INFO', 'forward_refused', 'a request gets an answer of our own')
BROKEN = event(2706, 'WARNING', 'forward_broken', 'a streamed answer was cut midway')
ANSWERED = event(2707, 'INFO', 'forward_answered', 'the whole answer went to the caller')
SETTLED = event(2708, 'INFO', 'forward_settled', 'what the request cost is settled')
GONE = event(2709, 'INFO', 'forward_caller_gone', 'the caller left before its answer was whole')
