"""Subject: calls between instances over real loopback sockets, with and without TLS."""

import asyncio
import dataclasses
import os
import pathlib
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio

from endivesaddle.fleet.clock import WallClock
from endivesaddle.fleet.errors import FleetError, UserError
from endivesaddle.fleet.ports import Handlers
from endivesaddle.instances import GrpcPeers, InstancesSettings, serve
from endivesaddle.wire import holders_pb2, rpcs

CERTIFICATES = pathlib.Path(__file__).parent.parent / 'certificates'
DEADLINE_S = 30
LARGE_BYTES = 300_000
PLAIN = InstancesSettings(link_stop_s=0, link_connect_s=20)
HASTY = dataclasses.replace(PLAIN, link_connect_s=0.1)
KEYED = dataclasses.replace(PLAIN, fleet_key='of the fleet')


def secure(name: str, settings: InstancesSettings = KEYED) -> InstancesSettings:
    """Return settings with one of the test certificates; all trust the fleet's authority."""
    return dataclasses.replace(
        settings,
        tls_certificate=str(CERTIFICATES / f'{name}.pem'),
        tls_key=str(CERTIFICATES / f'{name}.key'),
        tls_ca=str(CERTIFICATES / 'fleet-authority.pem'),
    )


def keyed(own: str, also: str = 'nothing') -> InstancesSettings:
    """Return settings without TLS, with fleet keys of these names."""
    keys = ['' if name == 'nothing' else name for name in (own, also)]
    return dataclasses.replace(PLAIN, fleet_key=keys[0], fleet_key_also=keys[1])


class LinksSockets:
    """One call from one peer to one listener."""

    def __init__(self, listener: Callable[['LinksSockets'], Any]) -> None:
        """Take what listens: a context manager that yields its address."""
        self._listener = listener
        self.outcome = ''
        self.ran = False
        self.no_delay: list[int] = []

    def call(self, settings: InstancesSettings) -> None:
        """Call the listener and note the outcome."""
        anyio.run(self._call, settings)

    async def answer(self, message: Any) -> holders_pb2.ClaimReply:
        """Answer a claim."""
        self.ran = len(message.target) == LARGE_BYTES
        return holders_pb2.ClaimReply(verdict='granted')

    async def _call(self, settings: InstancesSettings) -> None:
        clock = WallClock()
        async with self._listener(self) as address:
            peers = GrpcPeers(settings, clock)
            message = holders_pb2.ClaimRequest(request_key='a/1', target='x' * LARGE_BYTES)
            try:
                reply = await peers.call(address, rpcs.CLAIM, message, clock.now_s() + DEADLINE_S)
                self.outcome = reply.verdict
            except FleetError as error:
                self.outcome = type(error).__name__
            self.no_delay = _no_delay()
            peers.close()


def instance(settings: InstancesSettings) -> Callable[[LinksSockets], Any]:
    """Return a listener that answers claims."""

    def listener(subject: LinksSockets) -> Any:
        handlers = Handlers()
        handlers.answer(rpcs.CLAIM, subject.answer)
        return serve(handlers, '127.0.0.1:0', settings)

    return listener


@asynccontextmanager
async def deaf(subject: LinksSockets) -> AsyncIterator[str]:
    """Accept connections and never answer."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        yield f'{host}:{port}'


def listens(address: str, settings: InstancesSettings) -> bool:
    """Tell whether a process may listen at an address."""

    async def main() -> bool:
        async with serve(Handlers(), address, settings):
            return True

    try:
        return anyio.run(main)
    except UserError:
        return False


def _no_delay() -> list[int]:
    loop: Any = asyncio.get_running_loop()
    found = []
    for key in loop._selector.get_map().values():
        with socket.socket(fileno=os.dup(key.fd)) as copy:
            if copy.family == socket.AF_INET and not _accepts(copy):
                found.append(copy.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
    return found


def _accepts(found: socket.socket) -> bool:
    return bool(found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
