"""Calls to other instances over grpclib: the port ``Peers``.

Whether a call may be made again depends on one thing: can the other instance
have got it?  Until the message is handed to the connection it can't
(``PeerUnreachable``); from then on only its own answer tells.
"""

from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import anyio
from grpclib.client import Stream
from grpclib.const import Cardinality, Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.metadata import Deadline
from h2.exceptions import H2Error

from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.decoding import MESSAGE_ERRORS
from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.ports import Reply, Request
from endivesaddle.instances import tls
from endivesaddle.instances.links import Link, Links
from endivesaddle.instances.settings import InstancesSettings
from endivesaddle.instances.silence import SilenceWatch
from endivesaddle.wire import rpcs

BROKEN = (OSError, H2Error, ProtocolError, StreamTerminatedError)
"""What a call that ends with its connection raises; time-outs are ``OSError``."""
REFUSALS = frozenset(
    (
        Status.UNAUTHENTICATED,
        Status.UNIMPLEMENTED,
        Status.INVALID_ARGUMENT,
        Status.FAILED_PRECONDITION,
        Status.RESOURCE_EXHAUSTED,
    )
)
"""Answers given before the call took effect."""
CANCEL_AFTER_S = 1.0
"""How long after the caller's deadline the other instance gives a call up by itself."""


class Attempt:
    """One call under way; ``sent`` once the other instance may have got it."""

    def __init__(self, address: str, rpc: rpcs.Rpc[Any, Any], link: Link) -> None:
        """Start not sent."""
        self.address = address
        self.rpc = rpc
        self.link = link
        self.sent = False

    def broken(self, error: Exception) -> PeerNoReply | PeerUnreachable:
        """Return what a broken link means for this call."""
        reason = str(error) or type(error).__name__
        if self.sent:
            self.link.doubt()
            return PeerNoReply(f'{self.address} did not answer {self.rpc.path}: {reason}')
        return PeerUnreachable(f'no connection to {self.address}: {reason}')

    def refused(self, error: GRPCError) -> PeerRefused | PeerNoReply | PeerUnreachable:
        """Return what an error that the other instance answered means."""
        text = f'{self.address} answered {self.rpc.path}: {error.status.name} {error.message or ""}'
        if error.status is Status.UNAVAILABLE:
            return PeerUnreachable(text)
        return PeerRefused(text) if error.status in REFUSALS else PeerNoReply(text)


class GrpcPeers:
    """The port ``Peers``; ``calls`` and ``failures`` count by path for metrics."""

    def __init__(self, settings: InstancesSettings, clock: Clock) -> None:
        """Make no connection yet; raises ``UserError`` for bad TLS files."""
        self._settings = settings
        self._clock = clock
        self._metadata = tls.metadata(settings)
        self.links = Links(settings)
        self.calls: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()

    async def call(
        self,
        address: str,
        rpc: rpcs.Rpc[Request, Reply],
        message: Request,
        deadline_unix_s: float,
    ) -> Reply:
        """Make one call.

        Raises ``PeerUnreachable`` (not sent), ``PeerNoReply`` (may have taken
        effect) or ``PeerRefused``.
        """
        left = left_s(self._clock, deadline_unix_s)
        with self._attempt(address, rpc, message) as attempt, anyio.fail_after(left):
            deadline = Deadline.from_timeout(left + CANCEL_AFTER_S)
            async with await self._open(attempt, Cardinality.UNARY_UNARY, deadline) as stream:
                await _send(attempt, stream, message)
                reply = await stream.recv_message()
        if reply is None:
            raise PeerNoReply(f'{address} ended {rpc.path} without an answer')
        return reply

    async def follow(
        self,
        address: str,
        rpc: rpcs.Rpc[Request, Reply],
        message: Request,
        silence_s: float,
    ) -> AsyncIterator[Reply]:
        """Yield a streamed answer's messages; ``PeerNoReply`` after ``silence_s`` without one.

        Chunks that are not taken hold up the other instance after 64 KiB.
        """
        with self._attempt(address, rpc, message) as attempt:
            async with self._followed(attempt, message, silence_s) as chunks:
                chunk = await chunks.message()
                while chunk is not None:
                    yield chunk
                    chunk = await chunks.message()

    def close(self) -> None:
        """Close all connections."""
        self.links.close()

    @contextmanager
    def _attempt(self, address: str, rpc: rpcs.Rpc[Any, Any], message: Any) -> Iterator[Attempt]:
        limit_bytes = self._settings.link_message_bytes
        if message.ByteSize() > limit_bytes:
            raise PeerRefused(f'{rpc.path} to {address} is larger than {limit_bytes} bytes')
        try:
            link = self.links.find(address)
        except ValueError as error:
            raise PeerUnreachable(f'{address!r} is no address: {error}') from error
        attempt = Attempt(address, rpc, link)
        self.calls[rpc.path] += 1
        link.calls += 1
        try:
            yield attempt
        except GRPCError as error:
            self.failures[rpc.path] += 1
            raise attempt.refused(error) from error
        except MESSAGE_ERRORS as error:
            self.failures[rpc.path] += 1
            raise PeerNoReply(f'{address} sent an unreadable reply to {rpc.path}') from error
        except BROKEN as error:
            self.failures[rpc.path] += 1
            raise attempt.broken(error) from error
        finally:
            link.calls -= 1

    @asynccontextmanager
    async def _followed(
        self, attempt: Attempt, message: Any, silence_s: float
    ) -> AsyncIterator[SilenceWatch]:
        with anyio.fail_after(silence_s):
            opened = await self._open(attempt, Cardinality.UNARY_STREAM, None)
        async with opened as stream:
            # No cancel scope may be open while chunks are handed out.
            with anyio.fail_after(silence_s):
                await _send(attempt, stream, message)
            watch = SilenceWatch(stream, silence_s)
            try:
                yield watch
            finally:
                watch.stop()

    async def _open(
        self, attempt: Attempt, cardinality: Cardinality, deadline: Deadline | None
    ) -> Stream[Any, Any]:
        channel = await attempt.link.ready()
        rpc = attempt.rpc
        return channel.request(
            rpc.path,
            cardinality,
            rpc.asked,
            rpc.answered,
            deadline=deadline,
            metadata=self._metadata,
        )


async def _send(attempt: Attempt, stream: Stream[Any, Any], message: Any) -> None:
    await stream.send_request()
    attempt.sent = True
    await stream.send_message(message, end=True)
