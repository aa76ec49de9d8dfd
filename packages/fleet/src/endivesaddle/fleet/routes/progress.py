"""Progress of a forwarded request, and the most that it can have cost so far."""

from endivesaddle.fleet.routes.attempts import Attempts
from endivesaddle.fleet.routes.forwarded import ForwardRequest

_NUMBER = b'id:'
_LATER_NUMBER = b'\nid:'
MAX_DIGITS = 18
"""A number with more digits is read as none: messages between instances hold 63 bits."""


class Progress:
    """Counts of one request over all its attempts."""

    def __init__(self, request: ForwardRequest, event_tokens: int) -> None:
        """Initialize for an unsent request whose events hold at most ``event_tokens`` each."""
        self.attempts = Attempts()
        self.events = 0
        self.last_event = request.last_event
        self._request = request
        self._event_tokens = event_tokens

    @property
    def runs(self) -> int:
        """How many attempts may have run."""
        return self.attempts.runs

    def accept_event(self, event: bytes) -> bool:
        """Count an event; return False if the caller already has it from an earlier run."""
        number = event_number(event)
        if 0 <= number <= self.last_event:
            return False
        self.events += 1
        self.last_event = max(self.last_event, number)
        return True

    @property
    def spent_tokens(self) -> int:
        """The most that it can have cost: the prompt once, and the events relayed."""
        if not self.runs:
            return 0
        output = min(self._request.max_tokens, self.events * self._event_tokens)
        return self._request.prompt_tokens + output


def event_number(event: bytes) -> int:
    """Return the number of a server-sent event, -1 if it has none."""
    # The id is mostly in the first line: checking that first costs a third of a scan of all lines.
    start = 0 if event.startswith(_NUMBER) else event.find(_LATER_NUMBER) + 1
    if not start and not event.startswith(_NUMBER):
        return -1
    digits = event[start + len(_NUMBER) : event.find(b'\n', start)].strip()
    return int(digits) if digits.isdigit() and len(digits) <= MAX_DIGITS else -1
