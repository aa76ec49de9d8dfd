"""How far a forwarded request has come, and what it costs so far."""

from endivesaddle.fleet.routes.forwarded import ForwardRequest

_NUMBER = b'id:'
_LATER_NUMBER = b'\nid:'


class Progress:
    """Counts of one request over all its sendings."""

    def __init__(self, request: ForwardRequest, event_tokens: int) -> None:
        """Start before anything was sent; an event holds ``event_tokens`` at the most."""
        self.runs = 0
        self.events = 0
        self.last_event = request.last_event
        self.started = False
        self._request = request
        self._event_tokens = event_tokens

    def sent(self) -> None:
        """Note that it goes to a server: from now on that one may run it."""
        self.runs += 1

    def not_run(self) -> None:
        """Note that the last server did not get it, or said that it did not run it.

        Failure: counted only when a server had answered, a request that hung until
        its time was over was told as not run, and its caller ran it twice.
        """
        self.runs -= 1

    def fresh(self, event: bytes) -> bool:
        """Note an event and tell whether the caller lacks it: a new run may repeat some."""
        number = event_number(event)
        if 0 <= number <= self.last_event:
            return False
        self.events += 1
        self.last_event = max(self.last_event, number)
        return True

    @property
    def spent_tokens(self) -> int:
        """The most that it can have cost: the prompt once, and what was passed on."""
        if not self.runs:
            return 0
        output = min(self._request.max_tokens, self.events * self._event_tokens)
        return self._request.prompt_tokens + output


def event_number(event: bytes) -> int:
    """Return the number of a server-sent event, -1 where it has none."""
    # Mostly its first line: found so, it costs a third of looking at each line.
    start = 0 if event.startswith(_NUMBER) else event.find(_LATER_NUMBER) + 1
    if not start and not event.startswith(_NUMBER):
        return -1
    digits = event[start + len(_NUMBER) : event.find(b'\n', start)].strip()
    return int(digits) if digits.isdigit() else -1
