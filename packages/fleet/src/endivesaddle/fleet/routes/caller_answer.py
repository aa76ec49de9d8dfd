"""The answer to the caller of a forwarded request, which may promise that it did not run.

Everything that a caller is told passes here: a status or an error that means "not run" is sent
only if the attempts of the request prove it.
"""

from endivesaddle.fleet.routes import run_events as events
from endivesaddle.fleet.routes.attempts import BAD_GATEWAY, Attempts, may_relay
from endivesaddle.fleet.routes.forwarded import Pairs, Sink
from endivesaddle.fleet.sentinels import NOT_RUN, RUN_UNKNOWN, Refusal

GATEWAY_TIMEOUT = 504
SERVER_LOST = ('server_lost', BAD_GATEWAY)
DEADLINE = ('deadline', GATEWAY_TIMEOUT)


class CallerAnswer:
    """The answer to one request; ``started`` is whether its head is sent or about to be."""

    def __init__(self, request_id: str, sink: Sink, attempts: Attempts) -> None:
        """Send it to ``sink``."""
        self.started = False
        self._request_id = request_id
        self._sink = sink
        self._attempts = attempts

    async def start(self, status: int, headers: Pairs) -> None:
        """Send the head of a streamed answer."""
        self.started = True
        await self._sink.start(status, headers)

    async def relay(self, status: int, headers: Pairs, body: bytes) -> None:
        """Send a complete response of a server."""
        if not may_relay(status):
            reason = f'a server answered {status}'
            await self.refuse(Refusal('server_lost', reason, RUN_UNKNOWN, BAD_GATEWAY))
            return
        # A slow caller may still be reading this response when the deadline passes: no other
        # answer may follow it then.
        self.started = True
        await self._sink.reply(status, headers, body)

    async def refuse(self, refusal: Refusal, unproven: tuple[str, int] = SERVER_LOST) -> None:
        """Answer with an error of the router.

        Its code and status are ``unproven`` if the request may have run.
        """
        told = self._attempts.proven(refusal, unproven)
        fields = {
            'request_id': self._request_id,
            'code': told.code,
            'reason': told.reason,
            'not_run': told.not_run,
        }
        if told.not_run == NOT_RUN and self._attempts.sent:
            # Counted apart from the other refusals, of which the log may leave some out.
            events.REFUSED_AFTER_SENDING.log(**fields, attempts=self._attempts.logged())
        else:
            events.REFUSED.log(**fields)
        self.started = True
        await self._sink.refuse(told)


async def refuse_unsent(request_id: str, sink: Sink, refusal: Refusal) -> None:
    """Refuse a request of which nothing was sent to a server."""
    await CallerAnswer(request_id, sink, Attempts()).refuse(refusal)
