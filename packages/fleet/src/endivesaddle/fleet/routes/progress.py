"""How far a forwarded request has come, and what it costs so far."""

from endivesaddle.fleet.routes.forwarded import ForwardRequest

_NUMBER = b'id:'


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
        """Tell whether the caller lacks an event: a new run may repeat some."""
        number = event_number(event)
        return number < 0 or number > self.last_event

    def passed(self, event: bytes) -> None:
        """Note that an event goes to the caller."""
        self.started = True
        self.events += 1
        self.last_event = max(self.last_event, event_number(event))

    @property
    def spent_tokens(self) -> int:
        """The most that it can have cost: the prompt once, and what was passed on."""
        if not self.runs:
            return 0
        output = min(self._request.max_tokens, self.events * self._event_tokens)
        return self._request.prompt_tokens + output


def event_number(event: bytes) -> int:
    """Return the number of a server-sent event, -1 where it has none."""
    for line in event.splitlines():
        if line.startswith(_NUMBER):
            digits = line[len(_NUMBER) :].strip()
            return int(digits) if digits.isdigit() else -1
    return -1
