"""Log events of responses that exceed a bound, each with the request's id."""

from endivesaddle.fleet.events import event

TOO_LONG = event(
    2731,
    'WARNING',
    'forward_response_too_long',
    'a response exceeded a bound; its connection is closed',
)
NOT_HELD = event(
    2732,
    'INFO',
    'forward_response_not_held',
    'a body is too long to be held back and is relayed as it arrives',
)
