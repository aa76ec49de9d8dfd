"""A stand-in plain service: plate labels and remnant records that count their calls."""

import dataclasses
from collections.abc import AsyncIterator

import anyio
import msgspec

from endivesaddle.fleet.interfaces import EngineEvent, NeverSent, ServerLost
from endivesaddle.stand_ins.engine import Died, Message, Receive, Send, answer_lifespan, read_body
from endivesaddle.wire import runs_pb2


@dataclasses.dataclass
class ServiceState:
    """Switches of a stand-in service, and what it saw.

    ``seen`` has the id of each call that arrived; ``taken`` counts remnants by
    plate, so that a call that ran twice shows.
    """

    answer_s: float = 0.005
    unreachable: bool = False
    die_before_answer: bool = False
    silent: bool = False
    seen: list[str] = dataclasses.field(default_factory=list)
    taken: dict[str, int] = dataclasses.field(default_factory=dict)

    async def answer(self, request_id: str, method: str, path: str, body: bytes) -> bytes:
        """Do a call: GET reads a plate, anything else takes a remnant of it."""
        self.seen.append(request_id)
        plate = path.rpartition('/')[2]
        await anyio.sleep(self.answer_s)
        if method != 'GET':
            self.taken[plate] = self.taken.get(plate, 0) + 1
        if self.silent:
            await anyio.sleep_forever()
        label = {'plate': plate, 'taken': self.taken.get(plate, 0), 'sent_bytes': len(body)}
        return msgspec.json.encode(label)


class ServiceApp:
    """The service as an ASGI application."""

    def __init__(self, state: ServiceState) -> None:
        """Answer by the switches of ``state`` and note there what comes."""
        self.state = state

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope['type'] == 'lifespan':
            await answer_lifespan(receive, send)
            return
        body = await read_body(receive)
        request_id = dict(scope['headers']).get(b'x-request-id', b'').decode()
        answer = await self.state.answer(request_id, scope['method'], scope['path'], body)
        if self.state.die_before_answer:
            raise Died('the service died before its answer')
        headers = [(b'content-type', b'application/json')]
        await send({'type': 'http.response.start', 'status': 200, 'headers': headers})
        await send({'type': 'http.response.body', 'body': answer})


class MemoryService:
    """The service without a network, as a ``BackendServerClient``."""

    def __init__(self, state: ServiceState, silence_s: float = 10) -> None:
        """Wait ``silence_s`` on a silent connection."""
        self.state = state
        self.silence_s = silence_s

    async def run(self, message: runs_pb2.StartRequest) -> AsyncIterator[EngineEvent]:
        """Do one call."""
        if self.state.unreachable:
            raise NeverSent('the service is not reached')
        answer = b''
        with anyio.move_on_after(self.silence_s):
            answer = await self.state.answer(
                message.request_key, message.method, message.path, message.body
            )
        if not answer or self.state.die_before_answer:
            raise ServerLost('the service broke off')
        headers = (('content-type', 'application/json'),)
        yield EngineEvent(status=200, headers=headers, used_tokens=message.cost_tokens)
        yield EngineEvent(data=answer, ended=True, used_tokens=message.cost_tokens)

    async def load(self) -> runs_pb2.Load:
        """Return an empty report."""
        return runs_pb2.Load()

    async def order(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        """Refuse: a plain service takes no orders."""
        return runs_pb2.OrderReply(code='no_orders', reason='a plain service takes no orders')
