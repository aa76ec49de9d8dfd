"""Ports of the fleet's decisions: what they need from the platform and the peers.

Adapters live in the package of the peer; stand-ins for tests in ``stand_ins``.
"""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any, NamedTuple, Protocol, TypeVar

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.wire import holders_pb2, members_pb2, runs_pb2
from endivesaddle.wire.rpcs import Rpc

Asked = TypeVar('Asked')
Answered = TypeVar('Answered')


class Stored(NamedTuple):
    """A value of the configuration store; ``version`` grows with each write.

    ``value`` is None in a watch's notice that the key was deleted.
    """

    key: str
    value: bytes | None
    version: int


class KeyStore(Protocol):
    """The platform's key-value service: one key at a time, never several.

    Every call raises ``StoreUnreachable`` where nothing took effect; writes
    raise ``StoreWriteUnconfirmed`` where the answer was lost.
    """

    async def read(self, key: str, deadline_unix_s: float) -> Stored | Absent:
        """Return the value of one key."""

    async def list(self, prefix: str, deadline_unix_s: float) -> Sequence[Stored]:
        """Return the values of all keys that start with ``prefix``, sorted."""

    async def swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        deadline_unix_s: float,
        lease_id: int = 0,
    ) -> Stored | Conflict:
        """Write if the key still has ``expected_version`` (0: must not exist)."""

    async def grant(self, ttl_s: int, deadline_unix_s: float) -> int:
        """Return the id of a new lease."""

    async def keep_alive(self, lease_id: int, deadline_unix_s: float) -> bool:
        """Extend a lease; False when it has lapsed."""


class Store(KeyStore, Protocol):
    """The same service, where it also tells of changes."""

    def watch(self, prefix: str, after_version: int) -> AsyncIterator[Stored]:
        """Yield what is written under ``prefix`` after a version, until it breaks.

        Raises ``StoreUnreachable`` when the watch breaks: list, then watch again.
        """


class Peers(Protocol):
    """Calls to other instances by address ("ip:port")."""

    async def call(
        self,
        address: str,
        rpc: Rpc[Asked, Answered],
        message: Asked,
        deadline_unix_s: float,
    ) -> Answered:
        """Make one call.

        Raises ``PeerUnreachable`` (not sent), ``PeerNoReply`` (may have taken
        effect) or ``PeerRefused``.
        """

    def follow(
        self,
        address: str,
        rpc: Rpc[Asked, Answered],
        message: Asked,
        silence_s: float,
    ) -> AsyncIterator[Answered]:
        """Yield the messages of a streamed answer; ``PeerNoReply`` after ``silence_s`` without one.

        ``PeerUnreachable`` or ``PeerNoReply`` when the link breaks.
        """


Handler = Callable[[Any], Awaitable[Any]]


class Handlers:
    """The calls that one instance answers: path of the call to its function."""

    def __init__(self) -> None:
        """Start without any."""
        self.unary: dict[str, Handler] = {}
        self.streams: dict[str, Callable[[Any], AsyncIterator[Any]]] = {}

    def answer(self, rpc: Rpc[Any, Any], handler: Handler) -> None:
        """Answer ``rpc`` with ``handler(message) -> reply``."""
        self.unary[rpc.path] = handler

    def stream(self, rpc: Rpc[Any, Any], handler: Callable[[Any], AsyncIterator[Any]]) -> None:
        """Answer ``rpc`` with the messages that ``handler(message)`` yields."""
        self.streams[rpc.path] = handler


class FleetView(Protocol):
    """What this instance knows of the others and of the configuration."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here."""

    def members(self, role: str, data_centre: str = '') -> Sequence[members_pb2.Member]:
        """Return live and suspect members of a role, in one data centre or all."""

    def leaving(self, instance: str) -> bool:
        """Tell whether an instance said that it leaves, or is gone."""

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return the last load report by backend server name."""


class Sealer(Protocol):
    """One part of an instance that has work under epochs: claims or runs."""

    async def seal(self, message: holders_pb2.SealRequest) -> Sequence[holders_pb2.Record]:
        """Start nothing more under the sealed epochs; report what was begun."""
