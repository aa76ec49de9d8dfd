"""A stand-in model engine as an ASGI application, speaking the OpenAI API."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec

from endivesaddle.stand_ins.engine_answers import Asked
from endivesaddle.stand_ins.engine_state import EngineState

Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
JSON = 'application/json'
SSE = 'text/event-stream'


class Died(Exception):
    """The engine breaks its connection off, as a process that died."""


class EngineApp:
    """Answers completions, ``GET /load`` and ``POST /orders``; see ``EngineState``."""

    def __init__(self, state: EngineState) -> None:
        """Answer by the switches of ``state`` and note there what comes."""
        self.state = state

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope['type'] == 'lifespan':
            await answer_lifespan(receive, send)
        elif scope['path'] == '/load':
            report = {'running': self.state.running, 'models': self.state.models}
            await _whole(send, 200, msgspec.json.encode({**report, 'role': self.state.role}))
        elif scope['path'] == '/orders':
            await self._order(receive, send)
        elif scope['path'].endswith('/completions'):
            await self._complete(scope, receive, send)
        else:
            await _whole(send, 404, b'{"error": {"message": "no such path"}}')

    async def _order(self, receive: Receive, send: Send) -> None:
        asked = msgspec.json.decode(await read_body(receive))
        await anyio.sleep(self.state.switches.order_s)
        outcome = self.state.carry_out(asked['kind'], asked['argument'], asked['fence'])
        await _whole(send, 200 if outcome.done else 409, msgspec.json.encode(outcome))

    async def _complete(self, scope: Message, receive: Receive, send: Send) -> None:
        state = self.state
        body = await read_body(receive)
        request_id = dict(scope['headers']).get(b'x-request-id', b'').decode()
        state.arrive(request_id)
        try:
            await self._answer(
                request_id, Asked(scope['path'], body, state.switches), receive, send
            )
        finally:
            state.running -= 1

    async def _answer(self, request_id: str, asked: Asked, receive: Receive, send: Send) -> None:
        status = self.state.switches.refuse_status
        if status:
            await _whole(send, status, b'{"error": {"message": "refused", "code": "refused"}}')
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_leaving, request_id, receive, tasks.cancel_scope)
            await self._generate(request_id, asked, send)
            tasks.cancel_scope.cancel()

    async def _watch_leaving(
        self, request_id: str, receive: Receive, scope: anyio.CancelScope
    ) -> None:
        """Stop generating when the other end goes, as real engines do."""
        kind = ''
        while kind != 'http.disconnect':
            kind = (await receive())['type']
        # A server tells of the end of its own answer in the same way.
        if request_id not in self.state.finished:
            self.state.cancelled.append(request_id)
            scope.cancel()

    async def _generate(self, request_id: str, asked: Asked, send: Send) -> None:
        await anyio.sleep(self.state.switches.first_token_s)
        if asked.stream:
            await _begin(send, 200, SSE)
        for index in range(asked.tokens):
            if index == self.state.switches.cut_after_tokens:
                await _more(send, b'', more=False)
                return
            await self._generate_token(request_id, asked, index, send)
        await self._break_off(asked.tokens)
        self.state.finished.add(request_id)
        if asked.stream:
            await _more(send, b''.join(asked.last_events()), more=False)
        else:
            await _whole(send, 200, asked.whole())

    async def _generate_token(self, request_id: str, asked: Asked, index: int, send: Send) -> None:
        await self._break_off(index)
        await anyio.sleep(self.state.switches.token_s)
        self.state.generate(request_id)
        if asked.stream:
            await _more(send, asked.event(index))

    async def _break_off(self, sent_tokens: int) -> None:
        if sent_tokens == self.state.switches.die_after_tokens:
            raise Died('the engine died within an answer')
        if sent_tokens == self.state.switches.silent_after_tokens:
            await anyio.sleep_forever()


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a request."""
    body = bytearray()
    more = True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
    return bytes(body)


async def _begin(send: Send, status: int, kind: str) -> None:
    headers = [(b'content-type', kind.encode())]
    await send({'type': 'http.response.start', 'status': status, 'headers': headers})


async def _more(send: Send, body: bytes, more: bool = True) -> None:
    await send({'type': 'http.response.body', 'body': body, 'more_body': more})


async def _whole(send: Send, status: int, body: bytes) -> None:
    await _begin(send, status, JSON)
    await _more(send, body, more=False)


async def answer_lifespan(receive: Receive, send: Send) -> None:
    """Say yes to start and stop."""
    while True:
        kind = (await receive())['type']
        await send({'type': f'{kind}.complete'})
        if kind == 'lifespan.shutdown':
            return
