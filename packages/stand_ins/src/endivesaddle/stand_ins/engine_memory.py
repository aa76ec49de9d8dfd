"""A stand-in model engine without a network, for tests in virtual time."""

from collections.abc import AsyncIterator

import anyio

from endivesaddle.fleet.interfaces import EngineEvent, NeverSent, ServerLost
from endivesaddle.stand_ins.engine_answers import Asked
from endivesaddle.stand_ins.engine_state import EngineState
from endivesaddle.wire import runs_pb2

UNKNOWN_USAGE = -1


class MemoryEngine:
    """Implements ``BackendServerClient`` with the switches of ``EngineState``.

    ``silence_s`` is how long the client waits on a silent connection.
    """

    def __init__(self, state: EngineState, silence_s: float = 10) -> None:
        """Answer by the switches of ``state`` and note there what comes."""
        self.state = state
        self.silence_s = silence_s

    async def run(self, message: runs_pb2.StartRequest) -> AsyncIterator[EngineEvent]:
        """Yield an answer; closing before its end is noted as a cancel."""
        state = self.state
        if state.switches.unreachable:
            raise NeverSent('the engine is not reached')
        state.arrive(message.request_key)
        finished = False
        try:
            async for event in self._answer(message):
                yield event
            finished = True
        except ServerLost:
            finished = True
            raise
        finally:
            state.running -= 1
            if not finished:
                state.cancelled.append(message.request_key)

    async def load(self) -> runs_pb2.Load:
        """Return the load; raises ``ServerLost`` when the engine is not reached."""
        self._reach()
        state = self.state
        return runs_pb2.Load(running=state.running, models=state.models, role=state.role)

    async def order(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        """Carry out an order, after the time that orders take here."""
        self._reach()
        await anyio.sleep(self.state.switches.order_s)
        outcome = self.state.carry_out(message.kind, message.argument, message.fence)
        return runs_pb2.OrderReply(
            done=outcome.done,
            code=outcome.code,
            reason=outcome.reason,
            highest_fence=outcome.highest_fence,
        )

    async def _answer(self, message: runs_pb2.StartRequest) -> AsyncIterator[EngineEvent]:
        status = self.state.switches.refuse_status
        if status:
            yield EngineEvent(status=status)
            yield EngineEvent(data=b'{"error": {"code": "refused"}}', ended=True, used_tokens=0)
            return
        asked = Asked(message.path, message.body, self.state.switches)
        await anyio.sleep(self.state.switches.first_token_s)
        yield EngineEvent(status=200, headers=(('content-type', _kind(asked)),))
        async for event in self._tokens(message, asked):
            yield event
        await self._break_off(asked.tokens)
        yield _last(asked)

    async def _tokens(
        self, message: runs_pb2.StartRequest, asked: Asked
    ) -> AsyncIterator[EngineEvent]:
        for index in range(asked.tokens):
            await self._break_off(index)
            await anyio.sleep(self.state.switches.token_s)
            self.state.generate(message.request_key)
            so_far = len(asked.prompt) + index + 1
            data = asked.event(index) if asked.stream else b''
            yield EngineEvent(data=data, used_tokens=so_far)

    async def _break_off(self, sent_tokens: int) -> None:
        if sent_tokens == self.state.switches.die_after_tokens:
            raise ServerLost('the engine died within an answer')
        if sent_tokens == self.state.switches.silent_after_tokens:
            await anyio.sleep(self.silence_s)
            raise ServerLost('the engine fell silent')

    def _reach(self) -> None:
        if self.state.switches.unreachable:
            raise ServerLost('the engine is not reached')


def _last(asked: Asked) -> EngineEvent:
    usage = asked.usage()
    used_tokens = UNKNOWN_USAGE if usage is None else usage['total_tokens']
    data = b''.join(asked.last_events()) if asked.stream else asked.whole()
    return EngineEvent(data=data, ended=True, used_tokens=used_tokens)


def _kind(asked: Asked) -> str:
    return 'text/event-stream' if asked.stream else 'application/json'
