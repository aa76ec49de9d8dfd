"""Subject: clients of the platform, of engines and of instances whose peer sends without end."""

import asyncio
import dataclasses
import tracemalloc
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from types import MappingProxyType
from typing import Any

import anyio

from endivesaddle.backend_servers.clients import client_for
from endivesaddle.backend_servers.settings import BackendSettings
from endivesaddle.fleet.clock import MonotonicClock
from endivesaddle.fleet.configuration import BackendServer
from endivesaddle.fleet.ports import Handlers
from endivesaddle.instances.peers import GrpcPeers
from endivesaddle.instances.server import serve
from endivesaddle.instances.settings import InstancesSettings
from endivesaddle.platform import EtcdStore, PlatformSettings
from endivesaddle.platform.instance_list import InstanceList
from endivesaddle.wire import rpcs, runs_pb2
from subjects.users_platform import module

WITHIN_S = 2.0
GUARD_S = 20
WRITTEN = 1 << 16
MAX_SENT = 400 << 20
"""The peer stops by itself after so many bytes."""
STARTS = MappingProxyType(
    {
        'a body': b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n"',
        'a line': b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n"',
        'a head': b'HTTP/1.1 200 OK\r\nx-more: ',
    }
)
ANSWERED_BYTES = 96 << 20
ALLOWED_BYTES = 1 << 20


class EndlessReplies:
    """One client and its peer; ``held_bytes`` is the most memory that the call allocated."""

    def __init__(self, sent: str) -> None:
        """Prepare a peer that sends ``sent``."""
        self.error = ''
        self.took_s = 0.0
        self.held_bytes = 0
        self._sent = sent
        self._clock = MonotonicClock()

    def call(self, name: str) -> None:
        """Make the named call."""
        self._measure(self._play, CALLS[name])

    def call_instance(self) -> None:
        """Call an instance whose reply is too large."""
        self._measure(self._play_instance)

    def deadline_unix_s(self) -> float:
        """Return the deadline of the call; it should end before."""
        return self._clock.now_s() + 2 * WITHIN_S

    def _measure(self, play: Callable[..., Awaitable[None]], *arguments: Any) -> None:
        tracemalloc.start()
        try:
            anyio.run(play, *arguments)
        finally:
            tracemalloc.stop()

    async def _play(self, call: Callable[['EndlessReplies', str], Awaitable[Any]]) -> None:
        with anyio.fail_after(GUARD_S):
            server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
            host, port = server.sockets[0].getsockname()
            await self._timed(call(self, f'{host}:{port}'))
            server.close()

    async def _play_instance(self) -> None:
        reply = runs_pb2.OrderReply(reason='x' * ANSWERED_BYTES)

        async def answer(message: Any) -> Any:
            return reply

        handlers = Handlers()
        handlers.answer(rpcs.ORDER, answer)
        settings = InstancesSettings(link_message_bytes=2 * ANSWERED_BYTES)
        small = dataclasses.replace(settings, link_message_bytes=ALLOWED_BYTES)
        with anyio.fail_after(GUARD_S):
            async with serve(handlers, '127.0.0.1:0', settings) as address:
                peers = GrpcPeers(small, self._clock)
                request = runs_pb2.OrderRequest()
                deadline_unix_s = self.deadline_unix_s()
                await self._timed(peers.call(address, rpcs.ORDER, request, deadline_unix_s))
                peers.close()

    async def _timed(self, call: Awaitable[Any]) -> None:
        began_s = self._clock.now_s()
        before_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.reset_peak()
        try:
            await call
        except Exception as error:
            self.error = type(error).__name__
        self.held_bytes = tracemalloc.get_traced_memory()[1] - before_bytes
        self.took_s = self._clock.now_s() - began_s

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(STARTS[self._sent])
            for _ in range(MAX_SENT // WRITTEN):
                writer.write(b'x' * WRITTEN)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            writer.transport.abort()


def _store(replies: EndlessReplies, address: str) -> Any:
    return module('kv_store').KvStore(address, MonotonicClock())


def _etcd(address: str) -> EtcdStore:
    settings = PlatformSettings(store_urls=(f'etcd+http://{address}',))
    return EtcdStore(settings, MonotonicClock())


async def _read(replies: EndlessReplies, address: str) -> None:
    await _store(replies, address).read('a', replies.deadline_unix_s())


async def _poll(replies: EndlessReplies, address: str) -> None:
    await _store(replies, address).poll('a', 1, 1.0, replies.deadline_unix_s())


async def _write(replies: EndlessReplies, address: str) -> None:
    await _store(replies, address).swap('a', b'x', 0, replies.deadline_unix_s())


async def _read_etcd(replies: EndlessReplies, address: str) -> None:
    await _etcd(address).read('a', replies.deadline_unix_s())


async def _write_etcd(replies: EndlessReplies, address: str) -> None:
    await _etcd(address).swap('a', b'x', 0, replies.deadline_unix_s())


async def _watch_etcd(replies: EndlessReplies, address: str) -> None:
    async with aclosing(_etcd(address).watch('a', 1)) as changes:
        await anext(changes)


async def _list(replies: EndlessReplies, address: str) -> None:
    settings = PlatformSettings(instance_list_url=f'http://{address}/')
    await InstanceList(settings, MonotonicClock()).fetch(replies.deadline_unix_s())


async def _load(replies: EndlessReplies, address: str) -> None:
    server = BackendServer('a', 'one', f'http://{address}', 'engine')
    await client_for(BackendSettings(), server, MonotonicClock()).load()


CALLS: MappingProxyType[str, Callable[[EndlessReplies, str], Awaitable[Any]]] = MappingProxyType(
    {
        'a read of the store': _read,
        'a poll of the store': _poll,
        'a write to it': _write,
        'a read of etcd': _read_etcd,
        'a write to etcd': _write_etcd,
        'a watch of etcd': _watch_etcd,
        'the instance list': _list,
        'a load report': _load,
    }
)
