"""HTTP/2 connections that can't be silent for good.

grpclib's own keep-alive closes a silent connection gently: it waits until what
was written has been sent, which on a dead connection is never, and the calls
on it wait with it.  It also pings idle links, which at 410 instances with some
hundred links each costs more than control may.  So a connection is watched here:

- with calls open, silence is answered by a ping, then by cutting the link;
- without, nothing is sent; a link unheard for a while is probed before its next call;
- a link without calls for long is closed.
"""

import asyncio
from typing import Any, cast

import anyio
from grpclib.config import Configuration
from grpclib.exceptions import ProtocolError
from grpclib.protocol import H2Protocol, Stream
from h2.config import H2Configuration
from h2.settings import SettingCodes

from endivesaddle.fleet import events
from endivesaddle.instances.settings import InstancesSettings

PING = b'saddle-p'
STREAM_WINDOW_BYTES = 64 * 1024
"""What a slow reader of one stream may leave unread before its writer has to wait."""
CONNECTION_WINDOW_BYTES = 2**31 - 1
"""The most there is: slow readers hold up their own streams only, never the link."""

LINK_CUT = events.event(
    9001, 'WARNING', 'link_cut', 'a link with another instance fell silent and was cut'
)

CONFIGURATION = Configuration(
    # Its keep-alive is off: see above.
    _keepalive_time=None,
    http2_stream_window_size=STREAM_WINDOW_BYTES,
    http2_connection_window_size=CONNECTION_WINDOW_BYTES,
)


class MessageTooLarge(ProtocolError):
    """The other end announced a message that is larger than ``link_message_bytes``."""


class LinkStream(Stream):
    """One call, whose messages are read only up to a size: the library reads what is announced."""

    max_bytes = 0

    async def recv_data(self, size: int) -> bytes:
        """Read ``size`` bytes; raise ``MessageTooLarge``."""
        if size > self.max_bytes:
            raise MessageTooLarge(f'a message of {size} bytes, at most {self.max_bytes} are read')
        return await super().recv_data(size)


class LinkProtocol(H2Protocol):
    """One connection, watched for silence in terms of the event loop's time."""

    def __init__(
        self, handler: Any, h2_config: H2Configuration, settings: InstancesSettings, idle_s: float
    ) -> None:
        """Close after ``idle_s`` without calls."""
        super().__init__(handler, CONFIGURATION, h2_config)
        self._settings = settings
        self._idle_s = idle_s
        self._loop = asyncio.get_running_loop()
        self._heard = anyio.Event()
        self._writable = anyio.Event()
        self._writable.set()
        self._heard_s = self._loop.time()
        self._used_s = self._heard_s
        self._pinged_s = self._heard_s
        self.greeted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to watch."""
        super().connection_made(transport)
        self._transport = cast(asyncio.Transport, transport)
        self.connection.create_stream = self._create_stream  # type: ignore[method-assign]
        self._heard_s = self._loop.time()
        self._used_s = self._heard_s
        # The library lets a connection carry 100 calls; a hundred claims that wait
        # for budget would then hold up the settlements that free it.
        self._h2().update_settings(
            {SettingCodes.MAX_CONCURRENT_STREAMS: self._settings.link_streams}
        )
        self.connection.flush()
        self._timer = self._loop.call_later(self._settings.link_keep_alive_s, self._watch)
        self._dozing = False

    def data_received(self, data: bytes) -> None:
        """Note that the other end lives."""
        self._heard_s = self._loop.time()
        self.wake()
        self.greeted = True
        self._heard.set()
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop to watch."""
        self._timer.cancel()
        self._writable.set()
        self._heard.set()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Have new calls wait: the buffers are full."""
        self._writable = anyio.Event()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Let new calls go on."""
        self._writable.set()
        super().resume_writing()

    def quiet_s(self) -> float:
        """Return for how long nothing was heard."""
        return self._loop.time() - self._heard_s

    async def ready(self) -> None:
        """Wait until a call can be written; raises ``ConnectionError`` when cut meanwhile.

        The library waits too, but a call that isn't written yet is not told when the
        connection ends, and would wait for its own deadline.
        """
        while not self._writable.is_set():
            await self._writable.wait()
        if self._transport.is_closing():
            raise ConnectionResetError('the link was cut')

    async def greeting(self) -> None:
        """Wait for the first word of the other end.

        It tells how many calls the connection carries, and that there is a live
        process: the kernel takes connections for one that hangs, too.
        """
        await self._heard.wait()
        if not self.greeted:
            raise ConnectionResetError('the connection ended without a greeting')

    async def answers(self) -> bool:
        """Ping, and tell whether anything was heard within ``link_probe_s``."""
        self._heard = anyio.Event()
        self._ping()
        with anyio.move_on_after(self._settings.link_probe_s):
            await self._heard.wait()
        return self._heard.is_set() and not self._transport.is_closing()

    def cut(self, reason: str) -> None:
        """Drop the connection at once; its calls end with ``StreamTerminatedError``."""
        LINK_CUT.log(
            peer=str(self._transport.get_extra_info('peername')),
            quiet_s=round(self.quiet_s(), 3),
            reason=reason,
        )
        self._transport.abort()
        self.close(reason)

    def close(self, reason: str) -> None:
        """Close the connection when what was written has been sent."""
        self._timer.cancel()
        self._writable.set()
        self.processor.close(reason)

    def wake(self) -> None:
        """Watch again: a call may be opened."""
        # An idle link has no timer but the one that closes it, since there are hundreds.
        if self._dozing:
            self._dozing = False
            self._timer.cancel()
            self._timer = self._loop.call_later(self._settings.link_keep_alive_s, self._watch)

    def _create_stream(self, **options: Any) -> LinkStream:
        stream = LinkStream(self.connection, self._h2(), self._transport, **options)
        stream.max_bytes = self._settings.link_message_bytes
        return stream

    def _h2(self) -> Any:
        return self.connection._connection  # noqa: WPS437 (the library has no other way)

    def _ping(self) -> None:
        self._pinged_s = self._loop.time()
        self._h2().ping(PING)
        self.connection.flush()

    def _watch(self) -> None:
        next_look_s = self._look()
        if not self._transport.is_closing():
            self._timer = self._loop.call_later(next_look_s, self._watch)

    def _look(self) -> float:
        quiet_s = self.quiet_s()
        if self.processor.streams:
            self._used_s = self._loop.time()
            self._look_for_life(quiet_s)
            return self._next_look_s(quiet_s)
        idle_s = self._loop.time() - max(self._used_s, self._heard_s)
        if idle_s >= self._idle_s:
            self.close('idle')
        self._dozing = True
        return max(self._idle_s - idle_s, self._settings.link_keep_alive_s)

    def _look_for_life(self, quiet_s: float) -> None:
        pinged = self._pinged_s > self._heard_s
        if quiet_s >= self._settings.link_silence_s and pinged:
            self.cut('silent')
        elif quiet_s >= self._settings.link_keep_alive_s:
            self._ping()

    def _next_look_s(self, quiet_s: float) -> float:
        keep_alive_s = self._settings.link_keep_alive_s
        limit_s = keep_alive_s
        if quiet_s >= keep_alive_s:
            limit_s = self._settings.link_silence_s
        # Never much sooner than a tenth: rounding would have it look without pause.
        return min(keep_alive_s, max(limit_s - quiet_s, keep_alive_s / 10))
