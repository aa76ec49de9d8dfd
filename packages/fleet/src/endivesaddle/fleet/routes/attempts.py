"""The attempts of one forwarded request: which may have run, and what proves that one did not.

A request did not run if each of its attempts was never sent, or is proved not to have run.  What
is known of one attempt says nothing about another.
"""

import enum
from typing import Any, NamedTuple

from endivesaddle.fleet.routes.forwarded import ServerResponse
from endivesaddle.fleet.sentinels import HAS_RUN, RUN_UNKNOWN, Refusal

MISDIRECTED = 421
PROMISES = frozenset((408, MISDIRECTED, 429, 503))
"""Statuses that tell a caller that its request did not run and never will."""
REFUSAL_STATUSES = PROMISES | {400}
"""Statuses with which a server may refuse a request; any other belongs to a run."""
BAD_GATEWAY = 502


class AttemptState(enum.Enum):
    """What is known of one attempt: a ``SENT`` one may have run, a ``RAN`` one has."""

    UNSENT = 'unsent'
    SENT = 'sent'
    NOT_RUN = 'not_run'
    RAN = 'ran'


MAY_HAVE_RUN = frozenset((AttemptState.SENT, AttemptState.RAN))


class Proof(enum.Enum):
    """What proves that an attempt did not run."""

    NONE = ''
    NOT_WRITTEN = 'the connection closed before the request was written'
    REFUSED = 'the server refused it'
    MISDIRECTED = 'another server at the address refused it'


class Judgement(NamedTuple):
    """What a response says of the run.

    ``flaw`` is why it proves nothing although it says that the request did not run, '' if it does
    not say so or has proved it.
    """

    proof: Proof
    flaw: str = ''


def judge(response: ServerResponse) -> Judgement:
    """Judge whether a response to this request proves that the server did not run it.

    Only a refusal proves that: a response with the header and the status of one, which names this
    request and lacks the seal, the receipt of a run.  Where these disagree, it may have run.  In
    place of the header, a misdirected request is refused by the name of the server that got it.
    """
    flaw = _flaw(response)
    if flaw or not (_refuses(response) and response.answered_id):
        return Judgement(Proof.NONE, flaw)
    return Judgement(Proof.MISDIRECTED if response.status == MISDIRECTED else Proof.REFUSED)


def _refuses(response: ServerResponse) -> bool:
    misdirected = response.status == MISDIRECTED and response.from_other_server
    return response.declined or misdirected


def _flaw(response: ServerResponse) -> str:
    if response.declined and response.status not in REFUSAL_STATUSES:
        return 'with the header of a refusal, and the status of a run'
    if _refuses(response) and response.sealed:
        return 'with a refusal, and the seal of a run'
    if response.status in PROMISES and not _refuses(response):
        return 'without the header of a refusal'
    if response.status in PROMISES and not response.answered_id:
        return 'without a request id'
    return ''


class Attempt:
    """One attempt at one server; ``status`` is that of its response, 0 without one."""

    def __init__(self, server: str) -> None:
        """Initialize as not sent yet."""
        self.server = server
        self.state = AttemptState.UNSENT
        self.proof = Proof.NONE
        self.status = 0

    def logged(self, number: int) -> dict[str, Any]:
        """Return the fields for the log; ``number`` is its number among the attempts."""
        return {
            'server': self.server,
            'sending': number,
            'state': self.state.value,
            'proof': self.proof.value,
            'status': self.status,
        }


class Attempts:
    """All attempts of one request, in order; changes apply to the last one."""

    def __init__(self) -> None:
        """Initialize without attempts."""
        self._attempts: list[Attempt] = []

    @property
    def sent(self) -> bool:
        """Whether any attempt was sent."""
        return any(one.state is not AttemptState.UNSENT for one in self._attempts)

    @property
    def runs(self) -> int:
        """How many attempts may have run."""
        return sum(one.state in MAY_HAVE_RUN for one in self._attempts)

    @property
    def last_may_have_run(self) -> bool:
        """Whether the last attempt may have run."""
        return bool(self._attempts) and self._attempts[-1].state in MAY_HAVE_RUN

    def begin(self, server: str) -> None:
        """Add an attempt that has not been sent yet."""
        self._attempts.append(Attempt(server))

    def mark_sent(self) -> None:
        """Record that the attempt is sent: the server may run it from now on.

        It counts from here, not from the response: otherwise a request that hung until its
        deadline would be told as not run.
        """
        self._attempts[-1].state = AttemptState.SENT

    def mark_ran(self) -> None:
        """Record that the server has begun to run the attempt."""
        self._attempts[-1].state = AttemptState.RAN

    def mark_not_run(self, proof: Proof, status: int = 0) -> bool:
        """Record the proof that the attempt did not run; return whether that is possible.

        An attempt that was not sent needs none, and one that ran can't have one.
        """
        attempt = self._attempts[-1]
        if attempt.state is not AttemptState.SENT:
            return False
        attempt.state = AttemptState.NOT_RUN
        attempt.proof = proof
        attempt.status = status
        return True

    def proven(self, refusal: Refusal, unproven: tuple[str, int]) -> Refusal:
        """Return what a caller may be told: ``refusal`` only if no attempt may have run.

        Otherwise it is told so, with the code and the status of ``unproven``.
        """
        if not self.runs:
            return refusal
        code, status = unproven
        ran = any(one.state is AttemptState.RAN for one in self._attempts)
        return Refusal(code, refusal.reason, HAS_RUN if ran else RUN_UNKNOWN, status)

    def last(self) -> dict[str, Any]:
        """Return the last attempt, for the log."""
        return self._attempts[-1].logged(len(self._attempts))

    def logged(self) -> list[dict[str, Any]]:
        """Return all attempts, for the log."""
        return [one.logged(number) for number, one in enumerate(self._attempts, 1)]


def may_relay(status: int) -> bool:
    """Return whether a server's response may reach the caller.

    Only the router itself tells a caller that its request did not run.
    """
    return status not in PROMISES
