"""Subject: the clients of backend servers, over an in-memory streaming transport."""

from collections.abc import Awaitable, Callable
from contextlib import aclosing, suppress
from typing import Any

import anyio
import msgspec

from endivesaddle.backend_servers.engine import EngineClient
from endivesaddle.backend_servers.kinds import client_for
from endivesaddle.backend_servers.settings import BackendSettings
from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.configuration import BackendServer
from endivesaddle.fleet.interfaces import EngineEvent, NeverSent, ServerLost
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.engine import EngineApp
from endivesaddle.stand_ins.engine_state import EngineState, EngineSwitches
from endivesaddle.stand_ins.service import ServiceApp, ServiceState
from endivesaddle.wire import runs_pb2
from subjects.engine_transport import AppTransport

BOUND_TOKENS = 100
ENGINE = BackendServer('porto-a/llm-1', 'porto-a', 'http://engine', 'engine')
SERVICE = BackendServer('porto-a/plates-1', 'porto-a', 'http://service', 'service')


class Closed(Exception):
    """The caller closes the response."""


def close_at(taken: int, close_after: int) -> None:
    """Close the response once enough events have been received."""
    if close_after and taken == close_after:
        raise Closed


class BackendSubject:
    """Runs one request through a client and records the response."""

    def __init__(self, **switches: Any) -> None:
        """Set the engine's switches."""
        self.state = EngineState(switches=EngineSwitches(answer_tokens=5000, **switches))
        self.service = ServiceState()
        self.refuses_connections = False
        self.data = b''
        self.counted_tokens = 0
        self.reported_tokens = -2
        self.error = ''
        self.took_s = 0.0
        self.load = runs_pb2.Load()
        self.order_replies: dict[int, runs_pb2.OrderReply] = {}
        self.requests: list[Any] = []
        self._clock = LoopClock()

    @property
    def arrived(self) -> Any:
        """The body of the last request."""
        return msgspec.json.decode(self.requests[-1].content)

    @property
    def arrived_headers(self) -> dict[str, str]:
        """The headers of the last request."""
        return dict(self.requests[-1].headers)

    def run(self, body: dict[str, Any], max_tokens: int = 0, close_after: int = 0) -> None:
        """Run a request on the engine, optionally closing it after some tokens."""
        content = [{'role': 'user', 'content': 'compose boards'}]
        message = runs_pb2.StartRequest(
            request_key='atelier/r1',
            attempt=1,
            method='POST',
            path='/v1/chat/completions',
            body=msgspec.json.encode({'messages': content, **body}),
            bound_tokens=BOUND_TOKENS,
            max_tokens=max_tokens or min(body.get('max_tokens', 0), BOUND_TOKENS),
            deadline_unix_s=self._clock_start() + 600,
            kind='engine',
        )
        self._play(
            EngineApp(self.state), ENGINE, lambda client: self._take(client, message, close_after)
        )

    def call(self, cost_tokens: int) -> None:
        """Pass a call to the service."""
        told = (('X-Plate', 'p-7'), ('Authorization', 'Bearer k'), ('Connection', 'upgrade'))
        message = runs_pb2.StartRequest(
            request_key='cutter/r1',
            method='POST',
            path='/plates/p-7',
            headers=[runs_pb2.Header(name=name, value=text) for name, text in told],
            body=b'{}',
            cost_tokens=cost_tokens,
            deadline_unix_s=self._clock_start() + 60,
        )
        self._play(ServiceApp(self.service), SERVICE, lambda client: self._take(client, message, 0))

    def order(self, model: str, fence: int) -> None:
        """Send an order with a fence, one with the previous fence, and read the load."""

        async def scene(client: EngineClient) -> None:
            for number in (fence, fence - 1):
                message = runs_pb2.OrderRequest(
                    kind='load', argument=model, fence=number,
                    deadline_unix_s=self._clock.now_s() + 5,
                )  # fmt: skip
                self.order_replies[number] = await client.order(message)
            self.load = await client.load()

        self._play(EngineApp(self.state), ENGINE, scene)

    async def _take(self, client: Any, message: runs_pb2.StartRequest, close_after: int) -> None:
        began_s = self._clock.now_s()
        with suppress(Closed):
            await self._exhaust(client, message, close_after)
        self.took_s = self._clock.now_s() - began_s
        await anyio.sleep(1)

    async def _exhaust(self, client: Any, message: runs_pb2.StartRequest, close_after: int) -> None:
        taken = 0
        try:
            async with aclosing(client.run(message)) as events:
                async for event in events:
                    self._note(event)
                    taken += bool(event.data)
                    close_at(taken, close_after)
        except (NeverSent, ServerLost) as error:
            self.error = type(error).__name__

    def _note(self, event: EngineEvent) -> None:
        self.data += event.data
        if event.ended:
            self.reported_tokens = event.used_tokens
        else:
            self.counted_tokens = max(self.counted_tokens, event.used_tokens)

    def _play(
        self, app: Any, server: BackendServer, scene: Callable[[Any], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                transport = AppTransport(app, tasks)
                transport.refuses_connections = self.refuses_connections
                await scene(client_for(BackendSettings(), server, self._clock, transport))
                self.requests = transport.requests
                tasks.cancel_scope.cancel()

        virtual.run(main)

    def _clock_start(self) -> float:
        return 1_700_000_000
