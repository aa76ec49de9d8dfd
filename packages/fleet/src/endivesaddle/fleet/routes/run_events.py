"""Log events of forwarded requests, each with the request's id."""

from endivesaddle.fleet.events import event

PLACED = event(2701, 'INFO', 'forward_placed', 'a request is sent to a backend server')
SENDING_FAILED = event(
    2702, 'INFO', 'forward_sending_failed', 'an attempt got no response that can be relayed'
)
SENT_AGAIN = event(2703, 'INFO', 'forward_sent_again', 'a request is retried at another server')
NOT_SENT_AGAIN = event(2704, 'INFO', 'forward_not_sent_again', 'a request is not retried, and why')
REFUSED = event(2705, 'INFO', 'forward_refused', 'the router answers a request with an error')
BROKEN = event(2706, 'WARNING', 'forward_broken', 'a streamed answer was broken off')
ANSWERED = event(2707, 'INFO', 'forward_answered', 'the complete answer was sent to the caller')
SETTLED = event(2708, 'INFO', 'forward_settled', 'the cost of a request is settled')
GONE = event(
    2709, 'INFO', 'forward_caller_gone', 'the caller disconnected before the answer was complete'
)
SENT_AFTER_GONE = event(
    2710, 'WARNING', 'forward_sent_after_gone', 'a request is sent although its caller is gone'
)
FOREIGN_RESPONSE = event(
    2713,
    'WARNING',
    'forward_foreign_response',
    'a server sent a response to another request; nothing that it says is applied',
)
TAKEN_UP = event(
    2712,
    'INFO',
    'forward_taken_up',
    'a caller takes up a stream; where the stream began, how that is known and since when',
)
ENDED_AFTER_GONE = event(
    2711,
    'INFO',
    'forward_ended_after_gone',
    'a request whose caller is gone is closed at its server',
)
ATTEMPT_NOT_RUN = event(
    2714,
    'INFO',
    'forward_attempt_not_run',
    'an attempt that was sent is counted as not run, and what proved that',
)
REFUSED_AFTER_SENDING = event(
    2715,
    'INFO',
    'forward_refused_after_sending',
    'the router answers a request that it has sent as not run; the proof of each attempt',
)
UNPROVEN_REFUSAL = event(
    2716,
    'WARNING',
    'forward_unproven_refusal',
    'a server answered with a status that means "not run", but has not proved that',
)
