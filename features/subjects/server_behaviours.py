"""Subject: how servers answer, or don't, in the plays of one router's forwarded requests."""

import math
from collections.abc import AsyncIterator, Callable
from types import MappingProxyType

import anyio

from endivesaddle.fleet.interfaces import NeverSent, ServerLost
from endivesaddle.fleet.routes.forwarded import Pairs, ServerCall

EVENTS = 6
SEAL = (('seal', 'server'),)
NOT_RUN_THERE = frozenset(
    ('declines', 'moved', 'readdressed', 'unreached', 'closed', 'unconnected')
)
"""Behaviours that don't run the request."""


class ScriptedAnswer:
    """A response whose events break off where the scenario says."""

    def __init__(self, call: ServerCall, status: int = 200, breaks_after: float = math.inf) -> None:
        """Answer ``call``; the stream continues after its last event."""
        self.status = status
        self.headers: Pairs = SEAL
        self.own = True
        self.answered_id = call.request.request_id
        self.skipped = None
        self.encoded = False
        self.sealed = True
        self.declined = False
        self.from_other_server = False
        self.signals: dict[str, str] = {}
        self.stalls = False
        self._from = call.last_event + 1
        self._breaks_after = breaks_after

    async def events(self) -> AsyncIterator[bytes]:
        """Yield numbered events."""
        for count, number in enumerate(range(max(0, self._from), EVENTS)):
            if count >= self._breaks_after:
                raise ServerLost('it broke off')
            await anyio.sleep(0.01)
            yield f'id: {number}\ndata: x\n\n'.encode()

    async def whole(self) -> bytes:
        """Return a body."""
        if self.stalls:
            await anyio.sleep_forever()
        if self._breaks_after < math.inf:
            raise ServerLost('it broke off')
        return b'body'


Behaviour = Callable[[ServerCall], ScriptedAnswer]


def answers(call: ServerCall) -> ScriptedAnswer:
    """Answer completely."""
    return ScriptedAnswer(call)


def fails(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer that it failed."""
    return ScriptedAnswer(call, status=500)


def promises(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer with a status that means that it did not run."""
    return ScriptedAnswer(call, status=503)


def limited(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer with the 429 that its own database gave."""
    return ScriptedAnswer(call, status=429)


def invalid(call: ServerCall) -> ScriptedAnswer:
    """Answer that the request is invalid."""
    return ScriptedAnswer(call, status=400)


def stalled(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer that it was too much, with a body that never comes."""
    answer = limited(call)
    answer.stalls = True
    return answer


def late(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer that it took too long."""
    return ScriptedAnswer(call, status=408)


def relocated(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer with a status that a server at a taken address has."""
    answer = ScriptedAnswer(call, status=421)
    return answer


def relocated_unsealed(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer like ``relocated`` without a seal."""
    answer = relocated(call)
    answer.sealed = False
    return answer


def relocated_stalled(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer like ``relocated_unsealed`` with a body that never comes."""
    answer = relocated_unsealed(call)
    answer.stalls = True
    return answer


def declined_sealed(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer with both a refusal and the seal of a run."""
    answer = declines(call)
    answer.sealed = True
    return answer


def declined_success(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer with both a success and the header of a refusal."""
    answer = ScriptedAnswer(call)
    answer.declined = True
    return answer


def declined_failure(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer with both a failure and the header of a refusal."""
    answer = ScriptedAnswer(call, status=504)
    answer.declined = True
    return answer


def declined_unnamed(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer with a refusal that names no request."""
    answer = declines(call)
    answer.answered_id = ''
    return answer


def closed(call: ServerCall) -> ScriptedAnswer:
    """Close the connection before the request is written."""
    raise NeverSent('the connection closed')


def breaks(call: ServerCall) -> ScriptedAnswer:
    """Break off after two events, or within a body."""
    return ScriptedAnswer(call, breaks_after=2)


def declines(call: ServerCall) -> ScriptedAnswer:
    """Decline the request as not run."""
    answer = ScriptedAnswer(call, status=503)
    answer.sealed = False
    answer.declined = True
    return answer


def moved(call: ServerCall) -> ScriptedAnswer:
    """Answer as another server at the same address."""
    answer = declines(call)
    answer.status = 421
    return answer


def readdressed(call: ServerCall) -> ScriptedAnswer:
    """Answer as another server at the same address, which names itself."""
    answer = relocated_unsealed(call)
    answer.from_other_server = True
    return answer


def readdressed_sealed(call: ServerCall) -> ScriptedAnswer:
    """Run the request, and answer like ``readdressed`` with the seal of a run."""
    answer = readdressed(call)
    answer.sealed = True
    return answer


def strays(call: ServerCall) -> ScriptedAnswer:
    """Answer with the response to another request."""
    answer = ScriptedAnswer(call)
    answer.own = False
    return answer


def strays_declined(call: ServerCall) -> ScriptedAnswer:
    """Answer with a refusal of another request."""
    answer = declines(call)
    answer.own = False
    answer.signals = {'leaving': '1', 'retry_after': '30', 'limit': '0'}
    return answer


def strays_moved(call: ServerCall) -> ScriptedAnswer:
    """Answer another request, as another server at the same address."""
    answer = moved(call)
    answer.own = False
    return answer


def unsealed(call: ServerCall) -> ScriptedAnswer:
    """Answer with a success without the server's seal."""
    answer = ScriptedAnswer(call)
    answer.sealed = False
    return answer


def unreached(call: ServerCall) -> ScriptedAnswer:
    """Refuse the connection."""
    raise NeverSent('refused')


def lost(call: ServerCall) -> ScriptedAnswer:
    """Lose the response."""
    raise ServerLost('no answer')


BEHAVIOURS: MappingProxyType[str, Behaviour] = MappingProxyType(
    {
        one.__name__: one
        for one in (
            answers,
            fails,
            promises,
            limited,
            late,
            stalled,
            invalid,
            relocated,
            relocated_unsealed,
            relocated_stalled,
            readdressed,
            readdressed_sealed,
            declined_sealed,
            declined_success,
            declined_failure,
            declined_unnamed,
            closed,
            breaks,
            declines,
            moved,
            strays,
            strays_declined,
            strays_moved,
            unsealed,
            unreached,
            lost,
        )
    }
)
