"""Load reports of an engine, and orders to it."""

import httpx
import msgspec

from endivesaddle.backend_servers.link import Link
from endivesaddle.backend_servers.settings import BackendSettings
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.interfaces import NeverSent, ServerLost
from endivesaddle.wire import runs_pb2

CONFLICT = 409
OK = 200


class LoadReport(msgspec.Struct):
    """The response to ``GET /load?after=N``; see docs/SIDECAR.md.

    ``cached_prefixes`` and ``evicted_prefixes`` are the changes after cache
    event N, ``cache_event`` is the number of the last of them.
    """

    running: int = 0
    waiting: int = 0
    batch_tokens: int = 0
    seconds_per_token: float = 0
    cache_used_blocks: int = 0
    cached_prefixes: list[int] = []
    evicted_prefixes: list[int] = []
    cache_event: int = 0
    models: list[str] = []
    role: str = ''


class OrderAnswer(msgspec.Struct):
    """The response to ``POST /orders``."""

    done: bool = False
    code: str = ''
    reason: str = ''
    highest_fence: int = 0


_report_decoder: JsonDecoder[LoadReport] = JsonDecoder(LoadReport)
_answer_decoder: JsonDecoder[OrderAnswer] = JsonDecoder(OrderAnswer)


class EngineControl:
    """The part of an engine's client that handles load reports and orders."""

    def __init__(self, settings: BackendSettings, link: Link, clock: Clock) -> None:
        """Send over ``link``."""
        self.settings = settings
        self.link = link
        self.clock = clock
        self._cache_event = 0

    async def load(self) -> runs_pb2.Load:
        """Return the engine's own load report; raise ``ServerLost`` if there is none."""
        request = self.link.build('GET', f'/load?after={self._cache_event}', (), b'')
        deadline_unix_s = self.clock.now_s() + self.settings.report_s
        try:
            status, body = await self._exchange(request, deadline_unix_s)
        except NeverSent as error:
            raise ServerLost(str(error)) from error
        if status != OK:
            raise ServerLost(f'the load report has status {status}')
        try:
            report = _report_decoder.decode(body)
        except UnreadableValue as error:
            raise ServerLost(f'the load report is not valid: {error}') from error
        self._cache_event = report.cache_event
        return runs_pb2.Load(**msgspec.structs.asdict(report))

    async def order(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        """Send the engine an order with its fencing number.

        Raises ``NeverSent``, or ``ServerLost`` if the order may have been executed.
        """
        headers = (('content-type', 'application/json'), ('x-fence', str(message.fence)))
        body = msgspec.json.encode(
            {
                'order_id': message.order_id,
                'kind': message.kind,
                'argument': message.argument,
                'fence': message.fence,
            }
        )
        request = self.link.build('POST', '/orders', headers, body)
        status, answered = await self._exchange(request, message.deadline_unix_s)
        try:
            answer = _answer_decoder.decode(answered)
        except UnreadableValue:
            answer = OrderAnswer(code='not_understood', reason=f'the engine answered {status}')
        if status == CONFLICT:
            answer.code = answer.code or 'old_fence'
        return runs_pb2.OrderReply(**msgspec.structs.asdict(answer))

    async def close(self) -> None:
        """Close the connections."""
        await self.link.close()

    async def _exchange(self, request: httpx.Request, deadline_unix_s: float) -> tuple[int, bytes]:
        body = bytearray()
        async with self.link.exchange(request, deadline_unix_s) as response:
            async for piece in self.link.pieces(response, self.settings.report_s):
                body += piece
                if len(body) > self.settings.body_bytes:
                    raise ServerLost('the response is too long')
            return response.status_code, bytes(body)
