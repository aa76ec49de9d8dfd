"""Answer other instances' calls over grpclib, from the table of ``wire.rpcs``."""

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
from grpclib import const
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from endivesaddle.fleet import events
from endivesaddle.fleet.errors import PeerRefused, UserError
from endivesaddle.fleet.ports import Handlers
from endivesaddle.instances import tls
from endivesaddle.instances.channels import LinkServer, split
from endivesaddle.instances.http2 import MessageTooLarge
from endivesaddle.instances.settings import InstancesSettings
from endivesaddle.wire import rpcs

Call = Callable[[Stream[Any, Any]], Any]

CALL_REFUSED = events.event(
    9002, 'WARNING', 'call_without_fleet_key', 'a call without the fleet key was refused'
)
CALL_FAILED = events.event(
    9003, 'ERROR', 'call_failed', 'a call from another instance ended with an error here'
)


class Service:
    """All calls that this instance answers, and how many are under way."""

    def __init__(self, handlers: Handlers, settings: InstancesSettings) -> None:
        """Answer from ``handlers``; those added later count too."""
        self._handlers = handlers
        self._settings = settings
        self._running = 0
        self._stopping = False
        self._idle = anyio.Event()

    def __mapping__(self) -> dict[str, const.Handler]:
        """Return the table that the library dispatches by."""
        return {rpc.path: self._entry(rpc) for rpc in rpcs.ALL}

    async def check(self, request: RecvRequest) -> None:
        """Refuse a call before its message is read, so that it has no effect."""
        if self._stopping:
            raise GRPCError(const.Status.UNAVAILABLE, 'this instance stops')
        if not tls.admits(self._settings, request.metadata):
            CALL_REFUSED.log(peer=str(request.peer.addr()), path=request.method_name)
            raise GRPCError(const.Status.UNAUTHENTICATED, 'the fleet key is missing or wrong')

    async def drain(self) -> None:
        """Refuse new calls and wait for those under way, for ``link_stop_s`` at most."""
        self._stopping = True
        if self._running:
            with anyio.move_on_after(self._settings.link_stop_s):
                await self._idle.wait()

    def _entry(self, rpc: rpcs.Rpc[Any, Any]) -> const.Handler:
        streamed = rpc in rpcs.STREAMED
        answer = self._chunks if streamed else self._reply
        cardinality = const.Cardinality.UNARY_STREAM if streamed else const.Cardinality.UNARY_UNARY

        async def call(stream: Stream[Any, Any]) -> None:
            await self._counted(rpc.path, answer, stream)

        return const.Handler(call, cardinality, rpc.asked, rpc.answered)

    async def _counted(
        self, path: str, answer: Callable[[str, Stream[Any, Any]], Any], stream: Stream[Any, Any]
    ) -> None:
        self._running += 1
        try:
            await answer(path, stream)
        except PeerRefused as refusal:
            raise GRPCError(const.Status.FAILED_PRECONDITION, str(refusal)) from refusal
        except GRPCError:
            raise
        except Exception as error:
            CALL_FAILED.log(path=path, error=repr(error))
            raise GRPCError(const.Status.INTERNAL, type(error).__name__) from error
        finally:
            self._running -= 1
            if self._stopping and not self._running:
                self._idle.set()

    async def _reply(self, path: str, stream: Stream[Any, Any]) -> None:
        handler = self._handlers.unary.get(path)
        if handler is None:
            raise GRPCError(const.Status.UNIMPLEMENTED, f'{path} is not answered here')
        reply = await handler(await self._message(stream))
        await stream.send_message(reply)

    async def _chunks(self, path: str, stream: Stream[Any, Any]) -> None:
        handler = self._handlers.streams.get(path)
        if handler is None:
            raise GRPCError(const.Status.UNIMPLEMENTED, f'{path} is not answered here')
        chunks = handler(await self._message(stream))
        try:
            async for chunk in chunks:
                # Waits while the other end reads slowly: back-pressure.
                await stream.send_message(chunk)
        finally:
            await _close(chunks)

    async def _message(self, stream: Stream[Any, Any]) -> Any:
        try:
            message = await stream.recv_message()
        except MessageTooLarge as error:
            raise GRPCError(const.Status.RESOURCE_EXHAUSTED, str(error)) from error
        if message is None:
            raise GRPCError(const.Status.INVALID_ARGUMENT, 'the call has no message')
        return message


@asynccontextmanager
async def serve(
    handlers: Handlers, address: str, settings: InstancesSettings
) -> AsyncIterator[str]:
    """Answer calls at ``address`` ("ip:port", port 0 for any); yield the address bound.

    At the end new calls are refused as not run, those under way have
    ``link_stop_s`` to end, and then all connections are closed.  A handler is
    cancelled when its caller goes away or stops to wait.

    Raises ``UserError`` where the address may not be listened on.
    """
    host, port = split(address)
    tls.check_listen(host, settings)
    context = tls.server_context(settings)
    service = Service(handlers, settings)
    server = LinkServer([service], settings)
    listen(server, RecvRequest, service.check)
    listener = _bind(host, port)
    await server.start(sock=listener, ssl=context)
    try:
        yield _bound(listener)
    finally:
        with anyio.CancelScope(shield=True):
            await _stop(server, service)


async def _stop(server: LinkServer, service: Service) -> None:
    await service.drain()
    server.close()
    server.close_links()
    await server.wait_closed()


def _bind(host: str, port: int) -> socket.socket:
    # asyncio and grpclib turn Nagle's algorithm off only where the socket names its
    # protocol, which ``socket.create_server`` doesn't: replies then wait for the
    # other end's delayed acknowledgement, some 40 ms each.
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise UserError(f'--listen {host}:{port} can not be bound: {error}') from error
    return listener


def _bound(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'


async def _close(chunks: AsyncIterator[Any]) -> None:
    close = getattr(chunks, 'aclose', None)
    if close is not None:
        await close()
