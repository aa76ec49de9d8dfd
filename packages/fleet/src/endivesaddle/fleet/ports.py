"""Ports through which the fleet's logic uses the platform and other instances.

Each adapter is in the package of the system that it connects to; ``stand_ins`` has the
test doubles.
"""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any, NamedTuple, Protocol, TypeVar

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.wire import holders_pb2, members_pb2, runs_pb2
from endivesaddle.wire.rpcs import Rpc

Request = TypeVar('Request')
Reply = TypeVar('Reply')


class Stored(NamedTuple):
    """A value in the configuration store; ``version`` increases with each write.

    ``value`` is None in a watch event for a deleted key.
    """

    key: str
    value: bytes | None
    version: int


class KeyStore(Protocol):
    """The platform's key-value service; it has no transactions over several keys.

    Every call raises ``StoreUnreachable`` if nothing took effect; writes raise
    ``StoreWriteUnconfirmed`` if the reply was lost.
    """

    async def read(self, key: str, deadline_unix_s: float) -> Stored | Absent:
        """Return the value of one key."""

    async def list(self, prefix: str, deadline_unix_s: float) -> Sequence[Stored]:
        """Return the values of all keys that start with ``prefix``, sorted by key."""

    async def swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        deadline_unix_s: float,
        lease_id: int = 0,
    ) -> Stored | Conflict:
        """Write if the key still has ``expected_version`` (0 means that it must not exist)."""

    async def grant(self, ttl_s: int, deadline_unix_s: float) -> int:
        """Return the id of a new lease."""

    async def keep_alive(self, lease_id: int, deadline_unix_s: float) -> bool:
        """Extend a lease; return False if it has lapsed."""


class Store(KeyStore, Protocol):
    """A ``KeyStore`` that also supports watches."""

    def watch(self, prefix: str, after_version: int) -> AsyncIterator[Stored]:
        """Yield the writes under ``prefix`` after a version, until the watch fails.

        Raises ``StoreUnreachable`` when it fails; list the keys, then watch again.
        """


class Peers(Protocol):
    """Calls to other instances by address ("ip:port")."""

    async def call(
        self,
        address: str,
        rpc: Rpc[Request, Reply],
        message: Request,
        deadline_unix_s: float,
    ) -> Reply:
        """Make one call and return the reply.

        Raises ``PeerUnreachable`` (not sent), ``PeerNoReply`` (may have taken
        effect) or ``PeerRefused``.
        """

    def follow(
        self,
        address: str,
        rpc: Rpc[Request, Reply],
        message: Request,
        silence_s: float,
    ) -> AsyncIterator[Reply]:
        """Yield the messages of a streamed reply.

        Raises ``PeerNoReply`` after ``silence_s`` seconds without a message, and
        ``PeerUnreachable`` or ``PeerNoReply`` when the connection breaks.
        """


Handler = Callable[[Any], Awaitable[Any]]


class Handlers:
    """The calls served by one instance, as handlers by the path of the call."""

    def __init__(self) -> None:
        """Initialize with no handlers."""
        self.unary: dict[str, Handler] = {}
        self.streams: dict[str, Callable[[Any], AsyncIterator[Any]]] = {}

    def answer(self, rpc: Rpc[Any, Any], handler: Handler) -> None:
        """Register ``handler(message) -> reply`` for ``rpc``."""
        self.unary[rpc.path] = handler

    def stream(self, rpc: Rpc[Any, Any], handler: Callable[[Any], AsyncIterator[Any]]) -> None:
        """Register ``handler(message)``, which yields the replies, for the streaming ``rpc``."""
        self.streams[rpc.path] = handler


class FleetView(Protocol):
    """The view of one instance: the other instances and the configuration."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this instance."""

    def members(self, role: str, data_centre: str = '') -> Sequence[members_pb2.Member]:
        """Return the live and suspect members of a role, in one data centre or in all."""

    def leaving(self, instance: str) -> bool:
        """Return whether an instance announced that it is leaving, or has left or failed."""

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return the latest load report of each backend server by name."""


class Sealer(Protocol):
    """A component with work under epochs: budgets, claims or runs."""

    async def seal(self, message: holders_pb2.SealRequest) -> Sequence[holders_pb2.Record]:
        """Start nothing more under the sealed epochs; return the records of started work."""
