"""What a router and a sidecar have in common: parts, background tasks, state.

A node opens no socket and reads no settings from outside: tests run it in
virtual time over stand-ins, ``process`` runs it over the real links.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, Protocol

import anyio
import msgspec

from endivesaddle.callers.app import CallersApp
from endivesaddle.daemon.tasks import keep
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.membership.instance_list import ListReader
from endivesaddle.fleet.ports import Handlers, Peers, Store
from endivesaddle.platform.rate import StoreRate
from endivesaddle.wire import members_pb2

Task = Callable[[], Awaitable[None]]


class Ports(NamedTuple):
    """What a node needs from outside; a sidecar has a store for floors and fences alone.

    ``instance_list`` reads the platform's list: "live" or "leaving" by instance.
    ``rate`` bounds the calls on ``store``; None where nothing does, as in tests.
    """

    store: Store
    peers: Peers
    clock: Clock
    instance_list: ListReader | None = None
    rate: StoreRate | None = None


class Part(Protocol):
    """A part of a node that tells its state."""

    def dump(self) -> dict[str, Any]:
        """Return its state for the dump of the process."""


class Node(Protocol):
    """A router or a sidecar without its sockets."""

    handlers: Handlers
    app: CallersApp
    state: 'State'

    async def run(self) -> None:
        """Run all parts until cancelled."""

    async def leave(self) -> None:
        """Say that it leaves, and take no new work."""

    async def drain(self) -> None:
        """Return when the last work has ended."""


class State:
    """The state of a node, as health checks, metrics and dumps show it."""

    def __init__(self, identity: Identity, parts: Mapping[str, Part]) -> None:
        """Show ``parts`` by name."""
        self.identity = identity
        self.left = False
        self.lacks: Callable[[], str] = str
        self._parts = parts

    def ready(self) -> tuple[bool, str]:
        """Tell whether the node can serve requests, and if not, why."""
        lack = 'leaving' if self.left else self.lacks()
        return not lack, lack or 'ready'

    def leaving(self) -> bool:
        """Tell whether the node has been told to stop."""
        return self.left

    def dump(self) -> dict[str, Any]:
        """Return the state of all parts."""
        parts = {name: part.dump() for name, part in self._parts.items()}
        return {'identity': self.identity._asdict(), 'leaving': self.left, **parts}

    async def answer_dump(self, _: members_pb2.DumpRequest) -> members_pb2.DumpReply:
        """Give the state to another instance, which an operator asked for it."""
        return members_pb2.DumpReply(json=msgspec.json.encode(self.dump(), enc_hook=str))

    def counters(self) -> dict[str, float]:
        """Return counters and gauges of all parts, named after the part."""
        counted: dict[str, float] = {}
        for name, part in self._parts.items():
            count = getattr(part, 'counters', dict)
            counted.update({f'{name}_{key}': float(figure) for key, figure in count().items()})
        return counted


async def run_all(tasks: Mapping[str, Task]) -> None:
    """Run background tasks side by side until cancelled."""
    async with anyio.create_task_group() as group:
        for name, task in tasks.items():
            group.start_soon(keep, name, task)
